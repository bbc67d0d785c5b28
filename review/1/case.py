"""A department hands in a job that runs once a minute, with a start two weeks ago. Another department's job is
half done."""

import asyncio
import pathlib
import time

from review.standins.site import FINISH_S, Queue, Site, play

MINUTE_MS = 60000
TIMES = 14 * 24 * 60
NOTHING_RUNS_S = 3.0
TIMED = Queue("invoice-run", "billing")
SOUND = Queue("quote-price", "quotes")


def work(step, index):
    return 2.0, {"cpu": 880, "mem_mb": 1600}


async def case(site):
    watch = site.watch
    step = {"count": 2, "cpu": 880, "mem_mb": 1600, "est_duration_ms": 2000}
    sound = await site.submit(SOUND, "installers", [step] + [step | {"after": [i]} for i in range(3)], work)
    if sound is None:
        return None
    await site.until(lambda: watch.runs_of(sound) == 2, 10, "the sound job did not start")
    timed = site.next_id()
    site.work[timed] = work
    start_at_ms = int(time.time() * 1000) - (TIMES * MINUTE_MS if site.trouble else 0)
    status, _ = await site.call(site.nodes[0], "POST", TIMED, timed, "merchants", {
        "spec": f"job {timed}", "steps": [step | {"count": 1}], "times": TIMES, "start_at_ms": start_at_ms,
        "interval_ms": MINUTE_MS})
    if status != 200:
        return None
    submitted = time.monotonic()
    idle_since, longest = None, 0.0
    while time.monotonic() < submitted + FINISH_S + 10:
        await asyncio.sleep(0.05)
        if watch.runs_of(sound):
            idle_since = None
        elif idle_since is None:
            idle_since = time.monotonic()
        elif time.monotonic() > submitted + FINISH_S:
            longest = max(longest, time.monotonic() - max(idle_since, submitted + FINISH_S))
    done = {task for task, how in watch.ends if task.startswith(sound + ".") and how == "done"}
    answers = []
    for _ in range(3):
        for node in site.nodes:
            status, answer = await site.call(node, "GET", SOUND, sound, "installers")
            answers.append(answer.get("state", status) if status == 200 else status)
    site.record(f"{len(done)} of 8 subtasks of {sound} are done; answers: {answers}; "
                f"it had nothing running for {longest:.1f} s")
    if len(done) < 8 and longest >= NOTHING_RUNS_S:
        return (f"LOST: {FINISH_S:.0f} s after the last submission the accepted job {sound} has nothing running for "
                f"{longest:.1f} s; {len(done)} of its 8 subtasks are done, and its four workers are idle")
    return None


play(Site(pathlib.Path(__file__).parent, nodes=3,
          machines=[(f"m-{i}", "billing" if i < 4 else "quotes", f"zone-{'abc'[i % 3]}", f"r{i // 4}", 16000, 32768)
                    for i in range(8)],
          queues=[TIMED, SOUND], tenants={"merchants": ("key-merchants", 0), "installers": ("key-installers", 0)}),
     case)
