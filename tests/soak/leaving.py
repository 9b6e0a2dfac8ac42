"""Backend servers that announce in their responses, but not in the store, that they leave."""

import random
import threading
import time

# Time after which no request may reach a server through a daemon that passed on its announcement.
DRAIN_SECONDS = 2.5


class LeaveInjector(threading.Thread):
    """Lets one backend server after the other leave, and starts it again as a new incarnation.

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
            backend.is_leaving = True
            self.stop_requested.wait(DRAIN_SECONDS + self.rng.uniform(1, 3))
            backend.stop()
            self.system.restart_backend(backend)


def check_leaving(system, records):
    """Returns a violation for each request that reached a server too late after its announcement."""
    by_attempt = {record.attempt: record for record in records}
    violations = []
    for backend in system.backends:
        # Time, by daemon and incarnation, at which a caller had the first announcement.
        told_at = {}
        for born, attempt in backend.leave_announcements:
            record = by_attempt.get(attempt)
            if record is None or record.server_seal != f"{backend.name}.{attempt}":
                continue
            key = (record.daemon, born)
            told_at[key] = min(told_at.get(key, record.ended_at), record.ended_at)
        for born, attempt in backend.arrivals_while_leaving:
            record = by_attempt.get(attempt)
            told = told_at.get((record.daemon, born)) if record else None
            if told is None or record.sent_at <= told + DRAIN_SECONDS:
                continue
            if not system.was_restarted(record.daemon, told, record.sent_at):
                violations.append(f"{record.kind} {attempt} reached {backend.name} "
                                  f"{record.sent_at - told:.2f} s after its announcement")
    return violations
