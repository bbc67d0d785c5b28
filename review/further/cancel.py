"""The answer to one write of the store is lost. The consumer whose job the write holds leaves after 0.3 s and cancels
the job. Run with: python3 -m review.further.cancel"""

import asyncio
import pathlib
import time

from review.standins.site import BOUNDS, Queue, Site, play

LEAVES_AFTER_S = 0.3
CANCEL_S = BOUNDS["cancel_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
QUEUE = Queue("stock-check", "stock")


def work(step, index):
    return 4.0, {"cpu": 1900, "mem_mb": 512}


async def case(site):
    step = {"count": 4, "cpu": 1900, "mem_mb": 512, "est_duration_ms": 4000}
    body = {"spec": "stock check", "steps": [step, step | {"after": [0]}, step | {"after": [1]}]}
    job = site.next_id()
    site.work[job] = work
    lost_at = []

    def lose(path, query, rows, status):
        if path != "/rows-tx" or status != 200 or lost_at or not any(job == row["key"] for row in rows["set_keys"]):
            return False
        lost_at.append(time.monotonic())
        site.record("the store has carried out a write; its answer is lost")
        return True

    if site.trouble:
        site.store.lose = lose
    node = site.nodes[0]
    handing_in = asyncio.ensure_future(site.call(node, "POST", QUEUE, job, "merchants", body))
    done, _ = await asyncio.wait([handing_in], timeout=LEAVES_AFTER_S)
    if not done:
        handing_in.cancel()
        site.record(f"the consumer has no answer after {LEAVES_AFTER_S} s and leaves")
    status, answer = await site.call(node, "DELETE", QUEUE, job, "merchants")
    cancelled_at = time.monotonic()
    if status not in (200, 410) or (site.trouble and not lost_at):
        return None
    late = []
    known = 0
    while time.monotonic() < cancelled_at + 20:
        await asyncio.sleep(0.02)
        now = time.monotonic()
        starts = sum(count for task, count in site.watch.starts.items() if task.startswith(job + "."))
        # The machines are in touch again contact_ms after the lost answer.
        if starts > known and now > cancelled_at + CANCEL_S and all(now > at + CONTACT_S for at in lost_at):
            late.append(now - cancelled_at)
        known = starts
    for each in site.nodes:
        await site.call(each, "GET", QUEUE, job, "merchants")
    if late:
        return (f"UNASKED: the cancel of {job} was answered {status}; {late[0]:.1f} s later, and at "
                f"{len(late)} times in all, subtasks of it were started")
    return None


play(Site(pathlib.Path(__file__).parent, nodes=3,
          machines=[(f"m-{i}", "stock", f"zone-{'abc'[i % 3]}", f"r{i // 4}", 16000, 32768) for i in range(4)],
          queues=[QUEUE], tenants={"merchants": ("key-merchants", 0)}), case)
