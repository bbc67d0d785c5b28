"""The store turns the owner away, then answers nobody for some seconds, from
the moment at which another node has claimed the ownership."""

import asyncio
import pathlib
import time

from rig import config, main, route, service
from worker import Worker

SILENCE_S = 6.0
WORKERS = 8
SLOW_ANSWER_S = 0.14
CASE = pathlib.Path(__file__).resolve().parent


async def run(rig):
    rig.configure(config([route("r-jobs", "/jobs/", "pool")], [service("pool")]))
    await rig.start_cloud()
    for i in range(WORKERS):
        worker = Worker(f"w{i:02}", "pool", rig.store, "127.0.0.1", rig.record,
                        lambda task: 40.0, rack=f"r1-{i % 5}")
        rig.workers.append(await worker.start())
    for i in range(3):
        await rig.add_node(f"n{i}", f"z{i}")
    for node in rig.nodes:
        if not await rig.until_ready(node):
            return None
    await asyncio.sleep(22.0)
    owner = rig.owner()
    rig.record("owner", vm=owner)
    status, _ = await rig.submit(
        rig.node(owner), "/jobs/00000000000000a1",
        {"spec": "x", "steps": [{"count": 12, "cpu": 7000, "mem_mb": 64,
                                 "est_duration_ms": 40000, "anti_affinity": 2}]})
    if status != 200:
        return None
    if not await rig.until(lambda: len(rig.starts()) == 12):
        return None
    await asyncio.sleep(3.0)

    silent = [False]

    def gate(node, kind, body):
        if silent[0]:
            return "silent"
        if kind == "rows-tx" and node != owner and any(
                entry["table"] == "filbertspar_owner" for entry in body["set_keys"]):
            silent[0] = True
            rig.record("store", state="silent", claimed_by=node)
            return "lost"
        return "busy" if node == owner else None

    if rig.trouble:
        rig.record("store", state=f"turns {owner} away")
        rig.store.gate = gate
        if not await rig.until(lambda: silent[0], 10):
            return None
        await asyncio.sleep(SILENCE_S - 1)
        rig.workers[0].answer_delay_s = SLOW_ANSWER_S
        await asyncio.sleep(1)
        rig.store.gate = lambda node, kind, body: None
        rig.record("store", state="back", owner=rig.owner())
    await asyncio.sleep(10.0)
    broken = rig.twice()
    for at, why, start, others in broken:
        rig.record("TWICE", at=round(at, 3), why=why, **start, others=others)
    rig.record("starts", count=len(rig.starts()), breaches=len(broken))
    return not broken


main(CASE, run)
