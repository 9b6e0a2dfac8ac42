"""Exit codes and messages of sardinehollowctl, tested against the stand-in platform.

Usage: ctl_contract.py BUILD
"""

import json
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from deployment import ADDRESS, Deployment, free_ports, http_request  # noqa: E402

BUILD = sys.argv.pop(1)


class CtlContract(unittest.TestCase):
    """Each test starts with generation 1 in the stand-in's store."""

    def setUp(self):
        configuration = json.loads((ROOT / "examples/lakeshore.json").read_text(encoding="utf-8"))
        self.deployment = Deployment(BUILD, configuration, daemons_per_domain=1)
        self.addCleanup(self.deployment.stop)
        self.deployment.start_standin()
        self.assertEqual(self.deployment.submit()[0], 0)
        self.store = ["--store", self.deployment.platform_address]
        self.named = [*self.store, "--deployment", "lakeshore"]
        self.file = self.deployment.path("configuration.json")

    def check(self, code, text, *arguments):
        exit_code, output = self.deployment.run_ctl(*arguments)
        self.assertEqual(exit_code, code, output)
        self.assertIn(text, output)

    def test_exit_codes(self):
        """Guards against exit codes that report a failure as a success, or the reverse."""
        self.deployment.write_json("broken.json", {"schemaVersion": 1})
        broken = self.deployment.path("broken.json")
        unreachable = ["--store", f"{ADDRESS}:{free_ports(1)[0]}"]
        table = [
            (0, "valid", "validate", self.file),
            (2, "cannot read", "validate", self.deployment.path("none.json")),
            (2, "Usage", "frobnicate"),
            (3, "/deployment: is missing", "validate", broken),
            (3, "/ranks: is missing", "submit", broken, *self.store),
            (0, "0 differences", "diff", self.file, *self.store),
            (0, "generation 1 by demo", "history", *self.named),
            (0, '"deployment": "lakeshore"', "show", *self.named),
            (1, "no configuration", "show", *self.store, "--deployment", "other"),
            (4, "accepted first", "submit", self.file, *self.store, "--base", "0"),
            (5, "check that the platform runs", "show", *unreachable, "--deployment", "lakeshore"),
            (2, "unknown target", "drain", "planet", "x", *self.named),
            (3, "names unknown", "drain", "region", "nowhere", *self.named),
            (2, "not a number", "shift", "s", *self.named, "--from", "erie", "--to",
             "superior-a=10", "--fraction", "x"),
            (2, "is not a destination", "shift", "s", *self.named, "--from", "erie", "--to",
             "superior-a", "--fraction", "0.5"),
            (0, "sardinehollowctl 0.", "version"),
            (0, "sardinehollowctl 0.", "--version"),
            (0, "Usage", "--help"),
        ]
        for code, text, *arguments in table:
            with self.subTest(arguments=arguments):
                self.check(code, text, *arguments)

    def test_drain_and_shift_are_kept_and_undone(self):
        """Guards against a command that exits with 0 without changing the configuration."""
        self.check(0, "generation 2", "drain", "region", "erie", *self.named, "--author", "ann")
        self.check(0, "generation 2", "drain", "region", "erie", *self.named)
        self.check(0, "generation 3", "shift", "s", *self.named, "--from", "michigan", "--to",
                   "superior-a=10,superior-b=20", "--fraction", "0.5")
        self.check(0, "- /shifts/s/fraction: 0.5", "diff", self.file, *self.store)
        self.check(0, "generation 4", "drain", "region", "erie", *self.named, "--undo")
        self.check(0, "generation 5", "shift", "s", *self.named, "--undo")
        self.check(0, "0 differences", "diff", self.file, *self.store)
        self.check(0, "generation 2 by ann: drain region erie", "history", *self.named)

    def test_outage_is_not_an_acceptance(self):
        """Guards against a submission that reports success while the store is down."""
        http_request(self.deployment.control_address, "/faults", "POST", {},
                     b'{"storeOutage": true}')
        self.check(5, "status 503", "submit", self.file, *self.store)

    def test_wait_reports_daemons_that_do_not_answer(self):
        """Guards against --wait treating a daemon without an answer as up to date."""
        missing = f"{ADDRESS}:{free_ports(1)[0]}"
        self.check(6, "no answer", "submit", self.file, *self.store, "--wait", "--daemons",
                   missing, "--timeout", "1")


if __name__ == "__main__":
    unittest.main()
