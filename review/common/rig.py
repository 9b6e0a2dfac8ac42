"""Starts entry daemons by the deploy file against stand-ins of the platform's store, upstreams and
clients, all on loopback addresses."""

import asyncio
import base64
import collections
import http.server
import itertools
import json
import os
import pathlib
import random
import re
import socket
import subprocess
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# A loopback network of this process's own, so that fixed ports of the settings are free.
NETWORK = f"127.{64 + (os.getpid() >> 8) % 128}.{os.getpid() % 256}"
HOST = "h.example"
GRACE_S = 6


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")

    def close(self):
        with self.lock:
            self.file.flush()


class Store:
    """The platform's metadata store: keys, leases, transactions, watches. Nothing is lost."""

    def __init__(self):
        self.condition = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.address = f"{NETWORK}.1:{free_port(NETWORK + '.1')}"
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    pass  # The daemon has closed the connection.

            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                text = self.rfile.read(length)
                target = urllib.parse.urlsplit(self.path)
                query = {name: values[0] for name, values in urllib.parse.parse_qs(
                    target.query, keep_blank_values=True).items()}
                status, body = store.serve(target.path, query, json.loads(text) if text else {})
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = answer

            def log_message(self, *arguments):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

        host, port = self.address.split(":")
        self.server = Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.condition:
                for lease in [number for number, (_, ends) in self.leases.items()
                              if ends < time.monotonic()]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        self.change({}, [key for key, item in self.items.items() if item["lease"] == lease])

    def change(self, puts, deletes):
        """Applies one transaction; the caller holds the lock."""
        deletes = [key for key in deletes if key in self.items]
        if not puts and not deletes:
            return
        self.revision += 1
        for key, (value, lease) in puts.items():
            created = self.items[key]["createRevision"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": value, "revision": self.revision,
                               "createRevision": created, "lease": lease}
            self.events.append(self.items[key])
        for key in deletes:
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})
        self.condition.notify_all()

    def put(self, key, value):
        with self.condition:
            self.change({key: (base64.b64encode(json.dumps(value).encode()).decode(), 0)}, [])

    def delete(self, key):
        with self.condition:
            self.change({}, [key])

    def serve(self, path, query, body):
        call, _, argument = path.removeprefix("/sardinehollow/kv-").partition("/")
        with self.condition:
            if call == "range":
                keys = sorted(key for key in self.items if key.startswith(query["prefix"])
                              and key > query.get("after", ""))
                return 200, {"items": [self.items[key] for key in keys[:500]],
                             "hasMore": len(keys) > 500, "storeRevision": self.revision}
            if call == "key":
                item = self.items.get(query["key"])
                return (200 if item else 404), {**(item or {}), "storeRevision": self.revision}
            if call == "watch":
                return self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
            if call == "lease":
                self.next_lease += 1
                lifetime = max(1, float(body["ttlS_time"]))
                self.leases[self.next_lease] = (lifetime, time.monotonic() + lifetime)
                return 200, {"lease": self.next_lease, "ttlS_time": body["ttlS_time"]}
            if call == "keep":
                if int(argument) not in self.leases:
                    return 404, {}
                lifetime = self.leases[int(argument)][0]
                self.leases[int(argument)] = (lifetime, time.monotonic() + lifetime)
                return 200, {"ttlS_time": int(lifetime)}
            if call == "lease-end":
                self.end_lease(int(argument))
                return 200, {}
            if call == "txn":
                return self.transact(body)
        return 404, {}

    def watch(self, prefix, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for event in self.events
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[:500], "storeRevision":
                             events[499]["revision"] if len(events) > 500 else self.revision}
            self.condition.wait(left)

    def transact(self, body):
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        puts = {row["key"]: (row["value"], row.get("lease", 0)) for row in body.get("puts", [])}
        if any(key.startswith(("op/", "servers/")) for key in [*puts, *body.get("deletes", [])]):
            return 403, {}
        if any(lease and lease not in self.leases for _, lease in puts.values()):
            return 404, {}
        self.change(puts, body.get("deletes", []))
        return 200, {"revision": self.revision}


class Request:
    """A request as an upstream has read it."""

    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.path, _ = lines[0].split(" ")
        self.headers = {name.lower(): value.strip() for name, _, value in
                        (line.partition(":") for line in lines[1:])}
        self.body = body

    @property
    def attempt(self):
        return self.headers.get("attempt-id", "")


def read_message(connection, buffer):
    """Reads one message with a length; returns its head, its body and the bytes behind it."""
    while b"\r\n\r\n" not in buffer:
        data = connection.recv(65536)
        if not data:
            return None, b"", buffer
        buffer += data
    head, _, rest = buffer.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(rest) < length:
        data = connection.recv(65536)
        if not data:
            return None, b"", b""
        rest += data
    return head, rest[:length], rest[length:]


