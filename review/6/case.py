"""A replica starts again under its id: an entry cuts the streams that the new start is serving."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import fleet as f

CRASHES_S, END_S = (12.0, 20.0, 28.0), 38.0
DOWN_S = 0.4
HEARTBEAT_S = 1.2
CALLERS = 16


async def heartbeats(fleet, replica):
    """Writes the replica's record every `heartbeat-ms`, from one interval after its start on."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        if replica.server.is_serving():
            await fleet.list_replica(replica)


async def caller(fleet, last, requests):
    caller = f.Caller(fleet, last)
    while fleet.now() < END_S - 4.0:
        # A short request first, so that the stream comes on a kept connection.
        await caller.send("/look/x")
        requests.append(await caller.stream("/stream/x"))
        await asyncio.sleep(0.05)


async def case(fleet):
    fleet.start_store()
    await asyncio.sleep(0.5)
    await fleet.write_config(1, [f.route("look", "/look/", "idempotent", 1500),
                                 f.route("stream", "/stream/", "streaming", 6000, 400, 2)])
    replicas = [f.Replica(fleet, last, slots=6) for last in (31, 32, 33)]
    beats = {}
    for replica in replicas:
        replica.born = int(time.time() * 1000)
        await replica.start()
        await fleet.list_replica(replica)
        beats[replica] = asyncio.ensure_future(heartbeats(fleet, replica))
    for last in (11, 12):
        fleet.start_entry(last)
    await fleet.wait_ready((11, 12))
    requests = []
    tasks = [asyncio.ensure_future(caller(fleet, 11 + n % 2, requests)) for n in range(CALLERS)]
    for at, replica in zip(CRASHES_S, replicas):
        await asyncio.sleep(max(0.0, at - fleet.now()))
        if not fleet.trouble:
            continue
        beats[replica].cancel()
        replica.crash()
        await asyncio.sleep(DOWN_S)
        replica.born = int(time.time() * 1000)
        await replica.start()
        fleet.record(f"replica {replica.id} is back as start {replica.born}")
        beats[replica] = asyncio.ensure_future(heartbeats(fleet, replica))
    await asyncio.gather(*tasks)
    for beat in beats.values():
        beat.cancel()
    ends = {}
    for replica in replicas:
        ends.update(replica.streams)
    outcomes = {}
    for it in requests:
        key = (it.outcome, ends.get(it.id, (0, "not run"))[1])
        outcomes[key] = outcomes.get(key, 0) + 1
    for key, count in sorted(outcomes.items(), key=str):
        fleet.record(f"{count} streams: {key[0]} at the client, {key[1]} at the replica")
    cut = [it for it in requests if it.kept and it.outcome == "cut" and ends[it.id][1] == "cut off"]
    fleet.record(f"{len(cut)} streams on kept connections were cut by an entry while their replica "
                 "ran and sent them (3 are allowed)")
    return 3 < len(cut)


f.main(case, FOLDER)
