"""A write of a daemon is done late; the daemon stays out of the directory for good."""

import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from standins import (Client, Daemon, Store, Upstream, beat, configuration, read_head,  # noqa: E402
                      route, run_case)

ZONES = {"suwon-a": "gyeonggi", "hwaseong-b": "gyeonggi", "daejeon-a": "chungcheong",
         "cheonan-b": "chungcheong"}
LATE_S = 2.2
CALM_S = 17
REQUESTS = 200
SHARE = 1 / 20


class LossyStore(Store):
    """Does not answer one write of a daemon's key, and carries it out late."""

    loses_next = False

    async def answer(self, head, body):
        if not (self.loses_next and "/kv-txn" in head.first):
            return await super().answer(head, body)
        self.loses_next = False
        self.record.line(f"store: gives no answer to a write: {body.decode()[:120]}")

        async def carry_out():
            await asyncio.sleep(LATE_S)
            status, _ = await Store.answer(self, head, body)
            self.record.line(f"store: carries the write out {LATE_S} s later: {status}")

        self.late = asyncio.create_task(carry_out())
        # Nothing else comes on this connection; it ends with the daemon's time-out.
        await asyncio.sleep(60)


async def resolve(record, daemon, zone):
    host, port = daemon.directory.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"GET /sardinehollow/resolve?name=hulo84.example&region={ZONES[zone]}&zone={zone} "
                 "HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    head = await read_head(reader)
    answer = json.loads(await reader.readexactly(int(head.get("Content-Length"))))
    writer.close()
    return answer["addresses"]


async def case(record, folder, trouble, daemons):
    store = LossyStore(record)
    await store.start()
    upstreams = [Upstream(record, f"i-{number}", "recordbook", zone)
                 for number, zone in enumerate(ZONES)]
    beats = asyncio.create_task(beat(store, upstreams))
    for upstream in upstreams:
        await upstream.start()
        store.put("servers/" + upstream.name, upstream.entry())
    homes = {**route("record", "safe", "recordbook", 0.8), "homeRegions": ["gyeonggi"]}
    store.put("op/config", configuration(7, {"record": homes}, ["recordbook"]))
    names = {zone: f"front-{zone}-1" for zone in ZONES}
    by_zone = {zone: Daemon(record, folder, names[zone], zone, ZONES, store.address)
               for zone in ZONES}
    daemons += by_zone.values()
    region_of = {daemon.front: ZONES[zone] for zone, daemon in by_zone.items()}
    for zone in list(ZONES)[1:]:
        by_zone[zone].start()
        await by_zone[zone].wait_ready()
    await asyncio.sleep(1)

    # The last daemon starts while the store loses the answer to one write.
    store.loses_next = trouble
    last = by_zone["suwon-a"]
    last.start()
    await last.wait_ready()
    await asyncio.sleep(LATE_S + 1)
    record.line(f"all is calm for {CALM_S} s")
    await asyncio.sleep(CALM_S)

    away = 0
    for number in range(REQUESTS):
        # The nearest directory is that of the client's own zone.
        zone = ("suwon-a", "hwaseong-b")[number % 2]
        if number < 2 or number % 40 < 2:
            addresses = await resolve(record, by_zone[zone], zone)
            record.line(f"directory of {names[zone]} for {zone}: "
                        + ", ".join(f"{item} ({region_of[item]})" for item in addresses))
            known = {**(known if number else {}), zone: addresses}
        address = random.Random(number).choice(known[zone])
        client = Client(record, address)
        answer = await client.send("GET", "/record/5-100", f"record-{number}", 1500,
                                   affinity=number % 20)
        await client.receive(answer, 2)
        client.close()
        away += region_of[address] != "gyeonggi"
    record.line(f"{away} of {REQUESTS} requests went to machines in chungcheong")
    record.line(f"keys of the daemons in the store: "
                f"{[key for key in store.items if any(name in key for name in names.values())]}")
    beats.cancel()
    if away <= REQUESTS * SHARE:
        return []
    return [f"HOME: {away} of {REQUESTS} requests of clients in gyeonggi, on a route with the home "
            f"gyeonggi, were sent to machines in chungcheong, because the directory named them"]


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case))
