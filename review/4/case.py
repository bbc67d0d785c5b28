"""A worker crashes and is back after 1.5 s; meanwhile the job that ran there is cancelled. Then its tenant hands
in another job."""

import asyncio
import pathlib

from review.standins.site import FINISH_S, Queue, Site, play

DOWN_S = 1.5
CANCEL_AFTER_S = 0.3
CEILING = 16000
QUEUE = Queue("stock-check", "stock")


def long_work(step, index):
    return 60.0, {"cpu": 7000, "mem_mb": 512}


def short_work(step, index):
    return 1.7, {"cpu": 4000, "mem_mb": 512}


async def case(site):
    watch = site.watch
    first = await site.submit(QUEUE, "merchants", [
        {"count": 2, "cpu": 7000, "mem_mb": 512, "est_duration_ms": 60000}], long_work)
    await site.until(lambda: watch.runs_of(first) == 2, 10, "the first job did not start")
    await asyncio.sleep(3)
    busy = [worker for worker in site.workers if worker.running]
    if site.trouble:
        # Both subtasks are on one worker of 16 cores.
        for worker in busy:
            await worker.crash()
        await asyncio.sleep(CANCEL_AFTER_S)
    for _ in range(5):
        status, _ = await site.call(site.nodes[0], "DELETE", QUEUE, first, "merchants")
        if status in (200, 410):
            break
        await asyncio.sleep(0.5)
    if site.trouble:
        await asyncio.sleep(DOWN_S - CANCEL_AFTER_S)
        for worker in busy:
            await worker.start()
    await asyncio.sleep(6)
    if watch.runs_of(first):
        site.record("the cancelled job still runs")
    # 4 of the 16 cores of the ceiling, on nine idle workers of 16 cores each.
    second = await site.submit(QUEUE, "merchants", [
        {"count": 1, "cpu": 4000, "mem_mb": 512, "est_duration_ms": 1700}], short_work)
    other = await site.submit(QUEUE, "installers", [
        {"count": 1, "cpu": 4000, "mem_mb": 512, "est_duration_ms": 1700}], short_work)
    if second is None or other is None:
        return None
    began = None
    for _ in range(int((FINISH_S + 6) / 0.1)):
        await asyncio.sleep(0.1)
        if any(task.startswith(second + ".") for task in watch.starts):
            began = True
            break
    await site.call(site.nodes[0], "GET", QUEUE, second, "merchants")
    await site.call(site.nodes[0], "GET", QUEUE, other, "installers")
    if began is None:
        running = sum(watch.runs_of(job) for job in (first, second))
        return (f"LOST: for {FINISH_S + 6:.0f} s the accepted job {second} has nothing running, its turn has come, "
                f"its tenant runs {running} subtasks, and all workers are idle")
    return None


play(Site(pathlib.Path(__file__).parent, nodes=3,
          machines=[(f"m-{i}", "stock", f"zone-{'abc'[i % 3]}", f"r{i // 4}", 16000, 32768) for i in range(9)],
          queues=[QUEUE], tenants={"merchants": ("key-merchants", CEILING), "installers": ("key-installers", CEILING)}),
     case)
