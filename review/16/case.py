"""Many timed jobs that are due at the same time are handed in at once; the memory of the processes is watched."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.rig4.rig import BROKEN, HELD, NOT_RUN, run  # noqa: E402
from soak.callers import Job  # noqa: E402

JOBS, JOBS_IN_CALM = 100, 2
TASKS, TIMES, INTERVAL_MS, DUE_IN_S = 78, 300, 10, 4.0
TASK_S, CPU = 0.1, 10
MEMORY_MB = 260
RESTART_S = 0.5
WATCHED_S = 60.0
# Fault: on two machines at least processes end by themselves three times in the day.
ENDS, MACHINES = 3, 2


def resident_mb(node):
    try:
        with open(f"/proc/{node.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    except (OSError, IndexError, ValueError):
        return 0


class Platform:
    """Kills a process that exceeds its memory, and starts one that has ended again."""

    def __init__(self, rig):
        self._rig = rig
        self.ends = {node.name: 0 for node in rig.site.nodes}
        self.most_mb = 0

    async def watch(self):
        while True:
            for node in self._rig.site.nodes:
                used = resident_mb(node)
                self.most_mb = max(self.most_mb, used)
                if not node.is_alive():
                    await self._restart(node, f"has ended by itself with {node.process.returncode}")
                elif used > MEMORY_MB:
                    node.kill()
                    await self._restart(node, f"had {used:.0f} MB, more than {MEMORY_MB}, and is killed for it")
            await asyncio.sleep(0.02)

    async def _restart(self, node, why):
        self.ends[node.name] += 1
        self._rig.record(f"{node.name} {why}; its end number {self.ends[node.name]}")
        await asyncio.sleep(RESTART_S)
        node.start()

    def is_fault(self):
        return sum(count >= ENDS for count in self.ends.values()) >= MACHINES


def make_job(rig, queue, workspace):
    number = random.getrandbits(63)
    job = Job(number, queue, workspace, random.Random(number))
    job.width, job.steps, job.seconds, job.cpu, job.times = TASKS, 1, TASK_S, CPU, TIMES
    job.lasts, job.is_poison, job.crashes_after = False, False, None
    job.spec = "timed"
    rig.site.jobs.by_id[job.id] = job
    rig.site.promises.submitted(job.id, "sent")
    return job


async def play(rig):
    queue = rig.site.config.queues[0]
    platform = Platform(rig)
    watch = asyncio.ensure_future(platform.watch())
    due_ms = int((time.time() + DUE_IN_S) * 1000)
    count = JOBS if rig.has_trouble else JOBS_IN_CALM

    async def hand_in(k):
        # Each team hands in no more than its weight, 50 jobs a second.
        workspace = ("team-1", "team-2")[k % 2]
        job = make_job(rig, queue, workspace)
        body = job.body() | {"start_at_ms": due_ms, "interval_ms": INTERVAL_MS, "times": TIMES}
        return (await rig.call(rig.site.nodes[k % len(rig.site.nodes)], "POST", queue, job.id, workspace, body))[0]

    statuses = await asyncio.gather(*[hand_in(k) for k in range(count)])
    rig.record(f"{statuses.count(200)} of {count} timed jobs are accepted, due in {DUE_IN_S:.0f} s")
    if not statuses.count(200):
        return NOT_RUN
    deadline = time.monotonic() + WATCHED_S
    while time.monotonic() < deadline and not platform.is_fault():
        await asyncio.sleep(0.2)
    watch.cancel()
    rig.record(f"most memory of a process: {platform.most_mb:.0f} MB of {MEMORY_MB}; ends by machine: {platform.ends}")
    return BROKEN if platform.is_fault() else HELD


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(__file__).resolve().parent, play))
