"""The last worker of a pool is lost for good in a lull; a small job is handed in to the pool's queue."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.rig4.rig import BROKEN, HELD, NOT_RUN, run  # noqa: E402
from soak.callers import Job  # noqa: E402

TASK_S, CPU = 0.3, 500
# A registration is removed after three reports of silence.
UNREGISTERED_S = 4.5
SETTLED_S = 10.0
# finish_s of the deployment, and as much again.
WATCHED_S = 28.0


def make_job(rig, queue):
    number = random.getrandbits(63)
    job = Job(number, queue, "team-1", random.Random(number))
    job.width, job.steps, job.seconds, job.cpu, job.times = 1, 1, TASK_S, CPU, 0
    job.lasts, job.is_poison, job.crashes_after = False, False, None
    job.spec = "small"
    rig.site.jobs.by_id[job.id] = job
    rig.site.promises.submitted(job.id, "sent")
    return job


async def hand_in(rig, queue, watched_s):
    """State of a new job after so long at most; None when it was not accepted."""
    job = make_job(rig, queue)
    status, _ = await rig.call(rig.site.nodes[0], "POST", queue, job.id, "team-1", job.body())
    state, deadline = None, time.monotonic() + watched_s
    while status == 200 and time.monotonic() < deadline and state != "completed":
        await asyncio.sleep(0.5)
        shown, answer = await rig.call(rig.site.nodes[1], "GET", queue, job.id, "team-1")
        state = answer.get("state") if shown == 200 else state
    return state


def vms_of(rig, pool):
    return [vm for vm in rig.site.fleet.vms.values() if vm.pool == pool and vm.state == "up"]


async def play(rig):
    queue = rig.site.config.queues[0]
    if await hand_in(rig, queue, 10) != "completed":
        return NOT_RUN
    # In the lull the system moves the VMs that it does not need to the standby pool.
    deadline = time.monotonic() + 30
    while len(vms_of(rig, queue.pool)) > 1 and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
    rig.record(f"VMs up of {queue.pool}: {[vm.name for vm in vms_of(rig, queue.pool)]}, "
               f"of standby: {[vm.name for vm in vms_of(rig, 'standby')]}")
    if len(vms_of(rig, queue.pool)) != 1:
        return NOT_RUN
    await asyncio.sleep(2)
    if rig.has_trouble:
        (lost,) = vms_of(rig, queue.pool)
        rig.record(f"{lost.name} is lost for good")
        lost.worker.end()
        del rig.site.fleet.vms[lost.name]
        await asyncio.sleep(UNREGISTERED_S)
        lost.worker.unregister()
    await asyncio.sleep(SETTLED_S)
    state = await hand_in(rig, queue, WATCHED_S)
    if state is None:
        return NOT_RUN
    started = [worker for _, _, _, worker in rig.starts[1:]]
    rig.record(f"the accepted job is {state} after {WATCHED_S:.0f} s at most, {len(started)} starts; VMs up of "
               f"{queue.pool}: {len(vms_of(rig, queue.pool))}, of standby: {len(vms_of(rig, 'standby'))}")
    return HELD if started else BROKEN


def prepare(rig):
    for vm in rig.site.fleet.vms.values():
        vm.capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(__file__).resolve().parent, play, prepare=prepare, vm_count=9))
