"""Measures the slopes behind docs/CAPACITY.md on loopback and writes them as JSON.

Usage: measure_capacity.py --build DIRECTORY --out FILE [--part daemons|blocks|all]

daemons: control bytes, messages, processor time and store calls at rest and for each change, against
the number of daemons and failure domains. blocks: memory, processor time and time to be in effect
against the number of client blocks.
"""

import argparse
import copy
import json
import os
import pathlib
import re
import statistics
import sys
import time

from deployment import Deployment, http_request

ROOT = pathlib.Path(__file__).resolve().parent.parent
REST_SECONDS = 10
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def metrics(vm):
    text = http_request(vm["operatorAddress"], "/metrics")[2].decode()
    values = {}
    for name, value in re.findall(r"^(sardinehollow_\w+(?:\{[^}]*\})?) ([0-9.e+]+)$", text, re.M):
        values[name] = float(value)
    return values


def total(values, prefix):
    return sum(value for name, value in values.items() if name.startswith(prefix))


def sample(deployment):
    """Returns the cumulative resource use and traffic of each daemon since its start."""
    rows = {}
    for vm in deployment.vms:
        pid = deployment.processes[vm["vm"]].pid
        values = metrics(vm)
        rows[vm["vm"]] = {
            "cpu": processor_seconds(pid), "rss": resident_bytes(pid),
            "sentBytes": total(values, "sardinehollow_peer_sent_bytes_total"),
            "receivedBytes": total(values, "sardinehollow_peer_received_bytes_total"),
            "messages": total(values, "sardinehollow_peer_sent_messages_total"),
            "storeCalls": total(values, "sardinehollow_store_calls_total")}
    return rows


def difference(before, after, seconds):
    """Returns the mean, maximum (a relay) and sum of the daemons' rates between two samples."""
    result = {}
    for key in ("cpu", "sentBytes", "receivedBytes", "messages", "storeCalls"):
        rates = [(after[vm][key] - before[vm][key]) / seconds for vm in after]
        result[key] = {"mean": round(statistics.mean(rates), 5), "max": round(max(rates), 5),
                       "sum": round(sum(rates), 3)}
    result["rssMb"] = round(max(row["rss"] for row in after.values()) / 1e6, 1)
    return result


def wait_in_effect(deployment, generation, timeout_seconds=120):
    """Returns the seconds from now until each daemon has the generation in effect."""
    started = time.monotonic()
    waiting = {vm["vm"]: vm for vm in deployment.vms}
    times = {}
    while waiting and time.monotonic() - started < timeout_seconds:
        for name, vm in list(waiting.items()):
            status = json.loads(http_request(vm["operatorAddress"], "/v1/status")[2])
            if status["generation"] >= generation:
                times[name] = time.monotonic() - started
                del waiting[name]
        time.sleep(0.005)
    if waiting:
        sys.exit(f"generation {generation} is not in effect on {sorted(waiting)}")
    return times


def change_once(deployment, number):
    """Changes one client block and submits it; returns the seconds from acceptance to effect."""
    deployment.configuration["clientBlocks"][1]["site"] = deployment.configuration["sites"][
        number % 2]["name"]
    code, output = deployment.submit(message=f"change {number}")
    if code != 0:
        sys.exit(output)
    return wait_in_effect(deployment, int(re.search(r"generation (\d+)", output).group(1)))


