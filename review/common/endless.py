"""One run of a small deployment in which some upstreams send bytes without end in place of some of
their answers. Exits with 1 if rule CONFIG was broken, 0 if it held, 2 if it couldn't run."""

import asyncio
import collections
import itertools
import os
import pathlib
import signal
import sys
import tempfile
import threading
import time

import rig

ZONES = {"suwon-a": "gyeonggi", "daejeon-a": "chungcheong"}
# As the class record-lookup of the site hanbit-shake has them.
TIMEOUT_S = 0.8
DEADLINE_S = 1.5
REQUESTS_PER_S = 200
WORK_S = 0.05
UPSTREAMS = 6
# The dose of `garble` on day trouble-2 of the site: x 0.05 for 5 s; the share of `kinds`, 0.5. Each faulty
# upstream spoils the last two of each 40 of its answers, so that its share never exceeds 0.05.
FAULTY_UPSTREAMS = 3
FAULTS_IN_A_ROW, ANSWERS_IN_A_ROW = 2, 40
TROUBLE_AT_S, TROUBLE_FOR_S = 3.0, 5.0
LOAD_FOR_S = 13.0
# The rule: "Eight or more of them, and over a quarter, have no final answer".
LEAST_REQUESTS = 8
LARGEST_SHARE = 0.25


def run(folder, write_endless):
    """write_endless(connection, head) is called in place of an answer; head is that of a 200 answer
    without the line of its length and the line that ends it."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = rig.Record(folder)
    daemons = []
    answered = collections.Counter()
    faults = []
    with tempfile.TemporaryDirectory() as scratch:
        try:
            store = rig.Store()
            upstreams = [rig.Upstream(store, record, f"i-{number}", "svc-a", zone, work_s=WORK_S)
                         for number, zone in zip(range(UPSTREAMS),
                                                 itertools.cycle(ZONES))]
            rig.put_configuration(store, 1, {"r-a": rig.route(
                "/look/", "svc-a", timeout_s=TIMEOUT_S)}, ["svc-a"])
            daemons = [rig.Daemon(scratch, store, number, zone, ZONES)
                       for number, zone in enumerate(ZONES)]
            for daemon in daemons:
                daemon.wait_until_ready()
            time.sleep(2)
            started_at = time.monotonic()

            def special(upstream, connection, request):
                now = time.monotonic() - started_at
                is_in_trouble = TROUBLE_AT_S <= now < TROUBLE_AT_S + TROUBLE_FOR_S
                if not is_in_trouble:
                    return False
                with upstream.lock:
                    position = answered[upstream.name] % ANSWERS_IN_A_ROW
                    answered[upstream.name] += 1
                if position < ANSWERS_IN_A_ROW - FAULTS_IN_A_ROW:
                    return False
                faults.append(request.attempt)
                record.write(f"fault {request.attempt} at {upstream.name}: bytes without end")
                head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt}\r\n"
                        "Server-Seal: s.1\r\n").encode()
                try:
                    write_endless(connection, head)
                except OSError:
                    record.write(f"closed {request.attempt} at {upstream.name}")
                raise ConnectionError

            if has_trouble:
                for upstream in upstreams[:FAULTY_UPSTREAMS]:
                    upstream.special = special
            probes = []
            threading.Thread(target=probe, args=(daemons, probes, started_at), daemon=True).start()
            client = rig.Client(record, [daemon.front for daemon in daemons], "GET", "/look/{}",
                                DEADLINE_S)
            asyncio.run(client.load(REQUESTS_PER_S, LOAD_FOR_S))
            for name, count in sorted(answered.items()):
                record.write(f"{count} answers of {name} in the time of trouble")
            return judge(record, client.answers, faults, probes,
                         [daemon.process.poll() for daemon in daemons])
        except (OSError, TimeoutError) as error:
            print(f"could not run: {error!r}")
            return 2
        finally:
            for daemon in daemons:
                daemon.stop()
            record.close()


def probe(daemons, probes, started_at):
    """Asks each daemon once a second whether it is ready, as the platform does."""
    while time.monotonic() - started_at < LOAD_FOR_S:
        for daemon in daemons:
            asked_at = time.monotonic()
            probes.append((daemon.is_ready(timeout=1.0), time.monotonic() - asked_at))
        time.sleep(1)


def judge(record, answers, faults, probes, exits):
    late, unanswered = rig.count_unanswered(answers, TIMEOUT_S)
    is_broken = unanswered >= LEAST_REQUESTS and unanswered > LARGEST_SHARE * late
    lines = [f"{len(answers)} requests, {len(faults)} faulty answers",
             f"{late} unanswered at timeoutS, {unanswered} of these half a second later",
             f"{sum(not ready for ready, _ in probes)} of {len(probes)} readiness checks without a "
             f"200 within 1 s, the slowest took {max(took for _, took in probes):.2f} s",
             f"exit codes of the daemons during the run: {exits}",
             "CONFIG is broken" if is_broken else "CONFIG held"]
    for line in lines:
        record.write(line)
        print(line)
    return 1 if is_broken else 0


def main(write_endless):
    # The time limit of the script ends it by SIGTERM; the daemons are then stopped as usual.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = run(pathlib.Path(sys.argv[1]), write_endless)
    sys.stdout.flush()
    # Stand-ins' threads may still wait for a connection.
    os._exit(code)
