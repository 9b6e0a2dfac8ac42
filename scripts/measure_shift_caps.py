#!/usr/bin/env python3
"""Shifts erie to michigan-a and superior-a on real processes and counts the requests each admits.

Usage: measure_shift_caps.py --build DIRECTORY

A request counts towards a window of one second only if it was both sent and answered within it, so
a reported excess over a cap cannot be an artefact of the measurement.
"""

import argparse
import collections
import json
import random
import subprocess
import sys
import threading
import time

from deployment import Deployment, http_request

CAPS = {"michigan-a": 40, "superior-a": 15}
LOWERED_CAPS = {"michigan-a": 20, "superior-a": 15}
THREADS_PER_DAEMON = 3
PAUSE_SECONDS = 0.02


def shift(caps):
    return {"name": "erie-out", "fromRegion": "erie", "workKinds": ["stop-times"],
            "fraction": 1.0, "stepFraction": 1.0, "stepIntervalSeconds": 1,
            "destinations": [{"failureDomain": name, "capPerSecond": cap}
                             for name, cap in caps.items()]}


class Callers:
    """Sends requests of callers, by default of erie, to the daemons of the destinations."""

    def __init__(self, vms, first_octets="10.1"):
        self.stop_requested = threading.Event()
        self.results = []
        self.threads = [threading.Thread(target=self.send_requests, args=(vm, index, first_octets))
                        for vm in vms for index in range(THREADS_PER_DAEMON)]
        for thread in self.threads:
            thread.start()

    def send_requests(self, vm, index, octets):
        numbers = random.Random(f"{vm['vm']}-{index}")
        while not self.stop_requested.wait(PAUSE_SECONDS):
            caller = f"{octets}.{numbers.randrange(256)}.{numbers.randrange(1, 255)}"
            sent = time.monotonic()
            try:
                code, headers, _ = http_request(vm["callerAddress"], "/stop-times/1", "GET",
                                                {"Sardinehollow-Caller": caller})
            except OSError:
                continue
            self.results.append((vm["failureDomain"], sent, time.monotonic(), code,
                                 headers["Sardinehollow-Outcome"],
                                 headers["Sardinehollow-Reason"] or ""))

    def stop(self):
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()
        return self.results


def maximum_in_one_second(results):
    """Returns the largest number of requests sent and answered within any window of one second."""
    results = sorted(results, key=lambda item: item[1])
    most = 0
    for index, first in enumerate(results):
        inside = 0
        for other in results[index:]:
            if other[1] > first[1] + 1:
                break
            inside += other[2] <= first[1] + 1
        most = max(most, inside)
    return most


def report(title, results, caps, started):
    print(f"\n{title}")
    excess = False
    for domain, cap in caps.items():
        own = [item for item in results if item[0] == domain]
        admitted = [item for item in own if item[3] == 200]
        by_second = collections.Counter(int(item[2] - started) for item in admitted)
        counts = [by_second[second] for second in range(max(by_second, default=-1) + 1)]
        others = collections.Counter(item[3:] for item in own if item[3] != 200)
        most = maximum_in_one_second(admitted)
        excess = excess or most > cap
        print(f"  {domain}: cap {cap}, answered per second {counts}, most in any second {most}")
        for (code, outcome, reason), count in sorted(others.items(), key=str):
            print(f"    {count} refused: {code} {outcome} {reason}")
    return excess


def cap_enforcer(vm):
    status = json.loads(http_request(vm["operatorAddress"], "/v1/status")[2])
    return next((item.get("capEnforcer") for item in status["shifts"]), None)


def wait_for_full_shift(vms, generation):
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        states = [json.loads(http_request(vm["operatorAddress"], "/v1/status")[2]) for vm in vms]
        if all(state["generation"] >= generation
               and [item["fraction"] for item in state["shifts"]] == [1.0] for state in states):
            return
        time.sleep(0.2)
    sys.exit("the shift did not take its step everywhere within 60 s")


def measure(deployment):
    vms = [vm for vm in deployment.vms if vm["failureDomain"] in CAPS]
    deployment.configuration["shifts"] = [shift(CAPS)]
    print(deployment.submit(message="shift erie")[1].strip())
    started = time.monotonic()
    wait_for_full_shift(deployment.vms, 2)
    print(f"fraction 1.0 in force at all daemons after {time.monotonic() - started:.1f} s")
    answer = json.loads(http_request(deployment.vms[0]["callerAddress"],
                                     "/v1/entries?kind=stop-times&caller=10.1.2.3")[2])
    print("look-up of 10.1.2.3:", [entry["failureDomain"] for entry in answer["entries"]])
    time.sleep(4)

    started = time.monotonic()
    callers = Callers(vms)
    time.sleep(8)
    excess = report("steady", callers.stop(), CAPS, started)

    started = time.monotonic()
    callers = Callers(vms)
    name = cap_enforcer(vms[0])
    time.sleep(1)
    deployment.processes[name].kill()
    time.sleep(9)
    excess = report(f"cap enforcer {name} killed after 1 s", callers.stop(), CAPS,
                    started) or excess

    vms = [vm for vm in vms if vm["vm"] != name]
    deployment.configuration["shifts"] = [shift(LOWERED_CAPS)]
    print(deployment.submit(message="lower the cap")[1].strip())
    wait_for_full_shift([vm for vm in deployment.vms if vm["vm"] != name], 3)
    time.sleep(1.5)
    started = time.monotonic()
    callers = Callers(vms)
    time.sleep(5)
    excess = report("cap lowered", callers.stop(), LOWERED_CAPS, started) or excess

    started = time.monotonic()
    callers = Callers(vms, "10.2")
    time.sleep(2)
    results = callers.stop()
    print("\ncallers of michigan, not shifted:",
          dict(collections.Counter(item[3:] for item in results)))
    return 1 if excess else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="build directory")
    options = parser.parse_args()
    printed = subprocess.run([f"{options.build}/examples/sardinehollow-example-lakeshore"],
                             check=True, capture_output=True, text=True)
    deployment = Deployment(options.build, json.loads(printed.stdout), 3,
                            extra_settings={"trustCallerHeader": True})
    try:
        deployment.start()
        return measure(deployment)
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
