"""The faults of the soak: what may happen, and how each of them ends."""

import json
import signal

from deployment import http

PROXY_MODES = ("delay", "cut_up", "cut_down", "silence", "refuse")
GRACE_SECONDS = 6
# A dead server's entry lapses after this time.
ENTRY_LAPSE_SECONDS = 1.5


class Fault:
    """A fault with the time for which it lasts; undo() ends it."""

    def __init__(self, name, seconds, begin, undo=lambda: None):
        self.name = name
        self.seconds = seconds
        self.begin = begin
        self.undo = undo


def draw(world, random):
    """Draws one fault; the random source alone decides, so that a seed repeats the schedule."""
    makers = (backend_link, backend_link, store_link, reset_links, pause, kill, terminate,
              hang_up, crash_backend, drain_backend, configure, evacuate, store_fault)
    return random.choice(makers)(world, random)


def backend_link(world, random):
    proxy, mode = random.choice(world.backend_proxies), random.choice(PROXY_MODES)
    return link_fault("backend-link", proxy, mode, random)


def store_link(world, random):
    proxy, mode = random.choice(list(world.store_proxies.values())), random.choice(PROXY_MODES)
    return link_fault("store-link", proxy, mode, random)


def link_fault(name, proxy, mode, random):
    delay = random.uniform(0.02, 0.3)

    def begin():
        proxy.delay_seconds = delay
        proxy.mode = mode

    def undo():
        proxy.mode = "pass"
        if mode != "delay":
            # A cut link loses what was under way.
            proxy.reset_connections()

    return Fault(f"{name} {mode}", random.uniform(0.3, 2.5), begin, undo)


def reset_links(world, random):
    proxy = random.choice(world.backend_proxies + list(world.store_proxies.values()))
    return Fault("reset connections", 0, proxy.reset_connections)


def pause(world, random):
    name = random.choice(sorted(world.deployment.daemons))
    return Fault(f"pause {name}", random.uniform(0.2, 1.5),
                 lambda: world.signal_daemon(name, signal.SIGSTOP),
                 lambda: world.signal_daemon(name, signal.SIGCONT))


def kill(world, random):
    name = random.choice(sorted(world.deployment.daemons))
    return ending(world, name, signal.SIGKILL, random.uniform(0.1, 1.0))


def terminate(world, random):
    name = random.choice(sorted(world.deployment.daemons))
    return ending(world, name, signal.SIGTERM, GRACE_SECONDS + 0.5)


def ending(world, name, number, seconds):
    ended = []

    def begin():
        ended.append(world.deployment.processes[name])
        world.signal_daemon(name, number)

    # Another fault may have ended and started it meanwhile.
    return Fault(f"{number.name} {name}", seconds, begin,
                 lambda: world.start_daemon(name, ended[0]))


def hang_up(world, random):
    name = random.choice(sorted(world.deployment.daemons))
    return Fault(f"hang up {name}", 0, lambda: world.signal_daemon(name, signal.SIGHUP))


def crash_backend(world, random):
    backend = random.choice(world.backends)
    return Fault(f"crash {backend.name}", ENTRY_LAPSE_SECONDS + random.uniform(0, 1), backend.stop,
                 lambda: world.restart_backend(backend))


def drain_backend(world, random):
    backend = random.choice(world.backends)

    def set_state(state):
        backend.state = state
        backend.register()

    return Fault(f"drain {backend.name}", random.uniform(1, 3), lambda: set_state("draining"),
                 lambda: set_state("ready"))


def configure(world, random):
    timeout = random.choice((1.5, 2.0, 3.0))
    return Fault(f"configure timeout {timeout}", 0, lambda: world.configure(timeout))


def evacuate(world, random):
    domain = random.choice(sorted(world.deployment.regions))
    return Fault(f"evacuate {domain}", random.uniform(1, 3),
                 lambda: world.deployment.store.put(f"op/evacuate/{domain}", "1"),
                 lambda: world.deployment.store.delete(f"op/evacuate/{domain}"))


def store_fault(world, random):
    switch = random.choice(({"storeOutage": True}, {"storeDelayMs": 400}, {"storeLostReplies": 2}))
    undo = {"storeOutage": False, "storeDelayMs": 0, "storeLostReplies": 0}

    def set_faults(fields):
        http(world.deployment.control, "/faults", "POST", {}, json.dumps(fields).encode())

    return Fault(f"store {switch}", random.uniform(0.3, 2), lambda: set_faults(switch),
                 lambda: set_faults(undo))
