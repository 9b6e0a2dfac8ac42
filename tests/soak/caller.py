"""Callers of the soak test: they reuse connections and record the result of every request."""

import http.client
import json
import random
import threading
import time

DEADLINE_SECONDS = 2.0
RESPONSE_MARGIN_SECONDS = 2.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class RequestRecord:
    """One request of a caller and its result."""

    def __init__(self, attempt, kind, daemon, connection_age):
        self.attempt = attempt
        self.kind = kind
        self.daemon = daemon
        self.connection_age = connection_age
        self.sent_at = time.monotonic()
        self.ended_at = None
        # Status of a complete response; "closed" if the connection failed before the response was
        # complete; "hung" after a time-out.
        self.result = None
        self.body = b""
        self.server_seal = None


class Caller(threading.Thread):
    """Looks up daemons in a directory and sends requests to them over persistent connections."""

    def __init__(self, number, seed, system):
        super().__init__(daemon=True)
        self.number = number
        self.rng = random.Random(f"{seed}-{number}")
        self.system = system
        self.records = []
        self.connections = {}
        self.addresses = []
        self.looked_up_at = 0.0
        self.stop_requested = threading.Event()

    def run(self):
        count = 0
        while not self.stop_requested.is_set():
            if time.monotonic() - self.looked_up_at > 2 or not self.addresses:
                self.look_up()
            if not self.addresses:
                time.sleep(0.05)
                continue
            count += 1
            kind = self.rng.choice(("look", "look", "post"))
            self.send(self.rng.choice(self.addresses), kind, f"{self.number}-{count}")
            time.sleep(self.rng.uniform(0, 0.03))

    def look_up(self):
        self.looked_up_at = time.monotonic()
        daemons = list(self.system.deployment.daemons.values())
        self.rng.shuffle(daemons)
        for daemon in daemons:
            host, port = daemon["directory"].split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=0.5)
            try:
                connection.request("GET", "/sardinehollow/resolve?name=h.example&region=east"
                                          "&zone=" + daemon["failureDomain"])
                response = connection.getresponse()
                if response.status == 200:
                    self.addresses = json.loads(response.read())["addresses"]
                    return
            except (OSError, http.client.HTTPException, ValueError):
                continue
            finally:
                connection.close()

    def send(self, address, kind, attempt):
        connection, opened = self.connections.pop(address, (None, None))
        if connection is None:
            host, port = address.split(":")
            connection = http.client.HTTPConnection(
                host, int(port), timeout=DEADLINE_SECONDS + RESPONSE_MARGIN_SECONDS)
            opened = time.monotonic()
            try:
                connection.connect()
            except OSError:
                # Nothing was sent; the next look-up may return the address again.
                self.addresses = [item for item in self.addresses if item != address]
                return
        record = RequestRecord(attempt, kind, address, time.monotonic() - opened)
        self.records.append(record)
        is_reusable = False
        try:
            body = attempt.encode() if kind == "post" else None
            connection.request("POST" if kind == "post" else "GET", f"/{kind}/{attempt}", body, {
                "Host": "h.example", "Attempt-Id": attempt,
                "Cookie": f"Affinity-Key={self.rng.randrange(40)}",
                "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))})
            response = connection.getresponse()
            record.body = response.read()
            record.server_seal = response.getheader("Server-Seal")
            record.result = response.status
            is_reusable = response.getheader("Connection", "").lower() != "close"
        except TimeoutError:
            record.result = "hung"
        except (OSError, http.client.HTTPException):
            record.result = "closed"
        record.ended_at = time.monotonic()
        # A connection is used until the daemon closes it, also while the daemon drains.
        if is_reusable:
            self.connections[address] = (connection, opened)
        else:
            connection.close()
        if record.result == "closed":
            self.addresses = [item for item in self.addresses if item != address]
