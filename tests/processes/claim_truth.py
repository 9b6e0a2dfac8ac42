"""Outcomes of POST requests whose backend server misbehaves, with real daemons.

Guards against a false not-run, a false complete and a second run. The backend server is scripted:
the last element of the path names its behaviour.

Usage: claim_truth.py BUILD
"""

import json
import pathlib
import socket
import sys
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from deployment import Deployment, http_request  # noqa: E402

BUILD = sys.argv.pop(1)
POST = "/service-changes/"
GET = "/stop-times/"


class ScriptedServer:
    """An HTTP server that records the requests it runs and fails in the way that the path names."""

    def __init__(self, address, runs):
        self.runs = runs
        host, port = address.split(":")
        self.socket = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection = self.socket.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            self.serve_one(connection)

    def serve_one(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            more = connection.recv(4096)
            if not more:
                return
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += connection.recv(4096)
        path = head.split(b" ")[1].decode()
        self.answer(connection, path, path.rsplit("/", 1)[1])

    def answer(self, connection, path, behaviour):
        if path == "/load":
            self.send(connection, "200 OK", b'{"inFlight":0,"slots":5,"leaving":false}')
            return
        if behaviour == "shed":
            self.send(connection, "503 Busy", b"", "Sardinehollow-Not-Run: 1\r\n")
            return
        self.runs.append(path)
        if behaviour in ("slow", "left"):
            time.sleep(0.5)
        if behaviour == "cut":
            return
        if behaviour == "truncated":
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\npart")
        else:
            size = 10000 if behaviour == "large" else 20
            self.send(connection, "201 Created", str(len(self.runs)).encode().rjust(size))

    @staticmethod
    def send(connection, status, body, fields=""):
        connection.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{fields}"
                           "Connection: close\r\n\r\n".encode() + body)

    def close(self):
        self.socket.close()


