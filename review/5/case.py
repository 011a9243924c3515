"""A faulty replica whose answer has no end of its head: an entry reads it without a bound."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import fleet as f

FAULT_S, END_S = 16.0, 34.0
# Fewer requests than this say nothing about a share.
MIN_UNANSWERED = 8
PIECE = b"a" * 1_048_576
ANSWERS = 1
LOOK_S = 1.5
# Bytes a second of the faulty answer: a third of the 1,000 Mbit/s of an entry's link.
RATE = 40_000_000


async def small(fleet, last, requests):
    caller = f.Caller(fleet, last)
    while fleet.now() < END_S - 2.0:
        requests.append(await caller.send("/look/x", timeout_s=LOOK_S))
        await asyncio.sleep(0.2)


async def notes(fleet, last, requests):
    caller = f.Caller(fleet, last)
    while fleet.now() < END_S - 7.0:
        requests.append(await caller.send("/notes/x", timeout_s=6.0))
        await asyncio.sleep(0.2)


def judge_unanswered(fleet, requests):
    """Judges CONFIG: more than half of the requests that are unanswered at their route's `timeout-ms`
    have no answer half a second later. Requests whose connection ended count as answered here."""
    open_at = [it for it in requests if it.timeout_s < it.took]
    open_later = [it for it in open_at if it.timeout_s + 0.5 < it.took]
    fleet.record(f"{len(open_at)} requests were unanswered at their route's timeout, and "
                 f"{len(open_later)} of them half a second later")
    return MIN_UNANSWERED <= len(open_at) < 2 * len(open_later)


async def case(fleet):
    fleet.start_store()
    await asyncio.sleep(0.5)
    await fleet.write_config(1, [f.route("look", "/look/", "idempotent", 1500),
                                 f.route("notes", "/notes/", "idempotent", 6000, 1000)])
    replicas = [f.Replica(fleet, last, work_s=0.2) for last in (31, 32, 33)]
    spoiled = []

    async def spoil(replica, id, writer, path):
        """A few answers of one replica: bytes that are no answer, until the connection ends."""
        if not fleet.trouble or fleet.now() < FAULT_S or ANSWERS <= len(spoiled) or path != "/notes/x":
            return False
        spoiled.append(id)
        fleet.record(f"replica {replica.id} is faulty: it answers {id} with a head that does not end")
        began, sent = fleet.now(), 0
        writer.write(b"HTTP/1.1 200 OK\r\nX-Note: ")
        try:
            while fleet.now() < END_S:
                writer.write(PIECE)
                await writer.drain()
                sent += len(PIECE)
                await asyncio.sleep(max(0.0, began + sent / RATE - fleet.now()))
        except OSError:
            pass
        fleet.record(f"that connection ended after {sent} bytes and {fleet.now() - began:.3f} s")
        return True

    for replica in replicas:
        await replica.start()
        await fleet.list_replica(replica)
    replicas[0].spoil = spoil
    for last in (11, 12):
        fleet.start_entry(last)
    await fleet.wait_ready((11, 12))
    requests = []
    watch = asyncio.ensure_future(f.limit_memory(fleet))
    await asyncio.gather(*(small(fleet, last, requests) for last in (11, 12) for _ in range(12)),
                         *(notes(fleet, last, requests) for last in (11, 12) for _ in range(4)))
    watch.cancel()
    f.record_outcomes(fleet, requests)
    return judge_unanswered(fleet, requests)


f.main(case, FOLDER)
