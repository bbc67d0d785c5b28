"""Workers lose their power, start again under their ids and are cut off from the nodes soon after."""

import asyncio
import pathlib
import time

from review.lab.lab import main

OFF_S, ON_S, CUT_S = 0.9, 0.5, 5.5
TASK_S = 5.0


async def play(lab):
    lab.add_pool("pool-a", "fast", workers=8, cores=8)
    await lab.start()
    await asyncio.sleep(2)
    until = time.monotonic() + 55
    sent = []

    async def traffic():
        while time.monotonic() < until:
            sent.append(asyncio.ensure_future(lab.submit(
                "fast", [{"count": 4, "cpu": 125, "mem_mb": 256, "est_duration_ms": int(TASK_S * 1000)}], TASK_S)))
            await asyncio.sleep(0.12)

    async def trouble():
        await asyncio.sleep(10)
        for _ in range(4):
            worker = lab.check.last_worker
            worker.lose_power()
            await asyncio.sleep(OFF_S)
            worker.boot()
            await asyncio.sleep(ON_S)
            lab.note(f"{worker.name} is cut off and runs on")
            worker.server.cut()
            await asyncio.sleep(CUT_S)
            lab.note(f"{worker.name} is reached again")
            worker.server.heal()
            await asyncio.sleep(4)

    await asyncio.gather(traffic(), *([trouble()] if lab.trouble else []))
    jobs = await asyncio.gather(*sent)
    await asyncio.sleep(15)
    for job in jobs:
        if job.accepted_at:
            await lab.state(job, "fast")
    lab.note(f"completed {sum(job.state == 'completed' for job in jobs)} of {len(jobs)}")
    return 0


main(pathlib.Path(__file__).parent, play)
