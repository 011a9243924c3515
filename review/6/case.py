"""One entry was cut off from the store: others go on sending to a replica that is gone."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import fleet as f

ENTRIES = range(11, 17)
CYCLES, CYCLE_S, CUT_S, REMOVAL_AFTER_S = 8, 9.5, 4.0, 0.7
DRAIN_S = 2.0
# Time that the stand-ins themselves may take to note an arrival.
NOTING_S = 0.1
HEARTBEAT_S = 1.2


async def heartbeats(fleet, replica):
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        await fleet.list_replica(replica)


async def caller(fleet, last, sent, end_s):
    caller = f.Caller(fleet, last)
    while fleet.now() < end_s:
        request = await caller.send("/look/x")
        sent[request.id] = request
        await asyncio.sleep(0.1)


async def case(fleet):
    fleet.start_store()
    await asyncio.sleep(0.5)
    await fleet.write_config(1, [f.route("look", "/look/", "idempotent", 1500)])
    links = {last: f.Link(fleet, last) for last in ENTRIES}
    replicas, beats, lasts = [], {}, iter(range(31, 60))

    async def add():
        replica = f.Replica(fleet, next(lasts), work_s=0.02)
        await replica.start()
        await fleet.list_replica(replica)
        beats[replica] = asyncio.ensure_future(heartbeats(fleet, replica))
        replicas.append(replica)

    for _ in range(4):
        await add()
    for last, link in links.items():
        await link.start()
        fleet.start_entry(last, store=link.address)
    await fleet.wait_ready(ENTRIES)
    began = fleet.now() + 6.0
    end_s = began + CYCLES * CYCLE_S
    sent, cuts, gone = {}, [], []
    tasks = [asyncio.ensure_future(caller(fleet, last, sent, end_s))
             for last in ENTRIES for _ in range(3)]
    for cycle in range(CYCLES):
        await asyncio.sleep(began + cycle * CYCLE_S - fleet.now())
        # The entry that read the platform's list last.
        link = max(links.values(), key=lambda it: it.read_list_at)
        if fleet.trouble:
            cuts.append((link.last, fleet.now(), fleet.now() + CUT_S))
            await link.cut(CUT_S)
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(REMOVAL_AFTER_S)
        # A replica that never reports `draining`: its entry is removed, and it goes on serving.
        leaving = replicas[cycle]
        beats.pop(leaving).cancel()
        await fleet.append("keyed.servers", leaving.id, None)
        gone.append((leaving, fleet.now()))
        await add()
    await asyncio.gather(*tasks)
    for beat in beats.values():
        beat.cancel()
    late = 0
    for replica, acknowledged in gone:
        for at, id in replica.arrivals:
            if at <= acknowledged + DRAIN_S + NOTING_S or id not in sent:
                continue
            last = sent[id].entry
            excused = any(it == last and start <= at <= end + f.CONTACT_S for it, start, end in cuts)
            late += not excused
            fleet.record(f"request {id} reached {replica.id} from entry-{last} at {at:.3f}, "
                         f"{at - acknowledged:.3f} s after its removal was acknowledged"
                         f"{' (not in touch)' if excused else ''}")
    fleet.record(f"{late} requests reached a replica later than {DRAIN_S + NOTING_S} s after its removal, from "
                 "entries in touch (none is allowed)")
    return 0 < late


f.main(case, FOLDER)
