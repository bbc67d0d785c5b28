"""All processes are killed while a worker lists more ended runs than one of its answers holds."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.rig4.rig import BROKEN, HELD, NOT_RUN, run  # noqa: E402
from soak import workers  # noqa: E402
from soak.callers import Job  # noqa: E402

JOBS, TASKS, TASK_S, CPU = 20, 300, 3.0, 3
DOWN_S = 0.8
# The standard days of the site files have kill_all with 1.3 to 1.4 s.
WATCHED_S = 25.0


class Notes:
    """Ends of runs, and when a worker was told that they are taken note of, by the rule TWICE."""

    def __init__(self):
        # By task: time of an end `done`, worker, its number there.
        self.done = {}
        # By task: time at which such an end was taken note of.
        self.noted = {}

    def watch(self, worker):
        """Has the worker tell of its ends, of what it is told and of leases that lapse."""
        hold, finish, extend = worker._hold, worker._finish, worker._extend
        lapses = []

        def watched_finish(task_run, how):
            finish(task_run, how)
            if how == "done":
                self.done.setdefault(task_run.task, []).append((time.monotonic(), worker.name, worker._next_end - 1))

        def watched_extend(deadline_ms):
            if worker._lease_ms and worker.clock_ms() > worker._lease_ms:
                lapses.append(time.monotonic() - (worker.clock_ms() - worker._lease_ms) / 1000)
            extend(deadline_ms)

        def watched_hold(body):
            now = time.monotonic()
            for number, task, _, how, _ in worker._ends:
                if number <= body["ack_cursor"] and how == "done":
                    ended = next(at for at, name, n in self.done[task] if (name, n) == (worker.name, number))
                    if not any(ended <= lapsed <= now for lapsed in lapses):
                        self.noted.setdefault(task, (ended, now))
            return hold(body)

        worker._hold, worker._finish, worker._extend = watched_hold, watched_finish, watched_extend


def make_job(rig, queue):
    number = random.getrandbits(63)
    job = Job(number, queue, "team-1", random.Random(number))
    job.width, job.steps, job.seconds, job.cpu, job.times = TASKS, 1, TASK_S, CPU, 0
    job.lasts, job.is_poison, job.crashes_after = False, False, None
    job.spec = "wide"
    rig.site.jobs.by_id[job.id] = job
    rig.site.promises.submitted(job.id, "sent")
    return job


async def play(rig):
    queue = rig.site.config.queues[0]
    notes = Notes()
    for vm in rig.site.fleet.vms.values():
        notes.watch(vm.worker)
    jobs = [make_job(rig, queue) for _ in range(JOBS)]
    for k, job in enumerate(jobs):
        body = job.body()
        body["steps"][0]["mem_mb"] = 4
        status, _ = await rig.call(rig.site.nodes[k % 3], "POST", queue, job.id, "team-1", body)
        if status != 200:
            return NOT_RUN
    deadline = time.monotonic() + 20
    while not rig.ends and time.monotonic() < deadline:
        await asyncio.sleep(0.01)
    rig.record(f"{len(rig.starts)} runs have started, the first ones end")
    if rig.has_trouble:
        rig.record("SIGKILL of all processes")
        for node in rig.site.nodes:
            node.kill()
        await asyncio.sleep(DOWN_S)
        for node in rig.site.nodes:
            node.start()
        unread = {vm.worker.name: len(vm.worker._ends) for vm in rig.site.fleet.vms.values() if vm.worker._ends}
        rig.record(f"all are started again; ends that nobody has taken note of: {unread}")
    deadline = time.monotonic() + WATCHED_S
    left = list(jobs)
    while time.monotonic() < deadline and left:
        await asyncio.sleep(1)
        for job in list(left):
            status, answer = await rig.call(rig.site.nodes[0], "GET", queue, job.id, "team-1")
            if status == 200 and answer.get("state") == "completed":
                left.remove(job)
    await asyncio.sleep(2)
    again = []
    for at, task, run_number, worker in rig.starts:
        if task in notes.noted and at > notes.noted[task][0]:
            ended, noted = notes.noted[task]
            again.append(task)
            rig.record(f"BROKEN {task}: run {run_number} began on {worker} {at - ended:.3f} s after a run had ended "
                       f"done; that end was taken note of {noted - ended:.3f} s after it")
    rig.record(f"{len(left)} of {JOBS} jobs not completed, {len(rig.starts)} starts of {JOBS * TASKS} subtasks, "
               f"{len(again)} started again after done")
    return BROKEN if again else HELD


def prepare(rig):
    for vm in rig.site.fleet.vms.values():
        vm.capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(__file__).resolve().parent, play, prepare=prepare, vm_count=9))
