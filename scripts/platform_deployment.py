"""Starts the platform's store, simulated backend servers and daemons of the users' platform.

The stand-in provides the store.
"""

import base64
import http.server
import json
import os
import socket
import subprocess
import tempfile
import threading
import time
import typing
import urllib.error

from deployment import ADDRESS, RESERVED_PORTS, http_request as call

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Second octet of the first daemon's loopback address. Each daemon has an address of its own, since
# the settings template has a fixed metrics port.
FIRST_DAEMON_OCTET = 128
METRICS_PORT = 9464


def reserve(host):
    """Returns "host:port" with a free port of a loopback address that this process owns."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        if (host, port) not in RESERVED_PORTS:
            RESERVED_PORTS.add((host, port))
            return f"{host}:{port}"


class StoreClient:
    """Client of the platform's store, for the writes of operators and backend servers."""

    def __init__(self, address):
        self.address = address

    def write(self, puts=(), deletes=()):
        """Writes in one transaction; returns whether the store has acknowledged it."""
        body = {"expect": [], "deletes": list(deletes), "puts": [
            {"key": key, "value": base64.b64encode(value.encode()).decode(), "lease": lease}
            for key, value, lease in puts]}
        return self.post("/sardinehollow/kv-txn", body)[0] == 200

    def put(self, key, value, lease=0):
        return self.write(puts=[(key, value, lease)])

    def delete(self, key):
        return self.write(deletes=[key])

    # Returns status and decoded JSON; status 0 if the connection failed.
    def post(self, path, body=None, method="POST"):
        data = json.dumps(body).encode() if body is not None else b""
        try:
            status, _, text = call(self.address, path, method, {}, data, 2)
        except (OSError, urllib.error.URLError):
            return 0, {}
        return status, json.loads(text) if text else {}


class Statement(typing.NamedTuple):
    """What a backend server stated in its response to a request."""

    # Start time of the incarnation.
    born: int
    attempt: str
    # End of the pause that it asked for; None if it announced that it leaves.
    until: float | None


class Backend:
    """A simulated backend server that registers itself and records the requests that it runs."""

    def __init__(self, store, name, service, failure_domain, slots=6, work_seconds=0.01,
                 address=None):
        self.store = store
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.slots = slots
        self.work_seconds = work_seconds
        self.listen_address = address or reserve(ADDRESS)
        # Address in the store; a proxy's address if requests are to pass through one.
        self.address = self.listen_address
        self.started_at_ms = int(time.time() * 1000)
        self.runs = []
        self.running = 0
        self.state = "ready"
        # Whether responses announce that the server leaves; ends with its next start.
        self.is_leaving = False
        # Until when all requests are refused, with that time as Retry-After.
        self.paused_until = 0.0
        # Requests that arrived during such times, and the responses that stated it.
        self.late_arrivals = []
        self.statements = []
        self.lock = threading.Lock()
        self.connections = set()
        self.server = None

    def start(self):
        backend = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                with backend.lock:
                    backend.connections.add(self.connection)

            def finish(self):
                with backend.lock:
                    backend.connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass  # The daemon has reset the connection.

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    pass  # The daemon has reset the connection.

            def do_GET(self):
                backend.serve(self)

            do_POST = do_GET

            def log_message(self, *arguments):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 128

        host, port = self.listen_address.split(":")
        self.server = Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        self.register()

    def entry(self):
        return json.dumps({
            "address": self.address, "born": self.started_at_ms,
            "info": {"service": self.service, "version": "v1", "zone": self.failure_domain,
                     "slots": self.slots},
            "status": {"state": self.state, "seq": 1, "coldLeftS": 0}})

    def register(self):
        return self.store.put(f"servers/{self.name}", self.entry())

    def serve(self, request):
        length = int(request.headers.get("Content-Length", 0))
        request.rfile.read(length)
        attempt = request.headers.get("Attempt-Id", "")
        if request.headers.get("Target-Instance", self.name) != self.name:
            self.respond(request, 421, b"", {"Not-Executed": "1"}, attempt)
            return
        stated = self.statement(attempt)
        if stated:
            with self.lock:
                self.late_arrivals.append(stated)
        if stated and stated.until is not None:
            pause = max(0.0, stated.until - time.monotonic())
            self.respond(request, 503, b"", {"Not-Executed": "1", "Retry-After": f"{pause:.3f}"},
                         attempt)
            return
        with self.lock:
            is_full = self.running >= 2 * self.slots
            if not is_full:
                self.running += 1
                self.runs.append((attempt, request.path))
        if is_full:
            self.respond(request, 503, b"", {"Not-Executed": "1"}, attempt)
            return
        try:
            self.simulate_work(request)
            body = f"{self.name} ran {attempt}".encode()
            self.respond(request, 200, body, {"Server-Seal": f"{self.name}.{attempt}"}, attempt)
        finally:
            with self.lock:
                self.running -= 1

    def simulate_work(self, request):
        time.sleep(self.work_seconds)

    def statement(self, attempt):
        """Returns what a response to the request states; None if it states nothing."""
        until = self.paused_until if time.monotonic() < self.paused_until else None
        if until is None and not self.is_leaving:
            return None
        return Statement(self.started_at_ms, attempt, until)

    def respond(self, request, status, body, headers, attempt):
        request.send_response(status)
        for name, value in headers.items():
            request.send_header(name, value)
        request.send_header("Attempt-Id", attempt)
        request.send_header("Server-Load", f"{min(self.running, self.slots)},"
                                           f"{max(0, self.running - self.slots)},{self.slots}")
        stated = self.statement(attempt)
        if stated:
            with self.lock:
                self.statements.append(stated)
        if self.is_leaving:
            request.send_header("Server-Leaving", "1")
        request.send_header("Content-Length", str(len(body)))
        request.end_headers()
        request.wfile.write(body)

    def stop(self):
        """Simulates a crash: ends the listener and all connections at once."""
        if self.server is None:
            return
        self.server.shutdown()
        self.server.server_close()
        self.server = None
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Already closed.

    def restart(self):
        self.started_at_ms = int(time.time() * 1000)
        self.is_leaving = False
        self.paused_until = 0.0
        self.start()


