"""Sends POST requests with idempotency keys while daemons are killed, paused and without a store.

Guards, on real processes, against a key that runs twice and against the outcome not-run for a key
that ran. Every key is retried through other entries until its outcome is known.

Usage: claim_faults.py --build DIRECTORY [--seconds N] [--seed N] [--in-memory]
"""

import argparse
import collections
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))
from deployment import Deployment, http_request  # noqa: E402

KIND = "service-changes"
PATH = "/service-changes"
CALLERS = 8
MAXIMUM_ATTEMPTS = 8


class Callers:
    """Sends changes from several threads and records every result by idempotency key."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.seed = seed
        self.answers = collections.defaultdict(list)
        self.scoped_count = 0
        self.violations = []
        self.lock = threading.Lock()
        self.stop_requested = threading.Event()
        self.threads = [threading.Thread(target=self.send_requests, args=(index,))
                        for index in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def look_up(self, rng):
        """Queries the daemons in random order; returns the first answer with entries."""
        vms = list(self.deployment.vms)
        rng.shuffle(vms)
        for vm in vms:
            try:
                code, _, body = http_request(
                    vm["callerAddress"], f"/v1/entries?kind={KIND}&caller=10.1.2.3", timeout=1)
            except OSError:
                continue
            answer = json.loads(body)
            if code == 200 and answer["entries"]:
                return answer
        return None

    def post(self, address, key, content):
        headers = {"Idempotency-Key": key, "Sardinehollow-Deadline-Ms": "4000"}
        try:
            code, answer, body = http_request(address, PATH, "POST", headers, content, timeout=6)
        except OSError:
            return ("lost", None, None, None)
        return (answer.get("Sardinehollow-Outcome"), answer.get("Sardinehollow-Reason"), code, body)

    def send_requests(self, index):
        rng = random.Random(self.seed * 100 + index)
        number = 0
        while not self.stop_requested.is_set():
            answer = self.look_up(rng)
            if answer is None:
                continue
            number += 1
            name = f"{index}-{number}"
            # Every fourth key is unscoped.
            scoped = answer["claimScope"] and number % 4 != 0
            key = f"{answer['claimScope']}.{name}" if scoped else f"plain-{name}"
            self.scoped_count += 1 if scoped else 0
            self.send_until_known(rng, answer["entries"], key, name.encode())

    def send_until_known(self, rng, entries, key, content):
        for attempt in range(MAXIMUM_ATTEMPTS):
            # The first attempt uses the best entry; retries also go through other failure domains.
            entry = entries[0] if attempt == 0 else rng.choice(entries)
            result = self.post(entry["address"], key, content)
            with self.lock:
                self.answers[key].append(result)
            # A completed key is repeated once, to check the recorded outcome.
            finished = [item for item in self.answers[key] if item[0] == "complete"]
            if len(finished) > 1 or (self.stop_requested.is_set() and finished):
                return
            time.sleep(0.05 if finished else 0.3)
            self.check_not_run(key)

    def check_not_run(self, key):
        """As long as every outcome is not-run, the key must not have run, not even later."""
        results = self.answers[key]
        if any(item[0] != "not-run" for item in results):
            return
        runs = json.loads(http_request(self.deployment.control_address, "/runs")[2])
        if key in runs:
            with self.lock:
                self.violations.append(f"{key} ran after the answers {results}")

    def stop(self):
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()


class Faults:
    """Injects random faults, often two at once; at most one daemon is dead or paused at a time."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.counts = collections.Counter()

    def set_faults(self, **faults):
        http_request(self.deployment.control_address, "/faults", "POST", {},
                     json.dumps(faults).encode())

    def inject_brief_fault(self):
        """Injects a fault of the store or of a backend server that ends without further action."""
        name = self.rng.choice(["lost replies", "lapsed leases", "crashed server"])
        self.counts[name] += 1
        if name == "lost replies":
            self.set_faults(storeLostReplies=self.rng.randint(1, 5))
        elif name == "lapsed leases":
            self.set_faults(storeLapseLeases=True)
        else:
            pool = next(item for item in self.deployment.configuration["pools"]
                        if item["name"] == KIND)
            server = self.rng.choice(pool["backendServers"])
            self.set_faults(backendServers=[{"name": server["name"], "crashMs": 500}])

    def inject_daemon_fault(self, duration):
        vm = self.rng.choice(self.deployment.vms)
        process = self.deployment.processes[vm["vm"]]
        if self.rng.random() < 0.5:
            self.counts["killed"] += 1
            process.kill()
            process.wait()
            time.sleep(duration)
            self.deployment.start_daemon(vm)
        else:
            self.counts["paused"] += 1
            process.send_signal(signal.SIGSTOP)
            time.sleep(duration)
            process.send_signal(signal.SIGCONT)

    def run(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for _ in range(3):
                self.inject_brief_fault()
                time.sleep(self.rng.uniform(0.1, 0.5))
            outage = self.rng.random() < 0.4
            if outage:
                self.counts["store outages"] += 1
                self.set_faults(storeOutage=True)
                time.sleep(self.rng.uniform(0.2, 1.5))
            if not outage or self.rng.random() < 0.6:
                self.inject_daemon_fault(self.rng.uniform(0.5, 5.0))
            if outage:
                self.set_faults(storeOutage=False)
            time.sleep(self.rng.uniform(0.5, 3.0))


def find_violations(answers, runs):
    """Returns the violations of the claim rules, by the callers' results and the servers' runs."""
    violations = []
    for key, count in runs.items():
        if count > 1:
            violations.append(f"{key} ran {count} times: {answers[key]}")
    for key, results in answers.items():
        outcomes = {item[0] for item in results}
        if outcomes == {"not-run"} and runs.get(key, 0) != 0:
            violations.append(f"{key} ran, but every answer was not-run")
        if "complete" in outcomes and runs.get(key, 0) != 1:
            violations.append(f"{key} was answered complete and ran {runs.get(key, 0)} times")
        was_complete = False
        for outcome, reason, *_ in results:
            # After the outcome complete an attempt may still be refused, but not by the owner.
            if was_complete and outcome == "not-run" and reason == "key-reused":
                violations.append(f"{key} was refused as reused")
            was_complete = was_complete or outcome == "complete"
        bodies = {item[3] for item in results if item[0] == "complete"}
        if len(bodies) > 1:
            violations.append(f"{key} was answered with different outcomes")
    return violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="build directory")
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--in-memory", action="store_true", help="storeOutage in-memory")
    options = parser.parse_args()
    printed = subprocess.run([f"{options.build}/examples/sardinehollow-example-lakeshore"],
                             check=True, capture_output=True, text=True)
    configuration = json.loads(printed.stdout)
    for kind in configuration["workKinds"]:
        if options.in_memory and not kind["idempotent"]:
            kind["storeOutage"] = "in-memory"
    names = [item["name"] for item in configuration["failureDomains"]][:2]
    deployment = Deployment(options.build, configuration, 2, names)
    try:
        deployment.start()
        time.sleep(4)
        callers = Callers(deployment, options.seed)
        faults = Faults(deployment, options.seed)
        faults.run(options.seconds)
        time.sleep(5)
        callers.stop()
        runs = json.loads(http_request(deployment.control_address, "/runs")[2])
    finally:
        for process in deployment.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        deployment.stop()
    counts = collections.Counter((item[0], item[1]) for results in callers.answers.values()
                                 for item in results)
    for answer, count in sorted(counts.items(), key=str):
        print(f"{count:6d}  {answer[0]} {answer[1] or ''}")
    repeated = [item for item in callers.answers.values()
                if len([one for one in item if one[0] == "complete"]) > 1]
    print(f"faults: {dict(faults.counts)}")
    print(f"keys: {len(callers.answers)}, scoped: {callers.scoped_count}, ran: {len(runs)}, "
          f"most runs of one key: {max(runs.values(), default=0)}, repeated: {len(repeated)}")
    violations = callers.violations + find_violations(callers.answers, runs)
    for violation in violations:
        print("FAULT:", violation)
    is_meaningful = callers.scoped_count > 0 and runs and repeated
    if not is_meaningful:
        print("FAULT: no scoped key, no run or no repeat was seen")
    return 1 if violations or not is_meaningful else 0


if __name__ == "__main__":
    sys.exit(main())
