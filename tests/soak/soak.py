"""A randomised soak of the users' platform: real processes, faults from outside, promises checked.

Usage: soak.py --build DIRECTORY [--seed N] [--runs N] [--seconds S] [--keep DIRECTORY]

The seed decides the schedule of faults and what callers send; processes run on as they do. A run
that breaks a promise prints it with its seed and, with --keep, copies the logs. Seeds that failed
once are in regressions.txt with the cause.
"""

import argparse
import collections
import heapq
import itertools
import pathlib
import random
import shutil
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from deployment import ADDRESS  # noqa: E402
from platform_deployment import Backend, PlatformDeployment, reserve, route, send  # noqa: E402
import faults  # noqa: E402
from caller import NOT_RUN_STATUSES, Caller  # noqa: E402
from proxy import Proxy  # noqa: E402

REGIONS = {"east-a": "east", "east-b": "east", "west-a": "west"}
CALLERS = 8
MAXIMUM_ATTEMPTS = 2
RECOVERY_SECONDS = 15
# A daemon that was stopped or killed answers nothing that was under way, and the network of the
# machine tells its callers within this time.
DISTURBANCE_SECONDS = 1.0


class World:
    """The processes of one run, and who disturbed which of them when."""

    def __init__(self, build, seed):
        self.random = random.Random(seed)
        self.deployment = PlatformDeployment(build, REGIONS)
        # Of the newest configuration that the store has acknowledged.
        self.version = 0
        self.next_version = 0
        self.disturbed = collections.defaultdict(list)
        self.exit_codes = []
        self.deployment.start_store()
        self.configure(2.0)
        self.backends, self.backend_proxies = [], []
        for domain in REGIONS:
            for index in (1, 2):
                backend = Backend(self.deployment.store, f"{domain}-{index}", "s", domain,
                                  work_seconds=0.005)
                proxy = Proxy(reserve(ADDRESS), backend.listen_address, seed)
                backend.address = proxy_address(proxy)
                backend.start()
                self.backends.append(backend)
                self.backend_proxies.append(proxy)
        self.store_proxies = {}
        for domain in REGIONS:
            name = f"vm-{domain}"
            proxy = Proxy(reserve(ADDRESS), self.deployment.store.address, seed)
            self.store_proxies[name] = proxy
            self.deployment.add_daemon(name, domain, proxy_address(proxy))
        for name in self.deployment.daemons:
            self.deployment.wait_until(lambda: self.deployment.is_ready(name))

    def configure(self, timeout):
        self.next_version += 1
        routes = {"look": route("look", "s", "safe", timeout, attempts=MAXIMUM_ATTEMPTS),
                  "post": route("post", "s", "unsafe", timeout, attempts=MAXIMUM_ATTEMPTS)}
        if self.deployment.put_configuration(self.next_version, routes, ["s"]):
            self.version = self.next_version
        return self.version == self.next_version

    def signal_daemon(self, name, number):
        process = self.deployment.processes[name]
        if process.poll() is not None:
            return
        if number in (signal.SIGSTOP, signal.SIGKILL):
            self.disturbed[name].append([time.monotonic(), None])
        if number == signal.SIGCONT:
            self.end_disturbance(name)
        process.send_signal(number)

    def end_disturbance(self, name):
        for interval in self.disturbed[name]:
            interval[1] = interval[1] or time.monotonic() + DISTURBANCE_SECONDS

    def start_daemon(self, name, process):
        """Starts a daemon again once the process that was signalled has ended."""
        if process is not self.deployment.processes[name]:
            return
        # A stopped process cannot end by itself.
        process.send_signal(signal.SIGCONT)
        try:
            self.exit_codes.append((name, process.wait(timeout=faults.GRACE_SECONDS + 2)))
        except Exception:  # It did not end in its grace period, which check() reports.
            self.exit_codes.append((name, "did not end"))
            process.kill()
            process.wait()
        self.deployment.add_daemon(name, self.deployment.daemons[name]["failureDomain"])
        self.end_disturbance(name)

    def restart_backend(self, backend):
        if backend.server is not None:
            return
        self.deployment.store.delete(f"servers/{backend.name}")
        backend.state = "ready"
        backend.restart()

    def heal(self):
        for proxy in self.backend_proxies + list(self.store_proxies.values()):
            proxy.mode = "pass"
        for backend in self.backends:
            self.restart_backend(backend)
            backend.state = "ready"
            self.deployment.wait_until(backend.register)
        # What was not acknowledged during an outage is repeated.
        for domain in REGIONS:
            self.deployment.wait_until(
                lambda: self.deployment.store.delete(f"op/evacuate/{domain}"))
        self.deployment.wait_until(lambda: self.configure(2.0))
        for name, process in list(self.deployment.processes.items()):
            if name != "standin" and process.poll() is not None:
                self.start_daemon(name, process)

    def was_disturbed(self, address, begin, end):
        name = next(name for name, daemon in self.deployment.daemons.items()
                    if daemon["caller"] == address)
        return any(start <= end and (stop is None or begin <= stop)
                   for start, stop in self.disturbed[name])

    def stop(self):
        for proxy in self.backend_proxies + list(self.store_proxies.values()):
            proxy.stop()
        for backend in self.backends:
            backend.stop()
        self.deployment.stop()


