"""Demonstrates a look-up, requests of each work kind, and drains under load.

Usage: demo.py --build DIRECTORY [--deployment NAME] [--keep FILE]
"""

import argparse
import collections
import json
import os
import signal
import subprocess
import sys
import threading
import time

from deployment import Deployment, http_request

REQUESTS = {
    "stop-times": ("GET", "/stop-times/pier-7"),
    "service-changes": ("POST", "/service-changes"),
    "archives": ("GET", "/archives/week-49?bytes=200000"),
}


STOP_SIGNALS = {signal.SIGINT, signal.SIGTERM}


def look_up(deployment, kind, vm=None):
    code, headers, body = http_request((vm or deployment.vms[0])["callerAddress"],
                                       f"/v1/entries?kind={kind}&caller=10.1.2.3")
    if code != 200:
        sys.exit(f"look-up returned status {code}: {body!r}")
    return json.loads(body), headers


def send(entries, kind, number):
    """Tries the entries in order, as a caller does.

    Returns status, outcome, reason and body size of the first response.
    """
    method, path = REQUESTS[kind]
    headers = {"Idempotency-Key": f"demo-{kind}-{number}"} if method == "POST" else {}
    body = f"change {number}".encode() if method == "POST" else None
    for entry in entries:
        try:
            code, answer, data = http_request(entry["address"], path, method, headers, body)
        except OSError:
            continue
        return code, answer.get("Sardinehollow-Outcome"), answer.get("Sardinehollow-Reason"), len(data)
    return 0, "unreachable", None, 0


class LoadGenerator:
    """Sends requests of all work kinds from several threads until stopped; counts the results."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.counts = collections.Counter()
        self.stop_requested = threading.Event()
        self.look_up_vm = deployment.vms[0]
        self.threads = [threading.Thread(target=self.send_requests, args=(kind, index))
                        for kind in REQUESTS for index in range(2)]
        for thread in self.threads:
            thread.start()

    def send_requests(self, kind, index):
        number = 0
        answer, fetched = None, 0.0
        while not self.stop_requested.is_set():
            if answer is None or time.monotonic() - fetched > answer["ttlMs"] / 1000:
                fetched = time.monotonic()
                answer = look_up(self.deployment, kind, self.look_up_vm)[0]
            number += 1
            code, outcome, reason, _ = send(answer["entries"], kind, f"{index}-{number}")
            self.counts[(kind, code, outcome, reason)] += 1

    def stop(self):
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()


def demonstrate_drains(deployment):
    generator = LoadGenerator(deployment)
    time.sleep(1)
    draining_vm = deployment.vms[1]
    print(f"\nDraining the daemon on VM {draining_vm['vm']} and backend server stop-times-1 "
          "under load")
    started = time.monotonic()
    process = deployment.processes[draining_vm["vm"]]
    process.send_signal(signal.SIGTERM)
    http_request(deployment.control_address, "/faults", "POST", {},
                 json.dumps({"backendServerLeaving": "stop-times-1"}).encode())
    process.wait(timeout=30)
    print(f"the daemon exited after {time.monotonic() - started:.1f} s, "
          f"exit code {process.returncode}")
    time.sleep(1)
    generator.stop()
    print("requests while draining, by kind, status, outcome and reason:")
    for key, count in sorted(generator.counts.items(), key=str):
        print(f"  {count:6d}  {key[0]:16s} {key[1]} {key[2]} {key[3] or ''}")
    runs = json.loads(http_request(deployment.control_address, "/runs")[2])
    print(f"POST requests run: {len(runs)} keys, most runs of one key: {max(runs.values())}")
    failed = [key for key in generator.counts if key[1] != 200]
    return not failed and max(runs.values()) == 1


def demonstrate(deployment):
    for kind in REQUESTS:
        answer, headers = look_up(deployment, kind)
        print(f"\nlook-up for {kind}: generation {answer['generation']}, valid for "
              f"{answer['ttlMs']} ms ({headers['Cache-Control']})")
        for entry in answer["entries"][:3]:
            print(f"  {entry['address']} in {entry['failureDomain']}")
        code, outcome, reason, size = send(answer["entries"], kind, "first")
        print(f"request: status {code}, outcome {outcome}, {size} bytes")
    answer = look_up(deployment, "service-changes")[0]
    code, outcome, reason, _ = send(answer["entries"], "service-changes", "first")
    print(f"the same POST request again: status {code}, outcome {outcome} (the recorded answer)")
    return demonstrate_drains(deployment)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="build directory")
    parser.add_argument("--keep", metavar="FILE", help="leave all running; write addresses to FILE")
    parser.add_argument("--deployment", default="lakeshore", choices=("lakeshore", "hanbit"))
    parser.add_argument("--daemons", type=int, default=2, help="daemons of a failure domain")
    options = parser.parse_args()
    if options.deployment != "lakeshore" and not options.keep:
        parser.error("the demo supports lakeshore only; use --keep for other deployments")
    program = f"{options.build}/examples/sardinehollow-example-{options.deployment}"
    printed = subprocess.run([program],
                             check=True, capture_output=True, text=True)
    deployment = Deployment(options.build, json.loads(printed.stdout), options.daemons)
    if options.keep:
        # Blocked before the start, so that a signal during the start still stops the processes.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    try:
        deployment.start()
        print(f"{len(deployment.vms)} daemons and "
              f"{len(deployment.addresses()['backendServers'])} backend servers are ready")
        if options.keep:
            # Renamed when complete: a reader that polls for the file must not see a part of it.
            partial = options.keep + ".partial"
            with open(partial, "w", encoding="utf-8") as file:
                json.dump(deployment.addresses(), file, indent=2)
            os.replace(partial, options.keep)
            print(f"addresses are in {options.keep}; interrupt to stop")
            signal.sigwait(STOP_SIGNALS)
            return 0
        return 0 if demonstrate(deployment) else 1
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
