"""Measures how long a claim scope has no owner after its owner was killed, on real processes.

Usage: claim_takeover.py --build DIRECTORY [--repeats N]
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scripts"))
from deployment import Deployment, http_request  # noqa: E402

LOOK_UP_PATH = "/v1/entries?kind=service-changes&caller=10.1.2.3"


def scope_of(vm):
    return json.loads(http_request(vm["callerAddress"], LOOK_UP_PATH)[2])["claimScope"]


def wait_for_scope(vm, old, seconds):
    """Returns the first scope that differs from the old one; the old one after a time-out."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        scope = scope_of(vm)
        if scope and scope != old:
            return scope
        time.sleep(0.02)
    return old


def wait_for_stable_scope(vm):
    """Returns the scope once it has not changed for 6 s."""
    scope = ""
    while True:
        newer = wait_for_scope(vm, scope, 6)
        if newer and newer == scope:
            return scope
        scope = newer


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--repeats", type=int, default=5)
    options = parser.parse_args()
    printed = subprocess.run([f"{options.build}/examples/sardinehollow-example-lakeshore"],
                             check=True, capture_output=True, text=True)
    configuration = json.loads(printed.stdout)
    domain = configuration["failureDomains"][0]["name"]
    deployment = Deployment(options.build, configuration, 2, [domain])
    times = []
    try:
        deployment.start()
        for index in range(options.repeats):
            killed, live = deployment.vms[index % 2], deployment.vms[1 - index % 2]
            scope = wait_for_stable_scope(live)
            process = deployment.processes[killed["vm"]]
            process.kill()
            process.wait()
            started = time.monotonic()
            # An unchanged scope means that the killed daemon was not the owner.
            if wait_for_scope(live, scope, 10) != scope:
                times.append(time.monotonic() - started)
            deployment.start_daemon(killed)
            deployment.wait_for_status(killed["operatorAddress"], "/readyz", 200)
    finally:
        deployment.stop()
    print(f"take-over after a kill: median {statistics.median(times):.2f} s, "
          f"{min(times):.2f} to {max(times):.2f} s, {len(times)} kills")


if __name__ == "__main__":
    main()
