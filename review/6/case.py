"""DRAIN: a server whose entry was removed gets requests for longer than DrainMs, since the routers' channels to
the store had gone silent before. Only requests of routers that are in touch again are counted."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand2 as stand

SEND_INTERVAL = 0.005
STAYING = 7  # servers beside the one that leaves, whose share is 0.125
WORK = 0.05  # seconds for which a server works on a request
EXIT_AFTER = 0.25  # seconds for which the server goes on beyond DrainMs
CONTACT_SECONDS = 3.0  # ContactMs of the small deployments
REMOVED_AFTER = 1.2  # seconds between the silence and the removal of the entry


async def body(fleet):
    leaving = stand.Server(fleet, "i-leaving", "desk", WORK)
    staying = [stand.Server(fleet, f"i-staying-{number}", "desk", WORK) for number in range(STAYING)]
    fleet.servers = [leaving, *staying]
    await fleet.start(stand.build_config(1, [("/confirm/", "non_idempotent", "desk", {"TargetLatencyMs": 100})]))
    await asyncio.sleep(3.5)  # all routers are in touch

    sends, sent = [], {}
    stop = asyncio.Event()

    async def send_all():
        number = 0
        while not stop.is_set():
            router = fleet.routers[number % len(fleet.routers)]
            sent[f"c-{number}"] = time.monotonic()
            sends.append(asyncio.create_task(
                fleet.send(router, "POST", "/confirm/x", f"c-{number}", body=b"order")))
            number += 1
            await asyncio.sleep(SEND_INTERVAL)

    sender = asyncio.create_task(send_all())
    await asyncio.sleep(1.0)
    silence = time.monotonic()
    if stand.trouble():
        fleet.store.hush_channels()
        fleet.record.add("store: its open channels go silent; new ones work", silence)
    await asyncio.sleep(REMOVED_AFTER)
    acked = await fleet.store.remove("servers", "i-leaving")
    fleet.record.add("store: acknowledges that the entry of i-leaving is removed", acked)
    # The server goes on for DrainMs "and a little longer", and exits.
    await asyncio.sleep(acked + stand.DRAIN_SECONDS + EXIT_AFTER - time.monotonic())
    leaving.end()
    fleet.record.add("server i-leaving: exits")
    await asyncio.sleep(1.0)
    stop.set()
    await sender
    answers = await asyncio.gather(*sends)

    in_touch = silence + CONTACT_SECONDS
    late = [(at, request) for at, request in leaving.arrivals
            if at > acked + stand.DRAIN_SECONDS and sent[request] > in_touch]
    for at, request in late:
        fleet.record.add(f"DRAIN: {request} reached i-leaving {1000 * (at - acked):.0f} ms after the ack", at)
    lost = sum(answer.status == 502 for answer in answers)
    fleet.record.add(f"requests that ran or may have run and got 502 as the server exited: {lost}")
    fleet.record.add(f"late requests: {len(late)} (bound {1000 * stand.DRAIN_SECONDS:.0f} ms)")
    print(f"requests later than DrainMs: {len(late)}; answered 502: {lost}")
    return bool(late)


stand.run_case(FOLDER, body, routers=3)
