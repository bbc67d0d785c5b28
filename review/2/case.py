"""A job with 2,200 subtasks; 200 of them end early. Then the process that owns the jobs is killed."""

import asyncio
import pathlib

from review.standins.site import Queue, Site, play

COUNT, SHORT = 2200, 200
QUEUE = Queue("invoice-run", "billing")


def work(step, index):
    return (3.0 if index < SHORT else 30.0), {"cpu": 80, "mem_mb": 64}


async def case(site):
    steps = [{"count": COUNT, "cpu": 80, "mem_mb": 64, "est_duration_ms": 20000}]
    job = await site.submit(QUEUE, "merchants", steps, work)
    await site.until(lambda: len(site.watch.starts) == COUNT, 40, "the subtasks did not all start")
    await site.until(lambda: len(site.watch.done_noted) >= SHORT, 20, "the ends were not taken note of")
    await asyncio.sleep(1)
    if site.trouble:
        owner = site.owner()
        site.record(f"SIGKILL to {owner.name}, which wrote to the store last")
        owner.kill()
        # The platform starts a process that ended again after a short delay.
        await asyncio.sleep(1)
        owner.start()
    await asyncio.sleep(15)
    await site.call(next(node for node in site.nodes if node.is_alive()), "GET", QUEUE, job, "merchants")
    if site.watch.twice:
        return f"TWICE: {len(site.watch.twice)} times; the first: {site.watch.twice[0]}"
    return None


play(Site(pathlib.Path(__file__).parent, nodes=3,
          machines=[(f"m-{i}", "billing", f"zone-{'abc'[i % 3]}", f"r{i // 4}", 16000, 32768) for i in range(12)],
          queues=[QUEUE], tenants={"merchants": ("key-merchants", 0)}), case)