class Upstream:
    """An upstream that registers itself in the store; answer() may be replaced for a request."""

    def __init__(self, store, record, name, service, zone, slots=6, work_s=0.01):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.running, self.waiting = 0, 0
        self.free = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.special = None
        self.listener = socket.create_server((f"{NETWORK}.2", 0), backlog=256)
        self.address = "%s:%d" % self.listener.getsockname()
        self.born = int(time.time() * 1000)
        self.runs = collections.Counter()
        threading.Thread(target=self.accept, daemon=True).start()
        self.register()

    def register(self, state="ready"):
        self.store.put(f"servers/{self.name}", {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "slots": self.slots},
            "status": {"state": state, "seq": 1, "coldLeftS": 0}})

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.handle, args=(connection,), daemon=True).start()

    def handle(self, connection):
        buffer = b""
        try:
            while True:
                head, body, buffer = read_message(connection, buffer)
                if head is None:
                    return
                self.serve(connection, Request(head, body))
        except OSError:
            pass  # The daemon has closed the connection.
        finally:
            connection.close()

    def head(self, request, status, length, extra=""):
        return (f"HTTP/1.1 {status}\r\nAttempt-Id: {request.attempt}\r\n"
                f"Server-Load: {self.running},{self.waiting},{self.slots}\r\n"
                f"Content-Length: {length}\r\n{extra}\r\n").encode()

    def serve(self, connection, request):
        if request.headers.get("target-instance", self.name) != self.name:
            connection.sendall(self.head(request, "421 Misdirected", 0, "Not-Executed: 1\r\n"))
            return
        with self.lock:
            is_full = self.waiting >= 3 * self.slots
            self.waiting += not is_full
        if is_full:
            connection.sendall(self.head(request, "503 Full", 0, "Not-Executed: 1\r\n"))
            return
        with self.free:
            with self.lock:
                self.waiting -= 1
                self.running += 1
            try:
                self.run(connection, request)
            finally:
                with self.lock:
                    self.running -= 1

    def run(self, connection, request):
        self.runs[request.attempt] += 1
        self.record.write(f"run {request.attempt} {request.method} {request.path} at {self.name}")
        time.sleep(self.work_s)
        if self.special and self.special(self, connection, request):
            return
        body = f"{self.name} ran {request.attempt}".encode()
        connection.sendall(self.head(request, "200 OK", len(body), "Server-Seal: s.1\r\n") + body)


def route(prefix, service, kind="safe", timeout_s=0.8, attempts=2):
    return {"host": HOST, "prefix": prefix, "kind": kind, "timeoutS": timeout_s,
            "targetLatencyS": 0.25, "priority": 0, "service": service, "maxAttempts": attempts,
            "sticky": True, "homeRegions": []}


def put_configuration(store, version, routes, services):
    store.put("op/config", {
        "version": version, "routes": routes,
        "services": {name: {"healthPath": "/health", "maxConns": 390, "protocol": "h1",
                            "tls": False, "warmupS": 3.0, "coldPerS": 17.0} for name in services},
        "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerTimeoutS": 3,
                   "idleTimeoutS": 15}})


