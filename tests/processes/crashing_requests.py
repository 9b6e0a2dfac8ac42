"""A request that crashes the servers that run it, sent by many callers, as separate processes.

Usage: crashing_requests.py BUILD
"""

import http.client
import itertools
import pathlib
import sys
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from deployment import ADDRESS  # noqa: E402
from platform_deployment import Backend, PlatformDeployment, reserve, route  # noqa: E402

BUILD = sys.argv.pop(1)
REGIONS = {"east-a": "east", "east-b": "east", "west-a": "west"}
DAEMONS = [f"{domain}-{number}" for domain in REGIONS for number in (1, 2)]
SERVERS = 12
CRASHING_TARGET = "/look/17/crash"
PAUSE_SECONDS = 0.08
RESTART_SECONDS = 1.0
# The entry of a crashed server remains for three missed heartbeats.
ENTRY_SECONDS = 4.5
REPEATS_AFTER_QUARANTINE = 120


class CrashingBackend(Backend):
    """Ends when it begins to run the crashing request, and starts again under another name."""

    # Names of the servers that the crashing request has reached, of all instances.
    arrivals = []
    names = itertools.count()
    stop_requested = threading.Event()

    def serve(self, request):
        is_misdirected = request.headers.get("Target-Instance", self.name) != self.name
        if request.path != CRASHING_TARGET or is_misdirected:
            super().serve(request)
            return
        self.arrivals.append(self.name)
        threading.Thread(target=self.crash, daemon=True).start()
        # Ends with the connection, without a response.
        raise OSError("the server has crashed")

    def crash(self):
        with self.lock:
            name, self.name = self.name, f"s-{next(CrashingBackend.names)}"
        self.stop()
        threading.Timer(ENTRY_SECONDS, self.store.delete, [f"servers/{name}"]).start()
        if not self.stop_requested.wait(RESTART_SECONDS):
            self.restart()


class CrashingRequestTest(unittest.TestCase):
    """Daemons and servers, and callers that each have an address of their own."""

    def setUp(self):
        self.deployment = PlatformDeployment(BUILD, REGIONS)
        self.addCleanup(self.deployment.stop)
        self.deployment.start_store()
        self.deployment.put_configuration(1, {"look": route("look", "s", "safe")}, ["s"])
        domains = itertools.cycle(REGIONS)
        for _ in range(SERVERS):
            backend = CrashingBackend(self.deployment.store, f"s-{next(CrashingBackend.names)}",
                                      "s", next(domains), address=reserve(ADDRESS))
            backend.start()
            self.addCleanup(backend.stop)
        self.addCleanup(CrashingBackend.stop_requested.set)
        for name in DAEMONS:
            self.deployment.add_daemon(name, name.rsplit("-", 1)[0])
        for name in DAEMONS:
            self.deployment.wait_until(lambda: self.deployment.is_ready(name))
        self.callers = (f"127.9.{number // 250}.{number % 250 + 1}" for number in itertools.count())

    def send(self, daemon):
        """Sends the crashing request as a new caller; returns whether it is held for quarantined."""
        host, port = self.deployment.daemons[daemon]["caller"].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5,
                                                source_address=(next(self.callers), 0))
        try:
            connection.request("GET", CRASHING_TARGET, headers={
                "Host": "h.example", "Attempt-Id": f"crash-{time.monotonic_ns()}",
                "Cookie": "Affinity-Key=17", "Deadline-Ms": "1500"})
            response = connection.getresponse()
            return response.status == 503 and b"quarantined" in response.read()
        finally:
            connection.close()

    # BUDGET: each caller's repeats counted as a request of their own, which ended two more servers.
    def test_request_is_quarantined_for_all_callers(self):
        unaware = set(DAEMONS)

        def is_known_everywhere():
            for name in sorted(unaware):
                if self.send(name):
                    unaware.discard(name)
                time.sleep(PAUSE_SECONDS)
            return not unaware

        self.deployment.wait_until(is_known_everywhere)
        arrived = len(CrashingBackend.arrivals)
        refused = [self.send(name)
                   for name, _ in zip(itertools.cycle(DAEMONS), range(REPEATS_AFTER_QUARANTINE))]
        self.assertTrue(all(refused))
        self.assertEqual(len(CrashingBackend.arrivals), arrived)


if __name__ == "__main__":
    unittest.main()