class ClaimTruth(unittest.TestCase):
    """Two daemons; scripted servers take the place of the pools service-changes and stop-times."""

    @classmethod
    def setUpClass(cls):
        configuration = json.loads((ROOT / "examples/lakeshore.json").read_text(encoding="utf-8"))
        domain = configuration["failureDomains"][0]["name"]
        for pool in configuration["pools"]:
            local = [item for item in pool["backendServers"] if item["failureDomain"] == domain]
            # stop-times has two servers, so that its requests can be retried.
            pool["backendServers"] = local[:2 if pool["name"] == "stop-times" else 1]
        cls.deployment = Deployment(BUILD, configuration, 2, [domain])
        cls.addClassCleanup(cls.deployment.stop)
        scripted = {}
        for pool in configuration["pools"]:
            scripted[pool["name"]] = pool["backendServers"]
            pool["backendServers"] = []
        cls.deployment.start_standin()
        for pool in configuration["pools"]:
            pool["backendServers"] = scripted[pool["name"]]
        cls.runs = []
        cls.post_address = scripted["service-changes"][0]["address"]
        cls.get_address = scripted["stop-times"][0]["address"]
        cls.server = ScriptedServer(cls.post_address, cls.runs)
        cls.get_server = ScriptedServer(cls.get_address, cls.runs)
        cls.addClassCleanup(lambda: (cls.server.close(), cls.get_server.close()))
        for vm in cls.deployment.vms:
            cls.deployment.start_daemon(vm)
        assert cls.deployment.submit()[0] == 0
        cls.address = cls.deployment.vms[0]["callerAddress"]
        for vm in cls.deployment.vms:
            cls.deployment.wait_for_status(vm["operatorAddress"], "/readyz", 200)
        cls.scope = ""
        while not cls.scope:
            body = http_request(cls.address, "/v1/entries?kind=service-changes&caller=10.1.2.3")[2]
            cls.scope = json.loads(body)["claimScope"]
            time.sleep(0.05)

    def send(self, path, key=None, body=b"change", method="POST", address=None):
        """Returns outcome, reason and body; without a complete response the outcome is "reset"."""
        headers = {"Sardinehollow-Deadline-Ms": "1500" if path.endswith("shed") else "10000"}
        if key:
            headers["Idempotency-Key"] = key
        try:
            # Longer than the deadline, at which a queued request is answered.
            _, answer, data = http_request(address or self.address, path, method, headers, body, 20)
        except Exception:  # The client raises various types for a response that ends early.
            return "reset", None, b""
        return answer["Sardinehollow-Outcome"], answer["Sardinehollow-Reason"], data

    def test_answers(self):
        """Checks the first outcome, the outcome of a repeat, and the number of runs."""
        table = [
            ("whole", ["complete"], "complete", [None], 1),
            ("large", ["complete"], "unknown", ["answer-truncated"], 1),
            ("cut", ["unknown"], "unknown", ["key-in-progress"], 1),
            # A connection reset by the forwarding daemon may precede the head of the response.
            ("truncated", ["reset", "unknown"], "unknown", ["key-in-progress"], 1),
            # The policy may queue a shed request for a retry until its deadline.
            ("shed", ["not-run"], "not-run", ["backend-shed", "deadline-passed"], 0),
        ]
        for behaviour, first, second, reasons, count in table:
            for prefix in ("", f"{self.scope}."):
                # One of the daemons owns the server; the other one forwards through the owner.
                for index, vm in enumerate(self.deployment.vms):
                    with self.subTest(behaviour=behaviour, prefix=prefix, vm=vm["vm"]):
                        self.runs.clear()
                        key = f"{prefix}{behaviour}-{index}"
                        address = vm["callerAddress"]
                        outcome, _, body = self.send(POST + behaviour, key, address=address)
                        self.assertIn(outcome, first)
                        repeated_outcome, reason, repeated_body = self.send(POST + behaviour, key)
                        self.assertEqual(repeated_outcome, second)
                        self.assertIn(reason, reasons)
                        self.assertEqual(len(self.runs), count)
                        if second == "complete":
                            self.assertEqual(body, repeated_body)

    def test_key_with_other_content_is_refused(self):
        for prefix in ("", f"{self.scope}."):
            self.runs.clear()
            key = f"{prefix}reused"
            self.assertEqual(self.send(POST + "whole", key)[0], "complete")
            answer = self.send(POST + "whole", key, b"other")
            self.assertEqual(answer[:2], ("not-run", "key-reused"))
            self.assertEqual(len(self.runs), 1)

    def test_caller_that_disconnected_gets_the_outcome(self):
        """Guards against a second run when a caller disconnects and sends the request again."""
        for prefix in ("", f"{self.scope}."):
            self.runs.clear()
            key = f"{prefix}left"
            host, port = self.address.split(":")
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(f"POST {POST}left HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {key}\r\n"
                               "Content-Length: 6\r\n\r\nchange".encode())
                while not self.runs:
                    time.sleep(0.01)
            outcome = self.send(POST + "left", key)[0]
            self.assertIn(outcome, ("unknown", "complete"))
            self.assertEqual(len(self.runs), 1)

    def test_unreachable_server_releases_the_key(self):
        """Guards against a key that stays blocked although nothing ran."""
        self.server.close()
        # close() does not interrupt accept() in another thread; a connection does.
        try:
            socket.create_connection(tuple(self.post_address.split(":")), timeout=1).close()
        except OSError:
            pass
        keys = ["refused", f"{self.scope}.refused"]
        for key in keys:
            self.assertEqual(self.send(POST + "whole", key)[0], "not-run")
        type(self).server = ScriptedServer(self.post_address, self.runs)
        for key in keys:
            self.runs.clear()
            outcome = "not-run"
            while outcome == "not-run":
                outcome = self.send(POST + "whole", key)[0]
            self.assertEqual((outcome, len(self.runs)), ("complete", 1))

    def test_retry_after_a_run_is_not_reported_as_not_run(self):
        """The first server runs a request and closes the connection; the second is unreachable."""
        self.runs.clear()
        answers = {self.send(GET + "cut", body=None, method="GET")[0] for _ in range(4)}
        self.assertGreater(len(self.runs), 0)
        self.assertNotIn("complete", answers)
        for _ in range(4):
            self.runs.clear()
            outcome = self.send(GET + "cut", body=None, method="GET")[0]
            if self.runs:
                self.assertEqual(outcome, "unknown")


if __name__ == "__main__":
    unittest.main()
