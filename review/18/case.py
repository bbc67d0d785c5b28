"""The owner of a deployment that has had 1,126 owners is killed once more; a job is handed in to the next one."""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.rig4.rig import BROKEN, HELD, NOT_RUN, run  # noqa: E402
from soak.callers import Job  # noqa: E402

OWNER_ROW = ("filbertspar_owner", "0", "owner")
# What each claim adds to the epoch in the owner's row (kFencingNumbersPerTerm).
EPOCHS_PER_OWNER = 1_000_000
OWNERS_BEFORE = 1126
TASKS, TASK_S = 6, 3.0
WATCHED_S = 20.0


def epoch(rig):
    row = rig.site.store.rows.get(OWNER_ROW)
    return 0 if row is None else rig.site.store.decoded(row[0])["epoch"]


async def age_by_row(rig):
    """Gives the owner's row the epoch that so many owners leave in it, while no process runs."""
    for node in rig.site.nodes:
        node.kill()
    record = rig.site.store.decoded(rig.site.store.rows[OWNER_ROW][0])
    record["epoch"] = (OWNERS_BEFORE - 1) * EPOCHS_PER_OWNER
    rig.site.store.put("filbertspar_owner", "owner", record, "0")
    for node in rig.site.nodes:
        node.start()


async def age_by_kills(rig):
    """The same by as many kills of the one process that runs, each after it has become the owner."""
    node, *others = rig.site.nodes
    for other in rig.site.nodes:
        other.kill()
    node.start()
    while epoch(rig) < (OWNERS_BEFORE - 1) * EPOCHS_PER_OWNER:
        before = epoch(rig)
        while epoch(rig) == before:
            await asyncio.sleep(0.001)
        node.kill()
        node.start()
    for other in others:
        other.start()


def make_job(rig, queue, lasts):
    number = random.getrandbits(63)
    job = Job(number, queue, "team-1", random.Random(number))
    job.width, job.steps, job.seconds, job.cpu, job.times = TASKS, 1, TASK_S, 500, 0
    job.lasts, job.is_poison, job.crashes_after = lasts, False, None
    job.spec = "lasting" if lasts else "batch"
    rig.site.jobs.by_id[job.id] = job
    rig.site.promises.submitted(job.id, "sent")
    return job


def watch_lists(rig):
    """By subtask: when a worker has first listed an end `done` of it. Workers of moved VMs are not watched."""
    listed = {}
    for vm in rig.site.fleet.vms.values():
        lists = vm.worker._lists

        async def watched(body, lists=lists):
            answer = await lists(body)
            for _, task, _, how, _ in answer["finished"]:
                if how == "done":
                    listed.setdefault(task, time.monotonic())
            return answer

        vm.worker._lists = watched
    return listed


async def play(rig):
    queue = rig.site.config.queues[0]
    await (age_by_kills if os.environ.get("REAL") else age_by_row)(rig)
    await asyncio.sleep(3)
    for node in rig.site.nodes:
        await rig.until_ready(node)
    rig.record(f"owner number {epoch(rig) // EPOCHS_PER_OWNER}: {json.dumps(rig.site.store.decoded(rig.site.store.rows[OWNER_ROW][0])['vm'])}")
    if rig.has_trouble:
        await rig.kill_owner()
        await asyncio.sleep(3)
        for node in rig.site.nodes:
            await rig.until_ready(node)
        rig.record(f"owner number {epoch(rig) // EPOCHS_PER_OWNER}")
    listed = watch_lists(rig)
    job, lasting = make_job(rig, queue, False), make_job(rig, queue, True)
    for each in (job, lasting):
        status, _ = await rig.call(rig.site.nodes[0], "POST", queue, each.id, "team-1", each.body())
        if status != 200:
            return NOT_RUN
    began = time.monotonic()
    deadline = began + WATCHED_S
    state = None
    while time.monotonic() < deadline and state != "completed":
        await asyncio.sleep(1)
        status, answer = await rig.call(rig.site.nodes[0], "GET", queue, job.id, "team-1")
        state = answer.get("state") if status == 200 else None
    running, beside, after = {}, 0, 0
    events = [(at, "start", task, worker) for at, task, _, worker in rig.starts]
    events += [(at, "end", task, worker) for at, task, _, worker, _ in rig.ends]
    for at, kind, task, worker in sorted(events):
        now = running.setdefault(task, set())
        if kind == "end":
            now.discard(worker)
            continue
        now.add(worker)
        if len(now) > 1:
            beside += 1
            rig.record(f"BROKEN TWICE: {task} runs on {sorted(now)} at the same time")
        # With no impairment near, an end is taken note of 100 ms after a worker has listed it.
        if task in listed and at > listed[task] + 0.1:
            after += 1
            rig.record(f"BROKEN TWICE: {task} starts {at - listed[task]:.3f} s after a worker has listed its end as done")
    rig.record(f"batch job {state} {time.monotonic() - began:.0f} s after its acceptance; {len(rig.starts)} starts of "
               f"{2 * TASKS} subtasks, {beside} of them beside a run of the same subtask, {after} after a listed end")
    return BROKEN if beside or after else HELD


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(__file__).resolve().parent, play))
