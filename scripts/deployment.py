"""Starts the stand-in and daemons on free loopback ports, for demos, experiments and tests."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request


def process_loopback_address():
    """Returns a loopback address that no other running process uses.

    Outgoing connections use 127.0.0.1 as their source address, so the kernel cannot assign a
    reserved port of this address to another program's connection between the reservation and the
    start of the listener.
    """
    process = os.getpid()
    return f"127.{64 + (process >> 16) % 64}.{process >> 8 & 255}.{process & 255}"


ADDRESS = process_loopback_address()
RESERVED_PORTS = set()
SERVICE_TIMES_MS = {
    "stop-times": 60, "service-changes": 200, "archives": 200,
    "records": 60, "bookings": 200, "recordings": 200,
}


def free_ports(count):
    """Returns free ports of ADDRESS that no earlier call has returned."""
    sockets = []
    ports = []
    while len(ports) < count:
        sockets.append(socket.socket())
        sockets[-1].bind((ADDRESS, 0))
        port = sockets[-1].getsockname()[1]
        if port in RESERVED_PORTS:
            continue
        RESERVED_PORTS.add(port)
        ports.append(port)
    for reserved in sockets:
        reserved.close()
    return ports


def http_request(address, path, method="GET", headers=None, body=None, timeout=10):
    """Sends a request; returns status, headers and body, also for an HTTP error status.

    Raises OSError if the connection fails.
    """
    request = urllib.request.Request(
        f"http://{address}{path}", method=method, headers=headers or {}, data=body)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class Deployment:
    """One stand-in, a number of daemons in each failure domain, and their settings files."""

    def __init__(self, build, configuration, daemons_per_domain=2, failure_domains=None,
                 extra_settings=None):
        self.build = build
        self.directory = tempfile.TemporaryDirectory(prefix="sardinehollow-")
        self.configuration = configuration
        self.extra_settings = extra_settings or {}
        self.processes = {}
        names = [item["name"] for item in configuration["failureDomains"]]
        regions = {item["name"]: item["region"] for item in configuration["failureDomains"]}
        self.failure_domains = failure_domains or names
        servers = [server for pool in configuration["pools"] for server in pool["backendServers"]]
        ports = iter(free_ports(2 + len(servers) + 4 * daemons_per_domain * len(names)))
        self.platform_address = f"{ADDRESS}:{next(ports)}"
        self.control_address = f"{ADDRESS}:{next(ports)}"
        for server in servers:
            server["address"] = f"{ADDRESS}:{next(ports)}"
        self.vms = []
        for domain in self.failure_domains:
            for index in range(daemons_per_domain):
                self.vms.append({
                    "vm": f"{domain}-{index + 1}", "region": regions[domain],
                    "failureDomain": domain, "state": "live",
                    **{name: f"{ADDRESS}:{next(ports)}" for name in
                       ("callerAddress", "forwardAddress", "operatorAddress", "peerAddress")}})

    def path(self, name):
        return os.path.join(self.directory.name, name)

    def write_json(self, name, value):
        with open(self.path(name), "w", encoding="utf-8") as file:
            json.dump(value, file, indent=2)
        return self.path(name)

    def start_process(self, name, arguments):
        """Starts a process whose output is appended to the log file of that name."""
        with open(self.path(f"{name}.log"), "ab") as log:
            # Unblocks all signals: the programs must receive SIGTERM and SIGINT even if this
            # process blocks them.
            self.processes[name] = subprocess.Popen(
                arguments, stdout=log, stderr=log,
                preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_SETMASK, set()))

    def program_path(self, name):
        return os.path.join(self.build, "apps", name)

    def start_standin(self):
        servers = []
        for pool in self.configuration["pools"]:
            for server in pool["backendServers"]:
                servers.append({"name": server["name"], "address": server["address"],
                                "slots": server["slots"], "failureDomain": server["failureDomain"],
                                "serviceTimeMs": SERVICE_TIMES_MS.get(pool["name"], 20)})
        settings = {"platformAddress": self.platform_address,
                    "controlAddress": self.control_address,
                    "vms": self.vms, "backendServers": servers}
        path = self.write_json("standin.json", settings)
        self.start_process("standin",
                           [self.program_path("sardinehollow-standin"), "--config", path])
        self.wait_for_status(self.control_address, "/runs", 200)

    def start_daemon(self, vm):
        settings = {key: vm[key] for key in (
            "vm", "region", "failureDomain", "callerAddress", "forwardAddress",
            "operatorAddress", "peerAddress")}
        settings.update({"deployment": self.configuration["deployment"],
                         "storeAddresses": [self.platform_address],
                         "vmListAddress": self.platform_address})
        settings["peerSeeds"] = [f"{other['vm']}@{other['peerAddress']}" for other in self.vms
                                 if other["failureDomain"] == vm["failureDomain"] and other != vm]
        settings.update(self.extra_settings)
        path = self.write_json(f"{vm['vm']}.json", settings)
        self.start_process(vm["vm"], [self.program_path("sardinehollowd"), "--config", path])

    def run_ctl(self, *arguments):
        """Runs sardinehollowctl; returns its exit code and its output on stdout and stderr."""
        result = subprocess.run([self.program_path("sardinehollowctl"), *arguments], text=True,
                                capture_output=True, check=False)
        return result.returncode, result.stdout + result.stderr

    def submit(self, author="demo", message="initial configuration"):
        path = self.write_json("configuration.json", self.configuration)
        return self.run_ctl("submit", path, "--store", self.platform_address, "--author", author,
                            "--message", message)

    # Polls until the path returns the status; exits with an error after the given time.
    def wait_for_status(self, address, path, status, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                if http_request(address, path, timeout=2)[0] == status:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        sys.exit(f"{address}{path} did not return status {status} within {seconds} s; "
                 f"see the logs in {self.directory.name}")

    def start(self):
        self.start_standin()
        for vm in self.vms:
            self.start_daemon(vm)
        code, output = self.submit()
        print(output.strip())
        if code != 0:
            sys.exit("the configuration was not accepted; see the output above")
        for vm in self.vms:
            self.wait_for_status(vm["operatorAddress"], "/readyz", 200)

    def addresses(self):
        servers = [{"name": server["name"], "address": server["address"]}
                   for pool in self.configuration["pools"] for server in pool["backendServers"]]
        return {"daemons": self.vms, "platform": self.platform_address,
                "control": self.control_address,
                "backendServers": servers, "processes": {
                    name: process.pid for name, process in self.processes.items()}}

    def stop(self):
        """Stops the processes that this object started: the daemons first, then the stand-in."""
        for name, process in self.processes.items():
            if name != "standin" and process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in self.processes.items():
            if name == "standin":
                continue
            try:
                process.wait(timeout=30)
            except subprocess.TimeoutExpired:
                process.kill()
        standin = self.processes.get("standin")
        if standin and standin.poll() is None:
            standin.terminate()
            try:
                standin.wait(timeout=1)
            except subprocess.TimeoutExpired:
                standin.kill()
        self.directory.cleanup()
