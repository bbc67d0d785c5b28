"""The process that owns the jobs is stopped for good (SIGTERM). A second later the store gives no answers for 3 s;
what it is sent meanwhile is carried out. One process is left."""

import asyncio
import pathlib
import time

from review.standins.site import FINISH_S, Queue, Site, play

SILENT_AFTER_S, SILENT_S = 1.0, 3.0
QUEUE = Queue("stock-check", "stock")


def work(step, index):
    return 4.0, {"cpu": 1900, "mem_mb": 512}


async def case(site):
    large, small = site.nodes
    if site.owner() is not large:
        return None
    step = {"count": 8, "cpu": 1900, "mem_mb": 512, "est_duration_ms": 4000}
    job = await site.submit(QUEUE, "merchants", [step, step | {"after": [0]}, step | {"after": [1]}], work, node=small)
    await site.until(lambda: site.watch.runs_of(job) == 8, 10, "the job did not start")
    if site.trouble:
        site.record(f"SIGTERM to {large.name}")
        large.process.terminate()
        await asyncio.sleep(SILENT_AFTER_S)
        until = time.monotonic() + SILENT_S
        site.record("the store gives no answers")
        site.store.lose = lambda path, query, body, status: time.monotonic() < until
        await asyncio.sleep(SILENT_S)
        site.record("the store answers again")
    answers = set()
    # recovery_s of the bounds, then finish_s.
    await asyncio.sleep(12)
    deadline = time.monotonic() + FINISH_S
    while time.monotonic() < deadline:
        status, answer = await site.call(small, "GET", QUEUE, job, "merchants")
        if status == 200:
            answers.add(answer["state"])
        await asyncio.sleep(1)
    site.record(f"states shown: {sorted(answers)}; owner by its row: {site.owner().name}; "
                f"{small.name} is {'alive' if small.is_alive() else 'gone'}")
    if "completed" not in answers and (not answers or not site.watch.runs_of(job)):
        return f"LOST: {job} was accepted; {12 + FINISH_S:.0f} s later it has no answer or nothing of it runs"
    return None


play(Site(pathlib.Path(__file__).parent, nodes=2, shares=[0.5, 0.25],
          machines=[(f"m-{i}", "stock", f"zone-{'abc'[i % 3]}", f"r{i // 4}", 16000, 32768) for i in range(4)],
          queues=[QUEUE], tenants={"merchants": ("key-merchants", 0)}), case)
