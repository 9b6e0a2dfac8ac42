"""Stand-ins for the platform's store, upstreams and clients, for the cases of the second review.

Everything listens on loopback and runs in one event loop. The project's daemon is started as a
separate process with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "hulo84.example"
# A machine is in touch once its process has run for contactS (4 s) without disruption.
IN_TOUCH_S = 4.5


def free_port(taken=set()):
    """A free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


class Head:
    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Head(lines[0], fields)


async def read_body(reader, head):
    if head.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(head.get("Content-Length", "0") or 0)
    return await reader.readexactly(length) if length else b""


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 5000
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    def write(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "lease": lease,
                           "createRevision": known["createRevision"] if known else self.revision}
        self.notify(dict(self.items[key]))

    def put(self, key, document):
        self.write(key, json.dumps(document).encode())

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.notify({"key": key, "revision": self.revision, "tombstone": True})

    def notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [item for item, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)
        return True

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                status, answer = await self.answer(head, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body):
        from urllib.parse import parse_qsl, urlsplit
        method, target, _ = head.first.split(" ")
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        document = json.loads(body) if body else {}
        name = url.path.removeprefix("/sardinehollow/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else \
                (404, {"storeRevision": self.revision})
        if name == "kv-range":
            items = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": items, "hasMore": False, "storeRevision": self.revision}
        if name == "kv-watch":
            return 200, await self.watch(query)
        if name == "kv-lease":
            self.next_lease += 1
            seconds = document["ttlS_time"]
            self.leases[self.next_lease] = (seconds, time.monotonic() + seconds)
            return 200, {"lease": self.next_lease, "ttlS_time": seconds}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            seconds = self.leases[lease][0]
            self.leases[lease] = (seconds, time.monotonic() + seconds)
            return 200, {"ttlS_time": seconds}
        if name.startswith("kv-lease-end/"):
            return (200 if self.end_lease(int(name.split("/")[1])) else 404), {}
        if name == "kv-txn":
            return self.transact(document)
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for event in self.events
                      if event["revision"] > after and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, document):
        for row in document.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for row in document.get("puts", []):
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in document.get("puts", []):
            self.write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in document.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Upstream:
    """A sound upstream: runs a request, answers it whole and keeps the connection.

    It runs as many requests as it has slots, lets a few more wait and refuses the others.

    The path's last part says how long the work takes and how large the body is: .../MS-BYTES.
    """

    def __init__(self, record, name, service, zone, slots=6):
        self.record, self.name, self.service, self.zone, self.slots = \
            record, name, service, zone, slots
        self.runs = []
        self.answered = {}
        self.cut = {}
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        self.seq += 1
        return {"address": f"127.0.0.1:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "coldLeftS": 0}}

    async def serve(self, reader, writer):
        attempt = None
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                attempt = head.get("Attempt-Id")
                path = head.first.split(" ")[1]
                if head.get("Target-Instance", self.name) != self.name:
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                if path == "/health":
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                if self.free.locked() and self.waiting >= 3 * self.slots:
                    self.record.line(f"{self.name}: refuses {attempt}, not run")
                    writer.write(f"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                                 f"Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                await self.run(head, path, body, attempt, writer)
                attempt = None
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError) as error:
            if attempt is not None:
                self.cut.setdefault(attempt, time.monotonic())
                self.record.line(f"{self.name}: connection of {attempt} ended: {error!r}")
        finally:
            writer.close()

    async def run(self, head, path, body, attempt, writer):
        milliseconds, size = (int(part) for part in path.rsplit("/", 1)[1].split("-"))
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.runs.append((attempt, path, len(body)))
        self.running += 1
        self.record.line(f"{self.name}: runs {attempt} {path}, Deadline-Ms {head.get('Deadline-Ms')}")
        try:
            await asyncio.sleep(milliseconds / 1000)
        finally:
            self.running -= 1
            self.free.release()
        content = (attempt.encode() + b".") * (size // (len(attempt) + 1) + 1)
        answer = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal-{attempt}\r\n"
                  f"Server-Load: {self.running},{self.waiting},{self.slots}\r\nKeep-Alive: timeout=30\r\n"
                  f"Content-Length: {size}\r\n\r\n").encode() + content[:size]
        writer.write(answer)
        self.answered[attempt] = time.monotonic()
        self.record.line(f"{self.name}: answers {attempt} with {size} bytes")
        await writer.drain()


async def beat(store, upstreams):
    """The upstreams' heartbeats, every beatIntervalS of 1.5 s; ends with the case."""
    while True:
        await asyncio.sleep(1.5)
        for upstream in upstreams:
            store.put("servers/" + upstream.name, upstream.entry())


def expected_body(attempt, size):
    return ((attempt.encode() + b".") * (size // (len(attempt) + 1) + 1))[:size]


class Answer:
    def __init__(self, attempt):
        self.attempt = attempt
        self.sent_at = time.monotonic()
        self.head = None
        self.body = b""
        self.end = ""
        self.ended_at = None

    @property
    def status(self):
        return int(self.head.first.split(" ")[1]) if self.head else 0

    @property
    def is_whole(self):
        return self.end == "whole"

    def text(self):
        size = self.head.get("Content-Length", "?") if self.head else "-"
        return (f"{self.attempt}: status {self.status}, {len(self.body)} of {size} body bytes, "
                f"{self.end}, after {self.ended_at - self.sent_at:.3f} s")


class Client:
    """A client with one kept connection; the segment size is that of an ordinary network."""

    def __init__(self, record, address, segment=1400, receive_buffer=None):
        self.record, self.address = record, address
        self.segment, self.receive_buffer = segment, receive_buffer
        self.socket = None

    async def connect(self):
        host, port = self.address.split(":")
        self.socket = socket.socket()
        if self.segment:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment)
        if self.receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(self.socket, (host, int(port)))

    async def send(self, method, path, attempt, deadline_ms, body=b"", affinity=None):
        if self.socket is None:
            await self.connect()
        text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                f"Deadline-Ms: {deadline_ms}\r\n")
        if affinity is not None:
            text += f"Cookie: Affinity-Key={affinity}\r\n"
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        self.record.line(f"client: sends {attempt} {method} {path}, Deadline-Ms {deadline_ms}")
        answer = Answer(attempt)
        await asyncio.get_running_loop().sock_sendall(self.socket, text.encode() + b"\r\n" + body)
        return answer

    async def receive(self, answer, timeout, pause_after=None, pause=0.0, rate=None):
        """Reads the answer; after pause_after bytes of the body the client reads nothing for a while.

        With a rate, in bytes a second, the client reads evenly and no faster than that.
        """
        loop = asyncio.get_running_loop()
        end = time.monotonic() + timeout
        data = b""
        paused = pause <= 0
        started = None
        try:
            while True:
                position = data.find(b"\r\n\r\n")
                if position >= 0 and answer.head is None:
                    lines = data[:position].decode("latin-1").split("\r\n")
                    answer.head = Head(lines[0], [tuple(part.strip() for part in line.split(":", 1))
                                                  for line in lines[1:]])
                if answer.head is not None:
                    answer.body = data[position + 4:]
                    if len(answer.body) >= int(answer.head.get("Content-Length", "0")):
                        answer.end = "whole"
                        break
                    if not paused and len(answer.body) >= pause_after:
                        paused = True
                        self.record.line(f"client: reads nothing of {answer.attempt} for {pause} s,"
                                         f" {len(answer.body)} body bytes read")
                        await asyncio.sleep(pause)
                        self.record.line(f"client: reads on with {answer.attempt}")
                chunk = await asyncio.wait_for(loop.sock_recv(self.socket, 16384),
                                               end - time.monotonic())
                if not chunk:
                    answer.end = "connection closed"
                    break
                data += chunk
                if rate:
                    started = started or time.monotonic()
                    await asyncio.sleep(max(0, started + len(data) / rate - time.monotonic()))
        except asyncio.TimeoutError:
            answer.end = "no end within the time"
        except OSError as error:
            answer.end = f"connection broke ({error.strerror})"
        answer.ended_at = time.monotonic()
        self.record.line("client: " + answer.text())
        if not answer.is_whole or answer.head.get("Connection").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None


def render(template, fields):
    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)
    return re.sub(r"\{\{([^}]*)\}\}", value, template)


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, zones, store_address, address="127.0.0.1"):
        self.record, self.folder, self.name = record, folder, name
        self.front, self.ready, self.directory = (f"{address}:{free_port()}" for _ in range(3))
        self.fields = {
            "node": name, "zone": zone, "region": zones[zone], "zones": zones, "ip": address,
            "listen": {"front": self.front, "ready": self.ready, "directory": self.directory},
            "innerPorts": [free_port(), free_port()],
            "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0},
            "bounds": {"budgetRatio": 0.2, "budgetSlack": 64, "budgetWindowS": 10, "graceS": 6,
                       "configS": 2.5, "drainS": 2.5},
            "platform": {"address": store_address, "ttlMinS": 1}}
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        text = render((ROOT / deploy["template"]).read_text(), self.fields)
        # The metrics port of the template is fixed; a free one lets several daemons share the host.
        text = re.sub(r'("metricsAddress": "[^:]*:)\d+', lambda found: found.group(1)
                      + str(free_port()), text)
        settings = pathlib.Path(self.folder) / f"{self.name}.json"
        settings.write_text(text)
        words = [str(settings) if word == "/etc/sardinehollow/settings.yaml" else word
                 for word in deploy["run"].split()]
        self.log = open(pathlib.Path(self.folder) / f"{self.name}.log", "wb")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=self.log, stderr=self.log)
        self.record.line(f"{self.name}: started, serves {self.front}")

    def signal(self, number):
        self.record.line(f"{self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await get_status(self.ready, "/sardinehollow/ready") == 200:
                self.record.line(f"{self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready after {seconds} s")

    async def wait_end(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.record.line(f"{self.name}: "
                         + ("still runs" if self.process.poll() is None
                            else f"ended with {self.process.returncode}"))
        return self.process.poll()


async def get_status(address, path):
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return int(head.first.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0


def route(name, kind, service, timeout, priority=0):
    return {"host": HOST, "prefix": f"/{name}/", "kind": kind, "timeoutS": timeout,
            "targetLatencyS": 0.25, "priority": priority, "service": service, "maxAttempts": 2,
            "sticky": True, "homeRegions": []}


def service():
    return {"healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": False,
            "warmupS": 3.0, "coldPerS": 17.0}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": {name: service() for name in services},
            "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}}


def run_case(folder, case):
    """Runs case(record, folder, trouble); it returns the sentences that say which rule was broken.

    Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("with the disruption" if trouble else "TROUBLE=0: without the disruption")
    temporary = tempfile.mkdtemp()
    daemons = []
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, temporary, trouble, daemons), 100))
    except Exception as error:  # The case could not be played.
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        for daemon in daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        shutil.rmtree(temporary, ignore_errors=True)
    for sentence in broken:
        record.line("broken: " + sentence)
        print("broken: " + sentence)
    record.line("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
