"""The faults that the soak test injects, each with the action that ends it."""

import json
import signal

from deployment import http_request

PROXY_MODES = ("delay", "cut_up", "cut_down", "silence", "refuse")
GRACE_SECONDS = 6
# A crashed server's entry expires after this time.
ENTRY_EXPIRY_SECONDS = 1.5


class Fault:
    """A fault and its duration in seconds; begin() injects it and undo() ends it."""

    def __init__(self, name, seconds, begin, undo=lambda: None):
        self.name = name
        self.seconds = seconds
        self.begin = begin
        self.undo = undo


def draw_fault(system, rng):
    """Chooses a fault by the random source alone, so that a seed repeats the schedule of faults."""
    factories = (backend_link, backend_link, store_link, reset_links, pause, kill, terminate,
                 send_hangup, crash_backend, drain_backend, configure, evacuate, store_fault)
    # An option of its own, so that seeds of runs without it keep their schedules.
    if system.restores_store:
        factories += (restore_store, restore_store)
    return rng.choice(factories)(system, rng)


def backend_link(system, rng):
    proxy, mode = rng.choice(system.backend_proxies), rng.choice(PROXY_MODES)
    return link_fault("backend-link", proxy, mode, rng)


def store_link(system, rng):
    proxy, mode = rng.choice(list(system.store_proxies.values())), rng.choice(PROXY_MODES)
    return link_fault("store-link", proxy, mode, rng)


def link_fault(name, proxy, mode, rng):
    delay = rng.uniform(0.02, 0.3)

    def begin():
        proxy.delay_seconds = delay
        proxy.mode = mode

    def undo():
        proxy.mode = "pass"
        if mode != "delay":
            # A link failure loses the data in transit.
            proxy.reset_connections()

    return Fault(f"{name} {mode}", rng.uniform(0.3, 2.5), begin, undo)


def reset_links(system, rng):
    proxy = rng.choice(system.backend_proxies + list(system.store_proxies.values()))
    return Fault("reset connections", 0, proxy.reset_connections)


def pause(system, rng):
    name = rng.choice(sorted(system.deployment.daemons))
    return Fault(f"pause {name}", rng.uniform(0.2, 1.5),
                 lambda: system.signal_daemon(name, signal.SIGSTOP),
                 lambda: system.signal_daemon(name, signal.SIGCONT))


def kill(system, rng):
    name = rng.choice(sorted(system.deployment.daemons))
    return end_daemon(system, name, signal.SIGKILL, rng.uniform(0.1, 1.0))


def terminate(system, rng):
    name = rng.choice(sorted(system.deployment.daemons))
    return end_daemon(system, name, signal.SIGTERM, GRACE_SECONDS + 0.5)


def end_daemon(system, name, number, seconds):
    signalled = []

    def begin():
        signalled.append(system.deployment.processes[name])
        system.signal_daemon(name, number)

    # start_daemon() does nothing if another fault has restarted the daemon in the meantime.
    return Fault(f"{number.name} {name}", seconds, begin,
                 lambda: system.start_daemon(name, signalled[0]))


def send_hangup(system, rng):
    name = rng.choice(sorted(system.deployment.daemons))
    return Fault(f"hang up {name}", 0, lambda: system.signal_daemon(name, signal.SIGHUP))


def crash_backend(system, rng):
    backend = rng.choice(system.backends)
    return Fault(f"crash {backend.name}", ENTRY_EXPIRY_SECONDS + rng.uniform(0, 1),
                 backend.stop, lambda: system.restart_backend(backend))


def drain_backend(system, rng):
    backend = rng.choice(system.backends)

    def set_state(state):
        # A server that has announced its departure does not withdraw it.
        if backend.is_leaving:
            return
        backend.state = state
        backend.register()

    return Fault(f"drain {backend.name}", rng.uniform(1, 3),
                 lambda: set_state("draining"), lambda: set_state("ready"))


def configure(system, rng):
    timeout = rng.choice((1.5, 2.0, 3.0))
    return Fault(f"configure timeout {timeout}", 0, lambda: system.configure(timeout))


def evacuate(system, rng):
    domain = rng.choice(sorted(system.deployment.regions))
    return Fault(f"evacuate {domain}", rng.uniform(1, 3),
                 lambda: system.deployment.store.put(f"op/evacuate/{domain}", "1"),
                 lambda: system.deployment.store.delete(f"op/evacuate/{domain}"))


def restore_store(system, rng):
    """Takes the store away and brings it back from a copy that is as old as the fault is long."""
    def set_faults(**fields):
        http_request(system.deployment.control_address, "/faults", "POST", {},
                     json.dumps(fields).encode())

    def restore():
        set_faults(storeOutage=True)
        set_faults(storeRestore=True)
        set_faults(storeOutage=False)
        system.write_again()

    return Fault("restore store", rng.uniform(0.5, 3), lambda: set_faults(storeSnapshot=True),
                 restore)


def store_fault(system, rng):
    fields_on = rng.choice(
        ({"storeOutage": True}, {"storeDelayMs": 400}, {"storeLostReplies": 2}))
    fields_off = {"storeOutage": False, "storeDelayMs": 0, "storeLostReplies": 0}

    def set_faults(fields):
        http_request(system.deployment.control_address, "/faults", "POST", {},
                     json.dumps(fields).encode())

    return Fault(f"store {fields_on}", rng.uniform(0.3, 2), lambda: set_faults(fields_on),
                 lambda: set_faults(fields_off))
