"""What must always hold, checked while the soak runs from what callers, workers and the platform see."""

import time
from collections import defaultdict

CEILING_SLACK = 1.1
# A task that has crashed three workers must not be started three times more.
MOST_CRASHES = 5
# A capacity that has shrunk counts from then on: contact time and one report.
CAPACITY_SEEN_S = 4.5


class Promises:
    def __init__(self):
        self.violations = []
        self.checks = defaultdict(int)
        self._running = defaultdict(dict)
        self._held = defaultdict(int)
        self._started_at = defaultdict(list)
        self._done_noted = set()
        self._failed_noted = defaultdict(set)
        self.failed_runs = defaultdict(set)
        # By job: its first run, its tasks that ended as done, the first such end that an owner noted.
        self.began_at = {}
        self.done_tasks = defaultdict(set)
        self.first_noted_at = {}
        self._vm_orders = {}
        self._submits = {}
        self.jobs = None
        self.ceilings = {}
        self.crashes = defaultdict(int)
        # When what workers report of themselves last could not reach all nodes.
        self.reports_harmed_at = lambda: 0.0

    def check(self, holds, promise, detail):
        self.checks[promise] += 1
        if not holds:
            self.violations.append((time.monotonic(), promise, detail))

    def run_started(self, task, number, worker, pool, spec):
        job = self.jobs.of_task(task)
        self.began_at.setdefault(job.id, time.monotonic())
        if (worker, number) not in self._running[task]:
            self._held[job.workspace] += job.cpu
        self._running[task][(worker, number)] = time.monotonic()
        self._started_at[task].append(time.monotonic())
        self.check(len(self._running[task]) == 1, "one-run",
                   f"{task} runs as {sorted(self._running[task])}")
        self.check(task not in self._done_noted, "one-run", f"{task} run {number} after its end was noted as done")
        self.check(len(self._failed_noted[task]) < job.attempts or job.lasts, "attempts",
                   f"{task} run {number} after {job.attempts} failed runs")
        submit = self._submits.get(job.id)
        self.check(submit is not None and submit != "refused", "true-refusal",
                   f"{task} runs, its job was {submit or 'never sent'}")
        self.check(pool == job.queue.pool, "placement", f"{task} runs in {pool}, its queue is of {job.queue.pool}")
        self.check(spec == job.spec, "payload", f"{task} was started with another job's payload")
        held = self._held[job.workspace]
        ceiling = self.ceilings[job.workspace]
        self.check(held <= ceiling * CEILING_SLACK + job.cpu, "ceiling",
                   f"{job.workspace} has {held} running, its ceiling is {ceiling}")

    def worker_crashed(self, task):
        self.crashes[task] += 1
        self.check(self.crashes[task] <= MOST_CRASHES, "crashes", f"{task} crashed {self.crashes[task]} workers")

    def filled(self, task, vm, cpu):
        now = time.monotonic()
        if now - self.reports_harmed_at() < CAPACITY_SEEN_S:
            return
        capacity = vm.most_cpu_since(now - CAPACITY_SEEN_S)
        self.check(cpu <= capacity, "capacity", f"{task} brings {vm.name} to {cpu}, its capacity is {capacity}")

    def run_ended(self, task, number, worker, how):
        if how == "failed":
            self.failed_runs[task].add(number)
        elif how == "done":
            self.done_tasks[self.jobs.of_task(task).id].add(task)
        if self._running[task].pop((worker, number), None) is not None:
            job = self.jobs.of_task(task)
            self._held[job.workspace] -= job.cpu

    def end_noted(self, task, number, how, ended_at=None):
        """`ended_at`: when the run ended, if no lease has lapsed since; then no later start was right."""
        if how == "done":
            later = [at for at in self._started_at[task] if ended_at is not None and at > ended_at]
            self.check(not later, "no-restart", f"{task} run {number} was noted as done and started again after its end")
            self._done_noted.add(task)
            self.first_noted_at.setdefault(self.jobs.of_task(task).id, time.monotonic())
        elif how == "failed":
            self._failed_noted[task].add(number)

    def vm_ordered(self, vm, holder, fence):
        last_holder, last_fence = self._vm_orders.get(vm, (holder, 0))
        self.check(fence > last_fence or (fence == last_fence and holder == last_holder), "one-holder",
                   f"{vm}: {holder} with {fence} after {last_holder} with {last_fence}")
        self._vm_orders[vm] = (holder, max(fence, last_fence))

    def submitted(self, job_id, outcome):
        """Outcome of one attempt: sent, accepted, refused or unknown. Only if every attempt
        was refused must the job never run."""
        before = self._submits.get(job_id)
        if outcome == "refused" and before not in (None, "sent", "refused"):
            return
        if outcome == "sent" and before is not None:
            return
        self._submits[job_id] = outcome

    def was_refused(self, job_id):
        return self._submits.get(job_id) == "refused"

    def copies(self):
        return sum(len(runs) for runs in self._running.values())
