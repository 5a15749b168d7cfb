"""The only entry of a zone is stopped for good, while the zone's backends stay.
A few keys are hot, now of one of these backends, now of another, so that key
ranges move away from them. Fails if a key is granted to a backend while another
one still works on it and would have held it longer."""
import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
from standin import Entry, HeldBackend, Store, now, request, run_case  # noqa

REGIONS = {"arima": "north", "couva": "north"}
RATE = 110
HOT_SHARE = 0.35
HOT_KEYS = 200
HOT_FOR_S = 5.5
ROUNDS = 9
# After the membership has ended, none of the entry's grants is valid after
# 3.4 s, and 5.9 s after its election the mover waits for no earlier mover.
QUIET_S = 7


async def main(record, directory, trouble):
    store = Store()
    await store.start()
    zones = ["arima", "arima", "arima", "couva", "couva", "couva"]
    backends = [HeldBackend(store, f"b{i}", "accounts", zone, record, slots=4,
                            work_s=0.08 if i % 2 else 0.12)
                for i, zone in enumerate(zones)]
    for backend in backends:
        await backend.start()
    await store.put("op/config", {
        "version": 3,
        "routes": {"balance": {
            "host": "a.example", "prefix": "/a/", "kind": "safe",
            "service": "accounts", "timeoutS": 1, "sloS": 0.4, "attempts": 2,
            "priority": 1}},
        "services": {"accounts": {"sharded": True, "maxConns": 120}},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
                   "headerTimeoutS": 5, "idleTimeoutS": 20}})
    entries = [Entry(directory, store.address, name, zone, REGIONS)
               for name, zone in [("arima-1", "arima"), ("arima-2", "arima"),
                                  ("couva-1", "couva")]]
    answers = []
    hot = range(0)
    sending = True
    tasks = []

    async def one(number, front):
        rid = f"r{number:06d}"
        key = (random.choice(hot) if hot and random.random() < HOT_SHARE
               else random.randrange(65536))
        record("sent", id=rid, key=key)
        status, _, _ = await request(front, rid, headers=[("Shard-Key", key)],
                                     deadline_ms=1000)
        answers.append(status)
        record("answered", id=rid, status=status)

    async def traffic():
        number = 0
        began = now()
        while sending:
            number += 1
            tasks.append(asyncio.create_task(
                one(number, entries[number % 2].front)))
            await asyncio.sleep(max(0, began + number / RATE - now()))

    try:
        # The entries of the zone that keeps them start first, so that one of
        # them is the mover.
        for entry in entries[:2]:
            entry.start()
        await asyncio.sleep(1)
        entries[2].start()
        for entry in entries:
            if not await entry.wait_ready():
                return 2
        until = now() + 10
        while not all(b.holds for b in backends) and now() < until:
            await asyncio.sleep(0.1)
        if not all(b.holds for b in backends):
            return 2
        flow = asyncio.create_task(traffic())
        await asyncio.sleep(3)
        if trouble:
            record("stop-entry", entry="couva-1")
            entries[2].send(signal.SIGTERM)
        await asyncio.sleep(QUIET_S)
        for number in range(ROUNDS):
            owner = backends[3 + number % 3]
            ranges = [each for each in owner.holds if each[3] > now()]
            if ranges:
                widest = max(ranges, key=lambda each: each[1] - each[0])
                middle = (widest[0] + widest[1]) // 2
                hot = range(middle, min(middle + HOT_KEYS, widest[1]))
                record("hot", backend=owner.name, first=hot[0], last=hot[-1])
            await asyncio.sleep(HOT_FOR_S)
        sending = False
        await flow
        await asyncio.gather(*tasks)
    finally:
        for entry in entries:
            entry.end()
    served = sum(status == 200 for status in answers)
    record("result", violations=len(HeldBackend.violations),
           requests=len(answers), served=served)
    if served < len(answers) / 2:
        return 2
    return 1 if HeldBackend.violations else 0


run_case(main, FOLDER)
