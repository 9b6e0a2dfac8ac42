"""Restarts every daemon of a deployment in turn under load and counts what callers received.

Usage: rolling_restart.py --build DIRECTORY [--daemons N]
"""

import argparse
import json
import signal
import subprocess
import sys
import time

from demo import LoadGenerator
from deployment import Deployment, http_request


def restart(deployment, vm):
    """Restarts a daemon; returns its exit code and the seconds to its exit and to readiness."""
    started = time.monotonic()
    process = deployment.processes[vm["vm"]]
    process.send_signal(signal.SIGTERM)
    process.wait(timeout=60)
    exited = time.monotonic() - started
    deployment.start_daemon(vm)
    deployment.wait_for_status(vm["operatorAddress"], "/readyz", 200)
    return process.returncode, exited, time.monotonic() - started


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="build directory")
    parser.add_argument("--daemons", type=int, default=2, help="daemons in each failure domain")
    options = parser.parse_args()
    printed = subprocess.run([f"{options.build}/examples/sardinehollow-example-lakeshore"],
                             check=True, capture_output=True, text=True)
    deployment = Deployment(options.build, json.loads(printed.stdout), options.daemons)
    try:
        deployment.start()
        generator = LoadGenerator(deployment)
        time.sleep(1)
        for vm in list(deployment.vms):
            # Look-ups go to a daemon that is not being restarted.
            generator.look_up_vm = next(item for item in deployment.vms if item != vm)
            code, exited, ready = restart(deployment, vm)
            print(f"{vm['vm']}: exit code {code}, exited after {exited:.1f} s, "
                  f"ready again after {ready:.1f} s", flush=True)
        time.sleep(1)
        generator.stop()
        print("requests during the restarts, by kind, status, outcome and reason:")
        for key, count in sorted(generator.counts.items(), key=str):
            print(f"  {count:6d}  {key[0]:16s} {key[1]} {key[2]} {key[3] or ''}")
        runs = json.loads(http_request(deployment.control_address, "/runs")[2])
        print(f"POST requests run: {len(runs)} keys, most runs of one key: {max(runs.values())}")
        failed = [key for key in generator.counts if key[1] != 200]
        return 1 if failed or max(runs.values()) > 1 else 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