def with_failure_domains(configuration, domains):
    """Returns a copy with the given number of failure domains, two in each region."""
    changed = copy.deepcopy(configuration)
    regions = [f"region-{index}" for index in range((domains + 1) // 2)]
    changed["regions"] = regions
    changed["failureDomains"] = [{"name": f"fd-{index}", "region": regions[index // 2]}
                                 for index in range(domains)]
    changed["links"] = []
    changed["sites"] = [{"name": f"site-{index}",
                         "failureDomains": [f"fd-{(index + step) % domains}" for step in range(2)]
                         if domains > 1 else ["fd-0"]} for index in range(max(2, domains))]
    for pool in changed["pools"]:
        for index, server in enumerate(pool["backendServers"]):
            server["failureDomain"] = f"fd-{index % domains}"
    for index, block in enumerate(changed["clientBlocks"]):
        block["site"] = changed["sites"][index % len(changed["sites"])]["name"]
    return changed


def measure_daemons(build, base):
    rows = []
    for domains, daemons in ((1, 2), (1, 6), (1, 12), (2, 2), (4, 2), (8, 2), (4, 6)):
        deployment = Deployment(build, with_failure_domains(base, domains), daemons)
        try:
            deployment.start()
            time.sleep(5)  # excludes the first heartbeats, which carry all addresses
            before, started = sample(deployment), time.monotonic()
            time.sleep(REST_SECONDS)
            rest = difference(before, sample(deployment), time.monotonic() - started)
            before, started, times = sample(deployment), time.monotonic(), []
            changes = 10
            for number in range(changes):
                times += change_once(deployment, number).values()
            seconds = time.monotonic() - started
            active = difference(before, sample(deployment), seconds)
            rows.append({"failureDomains": domains, "daemons": domains * daemons, "rest": rest,
                         "changing": active, "changesPerSecond": round(changes / seconds, 3),
                         "inEffectP50Seconds": round(statistics.median(times), 4),
                         "inEffectMaxSeconds": round(max(times), 4)})
            print(json.dumps(rows[-1]))
        finally:
            deployment.stop()
    return rows


def with_client_blocks(base, count):
    configuration = copy.deepcopy(base)
    sites = [{"name": f"site-{index}", "failureDomains": configuration["sites"][index % 3][
        "failureDomains"]} for index in range(150)]
    configuration["sites"] += sites
    for index in range(count):
        prefix = f"{11 + (index >> 16)}.{index >> 8 & 255}.{index & 255}.0/24"
        configuration["clientBlocks"].append({"prefix": prefix, "site": sites[index % 150]["name"]})
    return configuration


def measure_blocks(build, base):
    rows = []
    for count in (1_000, 100_000, 300_000, 1_100_000):
        deployment = Deployment(build, with_client_blocks(base, count), 2, ["erie-a", "michigan-a"])
        try:
            started = time.monotonic()
            deployment.start()
            first = time.monotonic() - started
            time.sleep(3)
            before, started, times = sample(deployment), time.monotonic(), []
            changes = 3
            for number in range(changes):
                times += change_once(deployment, number).values()
            seconds = time.monotonic() - started
            after = sample(deployment)
            use = difference(before, after, 1)
            rows.append({"clientBlocks": count, "startSeconds": round(first, 1),
                         "rssMb": use["rssMb"],
                         "cpuSecondsPerChange": {key: round(use["cpu"][key] / changes, 4)
                                                 for key in ("mean", "max")},
                         "receivedBytesPerChange": {
                             key: round(use["receivedBytes"][key] / changes) for key in ("mean", "max")},
                         "secondsBetweenChanges": round(seconds / changes, 2),
                         "inEffectP50Seconds": round(statistics.median(times), 4),
                         "inEffectMaxSeconds": round(max(times), 4)})
            print(json.dumps(rows[-1]))
        finally:
            deployment.stop()
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--out", required=True)
    parser.add_argument("--part", choices=("daemons", "blocks", "all"), default="all")
    options = parser.parse_args()
    base = json.loads((ROOT / "examples/lakeshore.json").read_text(encoding="utf-8"))
    out = pathlib.Path(options.out)
    result = json.loads(out.read_text()) if out.exists() else {}
    if options.part in ("daemons", "all"):
        result["daemons"] = measure_daemons(options.build, base)
    if options.part in ("blocks", "all"):
        result["blocks"] = measure_blocks(options.build, base)
    out.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