class PlatformDeployment:
    """A store and daemons in the given failure domains, with operations for tests."""

    def __init__(self, build, regions):
        """regions maps each failure domain to its region; add_daemon() adds the daemons."""
        self.build = build
        self.regions = regions
        self.directory = tempfile.TemporaryDirectory(prefix="sardinehollow-")
        self.processes = {}
        self.daemons = {}
        self.store = StoreClient(reserve(ADDRESS))
        self.control_address = reserve(ADDRESS)

    def path(self, name):
        return os.path.join(self.directory.name, name)

    def start_process(self, name, arguments):
        with open(self.path(f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)

    def start_store(self):
        with open(self.path("standin.json"), "w", encoding="utf-8") as file:
            json.dump({"platformAddress": self.store.address,
                       "controlAddress": self.control_address}, file)
        self.start_process("standin", [os.path.join(self.build, "apps", "sardinehollow-standin"),
                                       "--config", self.path("standin.json")])
        self.wait_until(lambda: self.store.post("/sardinehollow/kv-range?prefix=", None, "GET")[0])

    def put_configuration(self, version, routes, services, limits=None):
        value = {"version": version, "routes": routes,
                 "services": {name: {"healthPath": "/health", "maxConns": 64, "coldPerS": 1000}
                              for name in services},
                 "limits": {"headerBytes": 16384, "bodyBytes": 1000000, "headerTimeoutS": 3,
                            "idleTimeoutS": 15, **(limits or {})}}
        return self.store.put("op/config", json.dumps(value))

    def add_daemon(self, name, failure_domain, store_address=None):
        """Fills in deploy/settings.json.template for a daemon and starts it.

        A name that was added before keeps its addresses: the daemon is restarted.
        """
        text = self.settings_text(name, failure_domain, store_address)
        with open(self.path(f"{name}.json"), "w", encoding="utf-8") as file:
            file.write(text)
        self.start_daemon(name)

    def add_held_daemon(self, name, failure_domain):
        """Starts a daemon and returns once it waits for its settings; calling the result sends them."""
        text = self.settings_text(name, failure_domain)
        os.mkfifo(self.path(f"{name}.json"))
        self.start_daemon(name)
        # Opening blocks until the daemon has opened the other end.
        settings = open(self.path(f"{name}.json"), "w", encoding="utf-8")

        def release():
            with settings:
                settings.write(text)

        return release

    def start_daemon(self, name):
        self.start_process(name, [os.path.join(self.build, "apps", "sardinehollowd-platform"),
                                  "--config", self.path(f"{name}.json")])

    def settings_text(self, name, failure_domain, store_address=None):
        host = ADDRESS.split(".")
        host[1] = str(FIRST_DAEMON_OCTET + len(self.daemons))
        host = ".".join(host)
        if name in self.daemons:
            daemon = self.daemons[name]
        else:
            daemon = {"name": name, "failureDomain": failure_domain, "caller": reserve(host),
                      "ready": reserve(host), "directory": reserve(host), "peer": reserve(host),
                      "metrics": f"{host}:{METRICS_PORT}",
                      "store": store_address or self.store.address}
            self.daemons[name] = daemon
        values = {"node": name, "zone": daemon["failureDomain"],
                  "region": self.regions[daemon["failureDomain"]],
                  "listen.front": daemon["caller"], "listen.ready": daemon["ready"],
                  "listen.directory": daemon["directory"],
                  "ip": daemon["metrics"].split(":")[0], "platform.address": daemon["store"],
                  "zones|json": json.dumps(self.regions), "bounds.budgetRatio": "0.2",
                  "bounds.budgetSlack": "60", "bounds.budgetWindowS": "10", "bounds.graceS": "6",
                  "bounds.configS": "2.5", "bounds.drainS": "2.5",
                  "innerPorts.0": daemon["peer"].split(":")[1], "limits.linkMbps": "1000",
                  "limits.cpuShare": "1", "platform.ttlMinS": "1"}
        with open(os.path.join(ROOT, "deploy", "settings.json.template"), encoding="utf-8") as file:
            text = file.read()
        for field, value in values.items():
            text = text.replace("{{" + field + "}}", value)
        return text

    def is_ready(self, name):
        try:
            return call(self.daemons[name]["ready"], "/sardinehollow/ready", timeout=1)[0] == 200
        except (OSError, urllib.error.URLError):
            return False

    # Returns the value of a daemon's metric without labels; None if the daemon does not have it.
    def metric(self, name, metric):
        text = call(self.daemons[name]["metrics"], "/metrics", timeout=2)[2].decode()
        for line in text.splitlines():
            if line.startswith(f"sardinehollow_{metric} "):
                return float(line.split()[1])
        return None

    def labelled_metric(self, name, metric):
        """Returns the values of a daemon's metric by their labels."""
        text = call(self.daemons[name]["metrics"], "/metrics", timeout=2)[2].decode()
        prefix = f"sardinehollow_{metric}{{"
        return {line[len(prefix):line.index("}")]: float(line.split()[-1])
                for line in text.splitlines() if line.startswith(prefix)}

    def run_ctl(self, *arguments):
        result = subprocess.run([os.path.join(self.build, "apps", "sardinehollowctl"), *arguments],
                                text=True, capture_output=True, check=False)
        return result.returncode, result.stdout + result.stderr

    @staticmethod
    def wait_until(condition, seconds=30):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("the condition was not met in time")
            time.sleep(0.02)

    def stop(self):
        """Kills the processes that this object started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.directory.cleanup()


def route(name, service, kind="safe", timeout=3, homes=(), attempts=2):
    """Returns a route for all paths below /name/ of the host h.example."""
    return {"host": "h.example", "prefix": f"/{name}/", "kind": kind, "timeoutS": timeout,
            "targetLatencyS": 0.5, "priority": 0, "service": service, "maxAttempts": attempts,
            "sticky": True, "homeRegions": list(homes)}


def send_request(address, path, attempt, method="GET", body=None, deadline_ms=3000,
                 caller_object="17", timeout=5):
    """Sends a request as a caller does; returns status, headers and body."""
    headers = {"Host": "h.example", "Attempt-Id": attempt, "Cookie": f"Affinity-Key={caller_object}",
               "Deadline-Ms": str(deadline_ms)}
    return call(address, path, method, headers, body, timeout)
