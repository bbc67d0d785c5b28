"""A consumer of one queue asks for, and submits, a job whose id only another team's queue has used."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.rig4.rig import BROKEN, HELD, NOT_RUN, run  # noqa: E402
from soak.callers import Job  # noqa: E402

FINISH_S = 14.0


def make_job(rig, queue, workspace, number):
    job = Job(number, queue, workspace, random.Random(number))
    job.width, job.steps, job.seconds, job.cpu, job.times = 2, 1, 0.5, 500, 0
    job.lasts = job.is_poison = False
    job.crashes_after = None
    job.spec = f"of {queue.name}"
    return job


async def until_completed(rig, node, job):
    for _ in range(60):
        status, answer = await rig.call(node, "GET", job.queue, job.id, job.workspace)
        if status == 200 and answer.get("state") == "completed":
            return True
        await asyncio.sleep(0.25)
    return False


async def play(rig):
    first_queue, second_queue = rig.site.config.queues
    number = random.getrandbits(63)
    first = make_job(rig, first_queue, "team-1", number)
    second = make_job(rig, second_queue, "team-2", number)
    rig.site.jobs.by_id[first.id] = first
    rig.site.promises.submitted(first.id, "sent")
    node = rig.site.nodes[-1]
    status, _ = await rig.call(node, "POST", first_queue, first.id, "team-1", first.body())
    if status != 200 or not await until_completed(rig, node, first):
        return NOT_RUN
    rig.record(f"{first.id} of {first_queue.name} is completed; nobody has submitted it to {second_queue.name}")
    if rig.has_trouble:
        await rig.kill_owner()
    await asyncio.sleep(5)
    for node in rig.site.nodes:
        await rig.until_ready(node)
    if not await until_completed(rig, rig.site.nodes[-1], first):
        return NOT_RUN

    shown, answer = await rig.call(rig.site.nodes[0], "GET", second_queue, second.id, "team-2")
    is_foreign = shown == 200
    rig.record(f"a job that nobody submitted to {second_queue.name} is shown: {is_foreign}")

    rig.site.jobs.by_id[second.id] = second
    rig.starts.clear()
    status, _ = await rig.call(rig.site.nodes[1], "POST", second_queue, second.id, "team-2", second.body())
    is_lost = False
    if 200 <= status < 300:
        await asyncio.sleep(FINISH_S)
        status, answer = await rig.call(rig.site.nodes[0], "GET", second_queue, second.id, "team-2")
        runs = sum(task.startswith(second.id) for _, task, _, _ in rig.starts)
        is_lost = runs == 0
        rig.record(f"the accepted job of {second_queue.name} is shown as {answer}, {runs} of its subtasks have started")
    return BROKEN if is_foreign or is_lost else HELD


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(__file__).resolve().parent, play))
