"""Jobs for a queue with recommendations arrive all at once."""

import asyncio
import os
import pathlib

from advice import Advice
from rig import config, main, route, service
from worker import Worker

WORKERS = 16
JOBS = 24
POLICY = {"decision_ms": 100, "period_ms": 20, "validity_ms": 3000}
CASE = pathlib.Path(__file__).resolve().parent


async def run(rig):
    rig.configure(config([route("r-jobs", "/jobs/", "pool", recommendation=POLICY)],
                         [service("pool")]))
    await rig.start_cloud()
    advice = await Advice(
        rig.record, **POLICY,
        skips_abandoned=os.environ.get("SKIP_ABANDONED") == "1").start()
    for i in range(WORKERS):
        worker = Worker(f"w{i:02}", "pool", rig.store, "127.0.0.1", rig.record,
                        lambda task: 0.5, rack=f"r1-{i // 4}",
                        ticket_check=advice.check)
        rig.workers.append(await worker.start())
    for i in range(2):
        await rig.add_node(f"n{i}", f"z{i}", advice=advice.server.endpoint)
    for node in rig.nodes:
        if not await rig.until_ready(node):
            return None
    await asyncio.sleep(2.0)

    async def hand_in(i):
        status, _ = await rig.submit(
            rig.nodes[i % 2], f"/jobs/{i:016x}",
            {"spec": "x", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64,
                                     "est_duration_ms": 500}]})
        return i if status == 200 else None

    if rig.trouble:
        accepted = await asyncio.gather(*(hand_in(i) for i in range(JOBS)))
    else:
        accepted = []
        for i in range(JOBS):
            accepted.append(await hand_in(i))
            await asyncio.sleep(0.6)
    accepted = [i for i in accepted if i is not None]
    if not accepted:
        return None
    await asyncio.sleep(40.0)
    started = {f["task"].split(".")[0] for _, f in rig.starts()}
    missing = [i for i in accepted if f"{i:016x}" not in started]
    for i in missing[:3]:
        await rig.get(rig.nodes[0], f"/jobs/{i:016x}")
    rig.record("result", accepted=len(accepted), never_started=len(missing),
               advice_rejected=advice.rejected)
    return not missing


main(CASE, run)
