"""Tests of the daemon and sardinehollowctl on the users' platform, as separate processes.

Usage: platform_contract.py BUILD
"""

import json
import pathlib
import signal
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from deployment import ADDRESS, free_ports  # noqa: E402
from platform_deployment import Backend, PlatformDeployment, route, send_request  # noqa: E402

BUILD = sys.argv.pop(1)
REGIONS = {"east-a": "east", "west-a": "west"}


class PlatformContract(unittest.TestCase):
    """Two daemons and three backend servers, one of them draining; a fourth entry is invalid."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = PlatformDeployment(BUILD, REGIONS)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start_store()
        cls.deployment.put_configuration(7, {
            "look": route("look", "look-ups"),
            "home": route("home", "look-ups", homes=["west"])}, ["look-ups"])
        cls.backends = [Backend(cls.deployment.store, f"s-{domain}", "look-ups", domain)
                        for domain in REGIONS]
        for backend in cls.backends:
            backend.start()
            cls.addClassCleanup(backend.stop)
        draining = Backend(cls.deployment.store, "s-draining", "look-ups", "east-a")
        draining.state = "draining"
        draining.register()
        cls.deployment.store.put("servers/s-odd", json.dumps({"address": 17}))
        for domain in REGIONS:
            cls.deployment.add_daemon(f"vm-{domain}", domain)
        for name in cls.deployment.daemons:
            cls.deployment.wait_until(lambda: cls.deployment.is_ready(name))
            cls.deployment.wait_until(
                lambda: cls.deployment.metric(name, "entry_daemons") == len(REGIONS))

    def run_platform_command(self, *arguments):
        return self.deployment.run_ctl("platform", *arguments)

    def test_status_reports_what_is_in_force_at_each_daemon(self):
        """Guards against a status that hides which daemon lags behind the store."""
        metrics = [self.deployment.daemons[f"vm-{domain}"]["metrics"] for domain in REGIONS]
        code, text = self.run_platform_command(
            "status", "--store", self.deployment.store.address, "--daemons", ",".join(metrics),
            "--json")
        self.assertEqual(code, 0, text)
        lines = [json.loads(line) for line in text.splitlines()]
        self.assertEqual(lines[0]["configuration"], 7)
        self.assertEqual([row["vm"] for row in lines[0]["daemons"]], ["vm-east-a", "vm-west-a"])
        self.assertEqual({(row["failureDomain"], row["ready"], row["draining"])
                          for row in lines[0]["servers"]}, {("east-a", 1, 1), ("west-a", 1, 0)})
        self.assertEqual(len(lines[0]["faults"]), 1)
        self.assertIn("s-odd", lines[0]["faults"][0])
        self.assertEqual([line["configuration"] for line in lines[1:]], ["7", "7"])

    def test_explain_names_the_servers_that_may_run_a_request(self):
        code, text = self.run_platform_command(
            "explain", "--store", self.deployment.store.address, "--region", "east",
            "--failure-domain", "east-a", "--host", "h.example", "--path", "/home/x")
        self.assertEqual(code, 0, text)
        rows = {line.split()[0]: line for line in text.splitlines() if line.startswith("  ")}
        self.assertIn("outside the route's home regions", rows["s-east-a"])
        self.assertIn("may run it", rows["s-west-a"])
        self.assertIn("draining", rows["s-draining"])
        self.assertIn(self.deployment.daemons["vm-east-a"]["caller"], text.splitlines()[0])

    def test_exit_codes(self):
        nowhere = f"{ADDRESS}:{free_ports(1)[0]}"
        store = self.deployment.store.address
        place = ["--region", "east", "--failure-domain", "east-a", "--host", "h.example"]
        table = [
            (5, "check that the platform runs", "status", "--store", nowhere),
            (5, "check the metrics address", "status", "--store", store, "--daemons", nowhere),
            (1, "no route of configuration 7", "explain", "--store", store, *place, "--path", "/x"),
            (2, "Usage", "explain", "--store", store),
        ]
        for code, text, *arguments in table:
            with self.subTest(arguments=arguments):
                exit_code, output = self.run_platform_command(*arguments)
                self.assertEqual(exit_code, code, output)
                self.assertIn(text, output)

    def test_daemons_serve_with_the_settings_template(self):
        """Guards against a settings template that the daemon does not accept."""
        for number, daemon in enumerate(self.deployment.daemons.values()):
            status, headers, body = send_request(daemon["caller"], "/look/x", f"own-{number}")
            self.assertEqual(status, 200)
            self.assertIn(f"ran own-{number}", body.decode())
            self.assertIn(f"own-{number}", headers["Server-Seal"])

    def test_settings_faults_are_reported_at_once(self):
        path = self.deployment.path("broken.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"vm": "x", "retryRatio": 7, "unknown": 1}, file)
        program = [f"{BUILD}/apps/sardinehollowd-platform", "--config", path]
        self.deployment.start_process("broken", program)
        self.assertEqual(self.deployment.processes["broken"].wait(timeout=10), 3)
        with open(self.deployment.path("broken.log"), encoding="utf-8") as file:
            text = file.read()
        for pointer in ("/callerAddress", "/storeAddress", "/retryRatio", "/unknown"):
            self.assertIn(pointer, text)

    def test_leaving_daemon_exits_after_sigterm(self):
        self.deployment.add_daemon("vm-leaving", "east-a")
        self.deployment.wait_until(lambda: self.deployment.is_ready("vm-leaving"))
        process = self.deployment.processes["vm-leaving"]
        process.send_signal(signal.SIGTERM)
        self.deployment.wait_until(lambda: not self.deployment.is_ready("vm-leaving"))
        self.assertEqual(process.wait(timeout=10), 0)

    def test_signals_during_the_start_are_obeyed(self):
        """Guards against a stop that is lost while a daemon starts, until a kill cuts its requests.

        A daemon waits for its settings, so that its application does not exist yet.
        """
        for number, signals in enumerate([[signal.SIGTERM], [signal.SIGINT],
                                          [signal.SIGHUP, signal.SIGTERM]]):
            with self.subTest(signals=signals):
                name = f"vm-starting-{number}"
                release_settings = self.deployment.add_held_daemon(name, "east-a")
                process = self.deployment.processes[name]
                for each in signals:
                    process.send_signal(each)
                release_settings()
                self.deployment.wait_until(
                    lambda: process.poll() is not None or self.deployment.is_ready(name))
                self.assertEqual(process.poll(), 0, "the daemon became ready")
                with open(self.deployment.path(f"{name}.log"), encoding="utf-8") as file:
                    events = [json.loads(line)["event"] for line in file]
                self.assertNotIn("ready", events)
                self.assertEqual(events.count("reload"), signals.count(signal.SIGHUP))


if __name__ == "__main__":
    unittest.main()
