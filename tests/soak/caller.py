"""Callers of the soak: they keep their connections, note every answer and judge it at once."""

import http.client
import json
import random
import threading
import time

DEADLINE_SECONDS = 2.0
ANSWER_SLACK_SECONDS = 2.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Record:
    """One request of a caller and what came of it."""

    def __init__(self, attempt, kind, daemon, connection_age):
        self.attempt = attempt
        self.kind = kind
        self.daemon = daemon
        self.connection_age = connection_age
        self.sent_at = time.monotonic()
        self.ended_at = None
        # Status of a whole answer; "closed" without one; "hung" if nothing came in time.
        self.result = None
        self.body = b""
        self.seal = None


class Caller(threading.Thread):
    """Asks a directory for daemons, and sends requests over kept connections."""

    def __init__(self, number, seed, world):
        super().__init__(daemon=True)
        self.number = number
        self.random = random.Random(f"{seed}-{number}")
        self.world = world
        self.records = []
        self.connections = {}
        self.addresses = []
        self.asked_at = 0.0
        self.stopping = threading.Event()

    def run(self):
        count = 0
        while not self.stopping.is_set():
            if time.monotonic() - self.asked_at > 2 or not self.addresses:
                self.look_up()
            if not self.addresses:
                time.sleep(0.05)
                continue
            count += 1
            kind = self.random.choice(("look", "look", "post"))
            self.send(self.random.choice(self.addresses), kind, f"{self.number}-{count}")
            time.sleep(self.random.uniform(0, 0.03))

    def look_up(self):
        self.asked_at = time.monotonic()
        daemons = list(self.world.deployment.daemons.values())
        self.random.shuffle(daemons)
        for daemon in daemons:
            host, port = daemon["directory"].split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=0.5)
            try:
                connection.request("GET", "/sardinehollow/resolve?name=h.example&region=east"
                                          "&zone=" + daemon["failureDomain"])
                answer = connection.getresponse()
                if answer.status == 200:
                    self.addresses = json.loads(answer.read())["addresses"]
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
                host, int(port), timeout=DEADLINE_SECONDS + ANSWER_SLACK_SECONDS)
            opened = time.monotonic()
            try:
                connection.connect()
            except OSError:
                # Nothing was sent; the address is tried again with the next answer.
                self.addresses = [item for item in self.addresses if item != address]
                return
        record = Record(attempt, kind, address, time.monotonic() - opened)
        self.records.append(record)
        is_kept = False
        try:
            body = attempt.encode() if kind == "post" else None
            connection.request("POST" if kind == "post" else "GET", f"/{kind}/{attempt}", body, {
                "Host": "h.example", "Attempt-Id": attempt,
                "Cookie": f"Affinity-Key={self.random.randrange(40)}",
                "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))})
            answer = connection.getresponse()
            record.body = answer.read()
            record.seal = answer.getheader("Server-Seal")
            record.result = answer.status
            is_kept = answer.getheader("Connection", "").lower() != "close"
        except TimeoutError:
            record.result = "hung"
        except (OSError, http.client.HTTPException):
            record.result = "closed"
        record.ended_at = time.monotonic()
        # Connections are used until the daemon ends them, also while it leaves.
        if is_kept:
            self.connections[address] = (connection, opened)
        else:
            connection.close()
        if record.result == "closed":
            self.addresses = [item for item in self.addresses if item != address]
