"""Measures configuration changes and control traffic for different numbers of daemons.

Usage: measure_shared_state.py --build DIRECTORY [--sizes LIST] [--changes N] [--blocks N] [--rest S]

A size is DOMAINSxDAEMONS, for example 6x4 for 24 daemons in 6 failure domains.
"""

import argparse
import copy
import datetime
import json
import os
import re
import statistics
import subprocess
import sys
import time

from deployment import Deployment, http_request

IN_FORCE = re.compile(r"\[(.+?)\] \[info\] configuration generation (\d+) by")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mebibytes(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def read_counters(deployment):
    """Returns [store calls, bytes sent, bytes received, CPU seconds] for each daemon."""
    result = []
    for vm in deployment.vms:
        text = http_request(vm["operatorAddress"], "/metrics")[2].decode()
        values = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[:1] not in ("", "#"))
        result.append([
            int(values['sardinehollow_store_calls_total{purpose="configuration"}']),
            int(values["sardinehollow_peer_sent_bytes_total"]),
            int(values["sardinehollow_peer_received_bytes_total"]),
            processor_seconds(deployment.processes[vm["vm"]])])
    return result


def counter_differences(before, after):
    return [[new - old for old, new in zip(*pair)] for pair in zip(before, after)]


def activation_times(deployment):
    """Returns the times at which the daemons applied each generation, by generation."""
    times = {}
    for vm in deployment.vms:
        with open(deployment.path(f"{vm['vm']}.log"), encoding="utf-8") as file:
            for stamp, generation in IN_FORCE.findall(file.read()):
                moment = datetime.datetime.strptime(stamp, "%Y-%m-%d %H:%M:%S.%f")
                times.setdefault(int(generation), []).append(moment.timestamp())
    return times


def summary(rows, seconds):
    daemons = len(rows)
    return {"storeCallsPerSecond": round(sum(row[0] for row in rows) / seconds, 2),
            "sentBytesPerSecondMean": round(sum(row[1] for row in rows) / seconds / daemons),
            "sentBytesPerSecondMax": round(max(row[1] for row in rows) / seconds),
            "receivedBytesPerSecondMean": round(sum(row[2] for row in rows) / seconds / daemons),
            "corePercentMean": round(100 * sum(row[3] for row in rows) / seconds / daemons, 2),
            "corePercentMax": round(100 * max(row[3] for row in rows) / seconds, 2)}


def add_blocks(configuration, count):
    site = configuration["sites"][0]["name"]
    configuration["clientBlocks"] += [
        {"prefix": f"100.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}/32", "site": site}
        for index in range(count)]


def apply_change(configuration, number):
    """Moves one client block to another site; changes answerLifetimeMs if there are few blocks."""
    blocks = configuration["clientBlocks"]
    if len(blocks) > 1000:
        block = blocks[-1 - number * 37]
        others = [item["name"] for item in configuration["sites"] if item["name"] != block["site"]]
        block["site"] = others[0]
    else:
        configuration["answerLifetimeMs"] += 1


def measure(build, configuration, size, options):
    domains, daemons = (int(part) for part in size.split("x"))
    names = [item["name"] for item in configuration["failureDomains"]][:domains]
    deployment = Deployment(build, configuration, daemons, names)
    try:
        deployment.start()
        time.sleep(8)
        before = read_counters(deployment)
        time.sleep(options.rest)
        result = {"domains": domains, "daemons": len(deployment.vms),
                  "atRest": summary(counter_differences(before, read_counters(deployment)),
                                    options.rest)}
        before, started, submitted = read_counters(deployment), time.time(), {}
        for number in range(options.changes):
            apply_change(configuration, number)
            begin = time.time()
            code, output = deployment.submit(message=f"change {number}")
            if code != 0:
                sys.exit(output)
            submitted[int(output.split()[-1])] = (begin, time.time())
            time.sleep(0.5)
        time.sleep(3)
        seconds = time.time() - started
        rows = counter_differences(before, read_counters(deployment))
        result["changes"] = summary(rows, seconds)
        result["storeCallsPerChange"] = sum(row[0] for row in rows) / options.changes
        result["processorMsPerChange"] = round(
            1000 * sum(row[3] for row in rows) / len(rows) / options.changes, 1)
        times = activation_times(deployment)
        delays = [moment - submitted[generation][0]
                  for generation in submitted for moment in times.get(generation, [])]
        result["reached"] = f"{len(delays)} of {options.changes * len(deployment.vms)}"
        result["submitMsP50"] = round(1000 * statistics.median(
            end - begin for begin, end in submitted.values()))
        result["effectMsP50"] = round(1000 * statistics.median(delays))
        result["effectMsMax"] = round(1000 * max(delays))
        result["residentMbMax"] = round(max(
            resident_mebibytes(deployment.processes[vm["vm"]]) for vm in deployment.vms))
        return result
    finally:
        deployment.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True, help="build directory")
    parser.add_argument("--sizes", default="1x2,2x3,4x3,6x4,2x12")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--blocks", type=int, default=0, help="additional client blocks")
    parser.add_argument("--rest", type=int, default=10,
                        help="duration of the idle measurement in seconds")
    options = parser.parse_args()
    printed = subprocess.run([f"{options.build}/examples/sardinehollow-example-lakeshore"],
                             check=True, capture_output=True, text=True)
    configuration = json.loads(printed.stdout)
    add_blocks(configuration, options.blocks)
    for size in options.sizes.split(","):
        print(json.dumps(measure(options.build, copy.deepcopy(configuration), size, options)),
              flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
