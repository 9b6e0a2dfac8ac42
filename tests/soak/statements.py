"""Backend servers that state in their responses, but not in the store, that they want no requests."""

import collections
import random
import threading
import time

# Time after which no request may reach a server through a daemon that passed on its announcement.
DRAIN_SECONDS = 2.5
# A server that refuses with Retry-After may get a few requests of that daemon until then.
REFUSAL_SECONDS = 0.5
REQUESTS_WHILE_PAUSED = 2


class StatementInjector(threading.Thread):
    """Lets one backend server after the other leave and start again, or pause.

    It has a random source of its own, so that it does not change the schedule of the other faults.
    """

    def __init__(self, system, seed):
        super().__init__(daemon=True)
        self.system = system
        self.rng = random.Random(f"leave-{seed}")
        self.stop_requested = threading.Event()

    def run(self):
        while not self.stop_requested.wait(self.rng.uniform(0.2, 1.5)):
            backend = self.rng.choice(self.system.backends)
            if backend.server is None:
                continue
            if self.rng.random() < 0.5:
                self.leave(backend)
            else:
                self.pause(backend)

    def leave(self, backend):
        backend.is_leaving = True
        self.stop_requested.wait(DRAIN_SECONDS + self.rng.uniform(1, 3))
        backend.stop()
        self.system.restart_backend(backend)

    def pause(self, backend):
        backend.paused_until = time.monotonic() + self.rng.uniform(1, 4)
        self.stop_requested.wait(backend.paused_until - time.monotonic())


def check_statements(system, records):
    """Returns a violation for each request that reached a server against what it had stated."""
    by_attempt = {record.attempt: record for record in records}
    violations = []
    for backend in system.backends:
        # Time, by daemon, incarnation and end of the pause, at which the daemon knew of it.
        told_at = {}
        for stated in backend.statements:
            record = by_attempt.get(stated.attempt)
            if record is not None and has_read(record, backend, stated):
                key = (record.daemon, stated.born, stated.until)
                told_at[key] = min(told_at.get(key, record.ended_at), record.ended_at)
        late = collections.Counter()
        for arrival in backend.late_arrivals:
            record = by_attempt.get(arrival.attempt)
            key = (record.daemon, arrival.born, arrival.until) if record else None
            margin = DRAIN_SECONDS if arrival.until is None else REFUSAL_SECONDS
            if key not in told_at or record.sent_at <= told_at[key] + margin:
                continue
            if system.was_restarted(record.daemon, told_at[key], record.sent_at):
                continue
            late[key] += 1
            if arrival.until is None or late[key] > REQUESTS_WHILE_PAUSED:
                violations.append(f"{record.kind} {arrival.attempt} reached {backend.name} "
                                  f"{record.sent_at - told_at[key]:.2f} s after it had stated "
                                  + ("that it leaves" if arrival.until is None else "a pause"))
    return violations


def has_read(record, backend, stated):
    """Whether the caller's response shows that the daemon had read the server's response."""
    own_seal = f"{backend.name}.{stated.attempt}"
    if stated.until is None:
        return record.server_seal == own_seal
    # A request that may not be repeated goes to another server only after a refusal was read.
    return record.kind == "post" and (record.result == 503
                                      or record.server_seal not in (None, own_seal))
