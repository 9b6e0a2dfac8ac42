"""Memory of a daemon whose backend servers send bytes without end, as separate processes.

Usage: endless_responses.py BUILD
"""

import pathlib
import socket
import sys
import threading
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from platform_deployment import Backend, PlatformDeployment, route, send_request  # noqa: E402

BUILD = sys.argv.pop(1)
CALLERS = 300
# Memory of the smallest VMs of the deployments.
MEMORY_LIMIT_MB = 260
PART = b"x" * 65536
SIGNED_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
# By name: what a server sends first, and what it sends again and again.
SHAPES = {
    "unsigned body": (b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\n", PART),
    "status line": (b"HTTP/1.1 200 ", PART),
    "fields": (SIGNED_HEAD, b"X-Fill: " + PART[:1000] + b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: " + PART[:1000] + b"\r\n\r\n"),
    "another request's body": (b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n", PART),
    "signed body": (SIGNED_HEAD + b"\r\n", PART),
    "signed chunks": (SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                      b"10000\r\n" + PART + b"\r\n"),
}


class EndlessBackend(Backend):
    """Answers requests below /endless/ in the shape that their path names."""

    def serve(self, request):
        if not request.path.startswith("/endless/"):
            super().serve(request)
            return
        first, part = list(SHAPES.values())[int(request.path.split("/")[2])]
        attempt = request.headers.get("Attempt-Id", "").encode()
        try:
            request.connection.sendall(first.replace(b"%s", attempt))
            while True:
                request.connection.sendall(part)
        except OSError:
            request.close_connection = True  # The daemon has closed the connection.


class EndlessResponses(unittest.TestCase):
    """One daemon and two backend servers."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = PlatformDeployment(BUILD, {"east-a": "east"})
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start_store()
        cls.deployment.put_configuration(1, {"endless": route("endless", "files", timeout=2),
                                             "look": route("look", "look-ups")},
                                         ["files", "look-ups"])
        for service in ("files", "look-ups"):
            backend = EndlessBackend(cls.deployment.store, f"s-{service}", service, "east-a",
                                     slots=CALLERS)
            backend.start()
            cls.addClassCleanup(backend.stop)
        cls.deployment.add_daemon("vm", "east-a")
        cls.deployment.wait_until(lambda: cls.deployment.is_ready("vm"))
        cls.deployment.wait_until(lambda: cls.deployment.metric("vm", "backend_servers") == 2)

    def ask(self, shape, number):
        """Sends a request as a caller that reads nothing until its connection ends."""
        host, port = self.deployment.daemons["vm"]["caller"].split(":")
        with socket.socket() as caller:
            # Small, so that the bytes wait in the daemon instead of the system.
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect((host, int(port)))
            caller.sendall(f"GET /endless/{shape}/{number} HTTP/1.1\r\nHost: h.example\r\n"
                           f"Attempt-Id: {shape}-{number}\r\nCookie: Affinity-Key={number}\r\n"
                           "Deadline-Ms: 2000\r\nConnection: close\r\n\r\n".encode())
            self.wait_for_others.wait()
            try:
                while caller.recv(65536):
                    pass
            except OSError:
                pass  # The daemon has reset the connection.

    def peak_megabytes(self):
        process = self.deployment.processes["vm"]
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) / 1024

    def ended_requests(self):
        return sum(self.deployment.labelled_metric("vm", "requests_total").values())

    def test_memory_stays_below_the_limit_of_the_vm(self):
        """Guards against a daemon that keeps what faulty servers send until it is killed."""
        for shape, name in enumerate(SHAPES):
            with self.subTest(shape=name):
                self.wait_for_others = threading.Event()
                before = self.ended_requests()
                callers = [threading.Thread(target=self.ask, args=(shape, number))
                           for number in range(CALLERS)]
                for caller in callers:
                    caller.start()
                for number in range(20):
                    status, _, _ = send_request(self.deployment.daemons["vm"]["caller"], "/look/x",
                                                f"{shape}-own-{number}")
                    self.assertEqual(status, 200)
                self.deployment.wait_until(
                    lambda: self.ended_requests() >= before + CALLERS + 20)
                self.wait_for_others.set()
                for caller in callers:
                    caller.join()
                self.assertLess(self.peak_megabytes(), MEMORY_LIMIT_MB)
        self.assertIsNone(self.deployment.processes["vm"].poll())


if __name__ == "__main__":
    unittest.main()
