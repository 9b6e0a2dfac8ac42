"""Demonstrates the users' platform: registration, directory, requests, a crash and an evacuation.

Usage: platform_demo.py --build DIRECTORY
"""

import argparse
import collections
import json
import sys
import time

from deployment import http_request
from platform_deployment import Backend, PlatformDeployment, route, send_request

REGIONS = {"east-a": "east", "east-b": "east", "west-a": "west"}


def send_and_report(deployment, title, count, prefix):
    """Sends requests to all daemons in turn and prints the counts of responses by server.

    Returns whether all responses have status 200.
    """
    addresses = [daemon["caller"] for daemon in deployment.daemons.values()]
    answers = collections.Counter()
    for number in range(count):
        status, _, body = send_request(addresses[number % len(addresses)], f"/look/{number}",
                                       f"{prefix}-{number}", caller_object=str(number))
        answers[(status, body.decode().split(" ")[0])] += 1
    print(f"\n{title}")
    for (status, server), times in sorted(answers.items()):
        print(f"  {times:4d} x {status} {server}")
    return set(status for status, _ in answers) == {200}


def demonstrate(deployment):
    backends = [Backend(deployment.store, f"{domain}-{index}", "look-ups", domain)
                for domain in REGIONS for index in (1, 2)]
    for backend in backends:
        backend.start()
    for domain in REGIONS:
        deployment.add_daemon(f"entry-{domain}", domain)
    for name in deployment.daemons:
        deployment.wait_until(lambda: deployment.is_ready(name))
        deployment.wait_until(lambda: deployment.metric(name, "entry_daemons") == len(REGIONS))
    print(f"{len(deployment.daemons)} daemons and {len(backends)} backend servers are ready")
    directory = deployment.daemons["entry-east-a"]["directory"]
    answer = json.loads(http_request(directory, "/sardinehollow/resolve?name=h.example&region=east"
                                     "&zone=east-a")[2])
    print(f"callers in east-a receive: {', '.join(answer['addresses'])} for {answer['ttlS']} s")
    is_served = send_and_report(deployment, "30 requests for 30 objects", 30, "first")
    backends[0].stop()
    deployment.store.delete(f"servers/{backends[0].name}")
    is_served &= send_and_report(deployment, f"the same after {backends[0].name} crashed", 30,
                                 "dead")
    deployment.store.put("op/evacuate/east-b", "1")
    time.sleep(1.5)
    is_served &= send_and_report(deployment, "the same after east-b was evacuated", 30, "evacuated")
    metrics = ",".join(daemon["metrics"] for daemon in deployment.daemons.values())
    code, text = deployment.run_ctl("platform", "status", "--store",
                                    deployment.store.address, "--daemons", metrics)
    print(f"\nsardinehollowctl platform status\n{text}")
    return is_served and code == 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="build directory")
    options = parser.parse_args()
    deployment = PlatformDeployment(options.build, REGIONS)
    try:
        deployment.start_store()
        deployment.put_configuration(1, {"look": route("look", "look-ups")}, ["look-ups"])
        return 0 if demonstrate(deployment) else 1
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