def proxy_address(proxy):
    return "{}:{}".format(*proxy.listener.getsockname())


def play(world, seconds):
    """Begins faults at random times, several at once, and ends each when its time is over."""
    end = time.monotonic() + seconds
    order = itertools.count()
    undoing = []
    history = []
    while time.monotonic() < end:
        pause = time.monotonic() + world.random.uniform(0.05, 0.8)
        while time.monotonic() < pause:
            while undoing and undoing[0][0] <= time.monotonic():
                heapq.heappop(undoing)[2].undo()
            time.sleep(0.01)
        fault = faults.draw(world, world.random)
        history.append(f"{time.monotonic() - end + seconds:6.2f} s {fault.name}"
                       f" for {fault.seconds:.2f} s")
        fault.begin()
        heapq.heappush(undoing, (time.monotonic() + fault.seconds, next(order), fault))
    while undoing:
        heapq.heappop(undoing)[2].undo()
    return history


def check(world, records):
    """Returns the promises that were broken, by what callers and backend servers saw."""
    runs = collections.Counter(attempt for backend in world.backends
                               for attempt, _ in backend.runs)
    broken = []
    for record in records:
        count = runs[record.attempt]
        text = (f"{record.kind} {record.attempt} at {record.daemon}: {record.result}, "
                f"{count} runs, {record.ended_at - record.sent_at:.2f} s, connection of "
                f"{record.connection_age:.2f} s")
        is_excused = world.was_disturbed(record.daemon, record.sent_at, record.ended_at)
        if record.kind == "post" and count > 1:
            broken.append(f"an unsafe request ran twice: {text}")
        if count > MAXIMUM_ATTEMPTS:
            broken.append(f"a request ran on too many servers: {text}")
        if record.result in NOT_RUN_STATUSES and count > 0:
            broken.append(f"a refused request ran: {text}")
        is_own = record.seal and f"ran {record.attempt}".encode() in record.body
        if record.result == 200 and not (is_own and count > 0):
            broken.append(f"an answer is not the request's own: {text}, body {record.body!r}")
        if record.result == "hung" and not is_excused:
            broken.append(f"no answer came: {text}")
        if record.result == "closed" and count > 0 and not is_excused:
            broken.append(f"a request ran and its connection was closed without an answer: {text}")
    for name, code in world.exit_codes:
        if code not in (0, -signal.SIGKILL):
            broken.append(f"{name} ended with {code}")
    return broken


def check_recovery(world):
    """Once nothing disturbs them all daemons serve again, and the newest configuration is in force."""
    try:
        for name, daemon in world.deployment.daemons.items():
            world.deployment.wait_until(lambda: world.deployment.is_ready(name), RECOVERY_SECONDS)
            world.deployment.wait_until(
                lambda: world.deployment.metric(name, "configuration_version") == world.version
                and world.deployment.metric(name, "backend_servers") == len(world.backends),
                RECOVERY_SECONDS)
            numbers = itertools.count()
            world.deployment.wait_until(
                lambda: all(send(daemon["caller"], "/look/x", f"r-{name}-{next(numbers)}")[0] == 200
                            for _ in range(10)), RECOVERY_SECONDS)
    except TimeoutError:
        return [f"{name} does not serve {RECOVERY_SECONDS} s after the last fault"]
    return []


def run(build, seed, seconds, keep):
    world = World(build, seed)
    try:
        callers = [Caller(number, seed, world) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        history = play(world, seconds)
        world.heal()
        broken = check_recovery(world)
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join()
        # What was refused must not run later either.
        time.sleep(1)
        records = [record for caller in callers for record in caller.records]
        broken += check(world, records)
        results = collections.Counter(str(record.result) for record in records)
        print(f"seed {seed}: {len(history)} faults, {len(records)} requests, "
              f"{dict(sorted(results.items()))}, {len(broken)} promises broken", flush=True)
        for line in broken[:20] + (history if broken else []):
            print(f"  {line}")
        if broken and keep:
            shutil.copytree(world.deployment.directory.name, f"{keep}/seed-{seed}",
                            dirs_exist_ok=True)
        served = results.get("200", 0)
        # A system that answers nothing would break no other promise.
        if served * 2 < len(records):
            broken.append("less than half of the requests were served")
            print(f"  {broken[-1]}")
        return not broken
    finally:
        world.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="build directory")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="seeds to play, one after the other")
    parser.add_argument("--seconds", type=float, default=12, help="time with faults in each run")
    parser.add_argument("--keep", help="directory for the logs of runs that fail")
    options = parser.parse_args()
    results = [run(options.build, seed, options.seconds, options.keep)
               for seed in range(options.seed, options.seed + options.runs)]
    print(f"{sum(results)} of {len(results)} seeds kept every promise")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
