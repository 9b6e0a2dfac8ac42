"""Starts the stand-in and a set of daemons on free loopback ports, for the demo and experiments."""

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


def process_address():
    """Returns a loopback address that no other living process uses.

    Connections leave from 127.0.0.1, so the kernel cannot give a reserved port of this address to
    the connection of another program between the reservation and the start of the listener.
    """
    process = os.getpid()
    return f"127.{64 + (process >> 16) % 64}.{process >> 8 & 255}.{process & 255}"


ADDRESS = process_address()
RESERVED_PORTS = set()
SERVICE_TIMES_MS = {
    "stop-times": 60, "service-changes": 200, "archives": 200,
    "records": 60, "bookings": 200, "recordings": 200,
}


def free_ports(count):
    """Returns ports of ADDRESS that are free and were not returned before."""
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
    for item in sockets:
        item.close()
    return ports


def http(address, path, method="GET", headers=None, body=None, timeout=10):
    """Returns status, headers and body of a request; an HTTP error status is no exception."""
    request = urllib.request.Request(
        f"http://{address}{path}", method=method, headers=headers or {}, data=body)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class Deployment:
    """One stand-in, some daemons for each failure domain, and their settings files."""

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
        self.platform = f"{ADDRESS}:{next(ports)}"
        self.control = f"{ADDRESS}:{next(ports)}"
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

    def write(self, name, value):
        with open(self.path(name), "w", encoding="utf-8") as file:
            json.dump(value, file, indent=2)
        return self.path(name)

    def run(self, name, arguments):
        """Starts a program of the build; its output goes to a log file."""
        with open(self.path(f"{name}.log"), "ab") as log:
            # The programs must get SIGTERM and SIGINT even if this process blocks them.
            self.processes[name] = subprocess.Popen(
                arguments, stdout=log, stderr=log,
                preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_SETMASK, set()))

    def program(self, name):
        return os.path.join(self.build, "apps", name)

    def start_standin(self):
        servers = []
        for pool in self.configuration["pools"]:
            for server in pool["backendServers"]:
                servers.append({"name": server["name"], "address": server["address"],
                                "slots": server["slots"], "failureDomain": server["failureDomain"],
                                "serviceTimeMs": SERVICE_TIMES_MS.get(pool["name"], 20)})
        settings = {"platformAddress": self.platform, "controlAddress": self.control,
                    "vms": self.vms, "backendServers": servers}
        path = self.write("standin.json", settings)
        self.run("standin", [self.program("sardinehollow-standin"), "--config", path])
        self.wait_for(self.control, "/runs", 200)

    def start_daemon(self, vm):
        settings = {key: vm[key] for key in (
            "vm", "region", "failureDomain", "callerAddress", "forwardAddress",
            "operatorAddress", "peerAddress")}
        settings.update({"deployment": self.configuration["deployment"],
                         "storeAddresses": [self.platform], "vmListAddress": self.platform})
        settings["peerSeeds"] = [f"{other['vm']}@{other['peerAddress']}" for other in self.vms
                                 if other["failureDomain"] == vm["failureDomain"] and other != vm]
        settings.update(self.extra_settings)
        path = self.write(f"{vm['vm']}.json", settings)
        self.run(vm["vm"], [self.program("sardinehollowd"), "--config", path])

    def control_command(self, *arguments):
        """Runs sardinehollowctl and returns exit code and output."""
        done = subprocess.run([self.program("sardinehollowctl"), *arguments], text=True,
                              capture_output=True, check=False)
        return done.returncode, done.stdout + done.stderr

    def submit(self, author="demo", message="initial configuration"):
        path = self.write("configuration.json", self.configuration)
        return self.control_command("submit", path, "--store", self.platform, "--author", author,
                                    "--message", message)

    def wait_for(self, address, path, status, seconds=20):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            try:
                if http(address, path, timeout=2)[0] == status:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        sys.exit(f"{address}{path} did not answer {status} within {seconds} s; "
                 f"see the logs in {self.directory.name}")

    def start(self):
        self.start_standin()
        for vm in self.vms:
            self.start_daemon(vm)
        code, output = self.submit()
        print(output.strip())
        if code != 0:
            sys.exit("the configuration was not accepted")
        for vm in self.vms:
            self.wait_for(vm["operatorAddress"], "/readyz", 200)

    def addresses(self):
        servers = [{"name": server["name"], "address": server["address"]}
                   for pool in self.configuration["pools"] for server in pool["backendServers"]]
        return {"daemons": self.vms, "platform": self.platform, "control": self.control,
                "backendServers": servers, "processes": {
                    name: process.pid for name, process in self.processes.items()}}

    def stop(self):
        """Ends the processes that this object started, by their ids."""
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