class Daemon:
    """An entry daemon, started with the command and the settings template of the deploy file."""

    def __init__(self, folder, store, number, zone, zones):
        self.ip = f"{NETWORK}.{10 + number}"
        self.name = f"front-{zone}-{number}"
        ports = {name: f"{self.ip}:{free_port(self.ip)}"
                 for name in ("front", "ready", "directory")}
        self.front, self.ready = ports["front"], ports["ready"]
        self.directory = ports["directory"]
        values = {"node": self.name, "zone": zone, "region": zones[zone], "ip": self.ip,
                  "listen.front": self.front, "listen.ready": self.ready,
                  "listen.directory": self.directory, "innerPorts.0": str(free_port(self.ip)),
                  "limits.linkMbps": "1000.0", "limits.cpuShare": "0.2",
                  "platform.address": store.address, "platform.ttlMinS": "1",
                  "zones|json": json.dumps(zones), "bounds.budgetRatio": "0.2",
                  "bounds.budgetSlack": "64", "bounds.budgetWindowS": "10",
                  "bounds.graceS": str(GRACE_S), "bounds.configS": "2.5", "bounds.drainS": "2.5"}
        deploy = (ROOT / "deploy/system.toml").read_text()
        run, template = (re.search(rf'^{word} = "(.*)"$', deploy, re.MULTILINE).group(1)
                         for word in ("run", "template"))
        text = (ROOT / template).read_text()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        settings = pathlib.Path(folder) / f"{self.name}.json"
        settings.write_text(text)
        words = run.replace("/etc/sardinehollow/settings.yaml", str(settings)).split()
        self.log = open(pathlib.Path(folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=self.log, stderr=self.log)

    def is_ready(self, timeout=1.0):
        try:
            status, _, _ = send(self.ready, "GET", "/sardinehollow/ready", {}, timeout=timeout)
        except OSError:
            return False
        return status == 200

    def wait_until_ready(self, seconds=15):
        deadline = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{self.name} is not ready")
            time.sleep(0.05)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def connect(address, timeout=1.0):
    host, port = address.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)), timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def request_text(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def send(address, method, path, headers, body=b"", timeout=5.0):
    """Sends one request on a new connection; returns status, head and body."""
    with connect(address, timeout) as connection:
        connection.settimeout(timeout)
        connection.sendall(request_text(method, path, {**headers, "Connection": "close"}, body))
        head, answer, _ = read_message(connection, b"")
        if head is None:
            raise ConnectionError("the connection ended without an answer")
        return int(head.split(b" ")[1]), head, answer


def new_id(generator=random.Random(1)):
    return f"{generator.getrandbits(64):016x}"


class Answer:
    """What a client saw of one request; times are seconds after it was sent."""

    def __init__(self, attempt, sent_at):
        self.attempt = attempt
        self.sent_at = sent_at
        self.status = None
        # When the whole answer or the end of the connection had arrived; None if the client left.
        self.ended_after = None


class Client:
    """Sends requests at a steady rate, on kept connections where one is idle, and leaves a request
    at its deadline. Does not retry."""

    def __init__(self, record, addresses, method, path, deadline_s, body=b""):
        self.record = record
        self.addresses = addresses
        self.method, self.path, self.body = method, path, body
        self.deadline_s = deadline_s
        self.idle = {address: [] for address in addresses}
        self.answers = []
        self.random = random.Random(7)

    async def load(self, rate, seconds):
        started_at = time.monotonic()
        tasks = []
        for number in range(int(rate * seconds)):
            wait = started_at + number / rate - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            address = self.addresses[number % len(self.addresses)]
            tasks.append(asyncio.create_task(self.request(address, number)))
        await asyncio.gather(*tasks)
        for _, writer in itertools.chain.from_iterable(self.idle.values()):
            writer.transport.abort()

    async def request(self, address, number):
        answer = Answer(f"{self.random.getrandbits(64):016x}", time.monotonic())
        self.answers.append(answer)
        path = self.path.format(number)
        self.record.write(f"sent {answer.attempt} {self.method} {path} to {address}")
        try:
            await asyncio.wait_for(self.exchange(address, path, number, answer), self.deadline_s)
            answer.ended_after = time.monotonic() - answer.sent_at
        # First, since it is an OSError as well in later versions of Python.
        except asyncio.TimeoutError:
            self.record.write(f"left {answer.attempt} at its deadline")
            return
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.ended_after = time.monotonic() - answer.sent_at
            self.record.write(f"broken {answer.attempt} after {answer.ended_after:.3f} s: {error!r}")
            return
        self.record.write(f"answered {answer.attempt} {answer.status} "
                          f"after {answer.ended_after:.3f} s")

    async def exchange(self, address, path, number, answer):
        host, port = address.split(":")
        reader = writer = None
        while self.idle[address] and not writer:
            reader, writer = self.idle[address].pop()
            if reader.at_eof():
                writer.transport.abort()
                reader = writer = None
        if not writer:
            reader, writer = await asyncio.open_connection(host, int(port))
        is_reusable = False
        try:
            left_ms = int((self.deadline_s - (time.monotonic() - answer.sent_at)) * 1000)
            writer.write(request_text(self.method, path, {
                "Attempt-Id": answer.attempt, "Cookie": f"Affinity-Key={number % 100}",
                "Deadline-Ms": str(max(1, left_ms))}, self.body))
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            answer.status = int(head.split(b" ")[1])
            if b"transfer-encoding: chunked" in head:
                while size := int(await reader.readline(), 16):
                    await reader.readexactly(size + 2)
                await reader.readline()
            else:
                length = re.search(rb"content-length: (\d+)", head)
                await reader.readexactly(int(length.group(1)) if length else 0)
            is_reusable = b"connection: close" not in head
        finally:
            if is_reusable:
                self.idle[address].append((reader, writer))
            else:
                writer.transport.abort()


def count_unanswered(answers, timeout_s):
    """Returns how many requests had no answer at the route's timeout, and how many of these had
    none half a second later."""
    late = [answer for answer in answers
            if answer.ended_after is None or answer.ended_after > timeout_s]
    unanswered = [answer for answer in late
                  if answer.ended_after is None or answer.ended_after > timeout_s + 0.5]
    return len(late), len(unanswered)
