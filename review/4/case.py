"""A daemon gets SIGTERM while it starts, and SIGKILL after graceS, as the platform stops a process.
Exits with 1 if rule LOST was broken, 0 if it held, 2 if the case couldn't run."""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import rig  # noqa: E402

ZONES = {"suwon-a": "gyeonggi", "daejeon-a": "chungcheong"}
# As the class run-command of the site hanbit-shake has them.
TIMEOUT_S = 0.8
DEADLINE_S = 2.0
WORK_S = 0.356
REQUEST_BYTES = 1200
REQUESTS_PER_S = 40
# When after its start a daemon gets SIGTERM: later by a step if the last one had not set its handler yet
# and ended at once, earlier by a step if the last one stopped in order.
FIRST_DELAY_S = 0.004
STEP_LATER_S, STEP_EARLIER_S = 0.001, 0.0017
# The least gap_s of `roll_term` on the site.
GAP_S = 1.0
TRIES_FOR_S = 75
# The rule does not count requests that were sent no later than this after the SIGTERM and at which the
# upstream was still at work in the last sixth of graceS.
EXCUSED_S = 3.0


def stop_while_starting(folder, store, record):
    """Starts a daemon and asks it to stop, until one goes on as if it had not been asked. Returns it
    with the time of the SIGTERM, or None."""
    started_at = time.monotonic()
    delay = FIRST_DELAY_S
    for number in itertools.count(1):
        if time.monotonic() - started_at > TRIES_FOR_S:
            return None, 0
        daemon = rig.Daemon(folder, store, 2, "suwon-a", ZONES)
        time.sleep(delay)
        daemon.process.send_signal(signal.SIGTERM)
        asked_at = time.monotonic()
        time.sleep(0.5)
        if daemon.process.poll() is None and daemon.is_ready():
            record.write(f"{daemon.name} is ready 0.5 s after a SIGTERM {delay * 1000:.1f} ms after "
                         f"its start; start number {number}")
            return daemon, asked_at
        try:
            daemon.process.wait(asked_at + rig.GRACE_S - time.monotonic())
        except subprocess.TimeoutExpired:
            record.write(f"SIGKILL of {daemon.name}, {rig.GRACE_S} s after its SIGTERM")
        daemon.stop()
        has_ended_at_once = daemon.process.returncode == -signal.SIGTERM
        delay = max(0.001, delay + (STEP_LATER_S if has_ended_at_once else -STEP_EARLIER_S))
        time.sleep(max(0, asked_at + GAP_S - time.monotonic()))


def addresses_of(daemon):
    path = "/sardinehollow/resolve?name=h.example&region=gyeonggi&zone=suwon-a"
    return json.loads(rig.send(daemon.directory, "GET", path, {})[2])["addresses"]


def run(folder):
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = rig.Record(folder)
    daemons = []
    with tempfile.TemporaryDirectory() as scratch:
        try:
            store = rig.Store()
            upstreams = [rig.Upstream(store, record, f"i-{number}", "svc-a", zone, work_s=WORK_S)
                         for number, zone in enumerate([*ZONES] * 3)]
            rig.put_configuration(store, 1, {"r-a": rig.route(
                "/command/", "svc-a", "unsafe", timeout_s=TIMEOUT_S)}, ["svc-a"])
            daemons = [rig.Daemon(scratch, store, number, zone, ZONES)
                       for number, zone in enumerate(ZONES)]
            for daemon in daemons:
                daemon.wait_until_ready()
            if has_trouble:
                stopped, asked_at = stop_while_starting(scratch, store, record)
                if stopped is None:
                    print("no daemon went on after a SIGTERM during its start: LOST held")
                    return 0
            else:
                stopped, asked_at = rig.Daemon(scratch, store, 2, "suwon-a", ZONES), time.monotonic()
                stopped.wait_until_ready()
            daemons.append(stopped)
            while stopped.front not in addresses_of(daemons[0]):
                time.sleep(0.1)
            record.write(f"the directory of {daemons[0].name} names {stopped.front} "
                         f"{time.monotonic() - asked_at:.1f} s after the SIGTERM")
            client = rig.Client(record, [stopped.front], "POST", "/command/{}", DEADLINE_S,
                                b"x" * REQUEST_BYTES)
            asyncio.run(load(client, stopped, asked_at + rig.GRACE_S, has_trouble, record))
            return judge(record, client.answers, upstreams, asked_at)
        except (OSError, TimeoutError) as error:
            print(f"could not run: {error!r}")
            return 2
        finally:
            for daemon in daemons:
                daemon.stop()
            record.close()


async def load(client, stopped, kill_at, has_trouble, record):
    seconds = kill_at - time.monotonic()
    running = asyncio.create_task(client.load(REQUESTS_PER_S, seconds))
    await asyncio.sleep(seconds - 0.1)
    record.write(f"{stopped.name} is ready 0.1 s before the end of graceS: "
                 f"{await asyncio.to_thread(stopped.is_ready)}")
    await asyncio.sleep(max(0, kill_at - time.monotonic()))
    if has_trouble:
        stopped.process.kill()
        record.write(f"SIGKILL of {stopped.name}, {rig.GRACE_S} s after its SIGTERM")
    await running


def judge(record, answers, upstreams, asked_at):
    runs = {attempt for upstream in upstreams for attempt in upstream.runs}
    lost = [answer for answer in answers if answer.attempt in runs and answer.status is None
            and answer.ended_after is not None and answer.sent_at > asked_at + EXCUSED_S]
    for answer in lost:
        record.write(f"lost {answer.attempt}: sent {answer.sent_at - asked_at:.2f} s after the "
                     f"SIGTERM, run by an upstream, cut after {answer.ended_after:.3f} s")
    lines = [f"{len(answers)} requests to the daemon that was asked to stop, "
             f"{sum(answer.status == 200 for answer in answers)} answered with 200",
             f"{len(lost)} run by an upstream and cut without an answer",
             "LOST is broken" if lost else "LOST held"]
    for line in lines:
        record.write(line)
        print(line)
    return 1 if lost else 0


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = run(pathlib.Path(sys.argv[1]))
    sys.stdout.flush()
    # Stand-ins' threads may still wait for a connection.
    os._exit(code)
