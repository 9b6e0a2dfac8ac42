"""The daemon's connections to clients that read slowly break after ten seconds."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from standins import (IN_TOUCH_S, Client, Daemon, Store, Upstream, beat, configuration,  # noqa: E402
                      route, run_case)

CLIENTS = 40
SIZES = (300_000, 900_000)
PAUSE_S = 0.45
SIGHUP_AT_S = 9.5
CONFIG_S = 2.5
DEADLINE_MS = 5000


async def case(record, folder, trouble, daemons):
    store = Store(record)
    await store.start()
    upstreams = [Upstream(record, f"i-{number}", "tracevault", "suwon-a", 6)
                 for number in range(40)]
    for upstream in upstreams:
        await upstream.start()
        store.put("servers/" + upstream.name, upstream.entry())
    store.put("op/config", configuration(7, {
        "trace": route("trace", "download", "tracevault", DEADLINE_MS / 1000, 1)}, ["tracevault"]))
    daemon = Daemon(record, folder, "front-suwon-a-1", "suwon-a",
                    {"suwon-a": "gyeonggi", "daejeon-a": "chungcheong"}, store.address)
    daemons.append(daemon)
    daemon.start()
    await daemon.wait_ready()
    beats = asyncio.create_task(beat(store, upstreams))
    await asyncio.sleep(IN_TOUCH_S)
    end = time.monotonic() + SIGHUP_AT_S + CONFIG_S
    answers = []

    async def serve(number):
        client = Client(record, daemon.front, receive_buffer=16384)
        count = 0
        while time.monotonic() < end:
            count += 1
            is_kept = client.socket is not None
            answer = await client.send("GET", f"/trace/20-{SIZES[count % len(SIZES)]}",
                                       f"trace-{number}-{count}", DEADLINE_MS, affinity=number)
            answer.is_kept = is_kept
            await client.receive(answer, DEADLINE_MS / 1000, pause_after=20_000,
                                 pause=PAUSE_S if trouble else 0)
            answers.append(answer)
            await asyncio.sleep(0.3)
        client.close()

    clients = [asyncio.create_task(serve(number)) for number in range(CLIENTS)]
    await asyncio.sleep(SIGHUP_AT_S)
    hangup_at = time.monotonic()
    daemon.signal(signal.SIGHUP)
    await asyncio.gather(*clients)

    beats.cancel()

    def is_cut(answer):
        answered = any(answer.attempt in upstream.answered for upstream in upstreams)
        cut_by_upstream = any(answer.attempt in upstream.cut
                              and upstream.cut[answer.attempt] < answer.ended_at - 0.1
                              for upstream in upstreams)
        return (not answer.is_whole and answered and not cut_by_upstream
                and answer.ended_at - answer.sent_at < DEADLINE_MS / 1000)

    cut = [answer for answer in answers if is_cut(answer)]
    record.line(f"{len(cut)} of {len(answers)} answers were cut, {sum(item.is_kept for item in cut)}"
                " of them on kept connections")
    return [f"LOST: sent {answer.sent_at - hangup_at:.2f} s after the SIGHUP, {answer.text()}"
            for answer in cut
            if 0 <= answer.sent_at - hangup_at <= CONFIG_S]


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case))
