"""Callers: submit jobs, repeat unanswered ones, ask for states and lengths of queues, cancel some."""

import asyncio
import random
import time

from soak.http1 import Connection

CALL_S = 4.0
ATTEMPTS = 6
WIDE_SHARE, OVERDUE_SHARE = 0.01, 0.02
# Of what is asked: lengths of queues, states of jobs that nobody sent, and jobs under a queue that is not theirs.
LENGTH_SHARE, NEVER_SENT_SHARE, FOREIGN_SHARE = 0.5, 0.05, 0.1
# Ids are free again when the state of their job is forgotten, 120 s after its end.
ID_IN_USE_S = 100


class Job:
    def __init__(self, number, queue, workspace, rng):
        self.id = f"{number:016x}"
        self.queue, self.workspace = queue, workspace
        self.width, self.steps = rng.randint(1, 6), rng.randint(1, 2)
        self.seconds = rng.uniform(0.2, 1.5)
        self.cpu = rng.choice([500, 1000, 2000])
        self.mem_mb = 256
        self.lasts = rng.random() < 0.05
        self.is_poison = not self.lasts and rng.random() < 0.05
        # Its first task crashes each worker this long after its start.
        self.crashes_after = rng.uniform(0.01, 0.3) if not self.is_poison and rng.random() < 0.04 else None
        self.attempts = queue.attempts
        # Occurrences of a timed job, all of them overdue.
        self.times = 0
        if not self.lasts and not self.is_poison and self.crashes_after is None:
            self._enlarge(rng)
        # As long as a usual payload, and no other job's.
        self.spec = f"{self.id} " + "x" * rng.randint(500, 2500)
        self.is_cancelled = False
        self.accepted_at = None

    def _enlarge(self, rng):
        """Makes a few jobs wide, or timed and overdue."""
        kind = rng.random()
        if kind < WIDE_SHARE:
            self.width, self.steps = rng.randint(300, 2500), 1
            self.seconds, self.cpu = rng.uniform(0.2, 2), rng.choice([1, 5, 10])
        elif kind < WIDE_SHARE + OVERDUE_SHARE:
            self.width, self.steps, self.times = 1, 1, rng.randint(50, 1500)
            self.seconds, self.cpu = 0.1, 50

    def tasks(self):
        steps = 1 if self.lasts else self.steps
        return self.width * steps * max(1, self.times)

    def body(self):
        steps = []
        for number in range(1 if self.lasts else self.steps):
            step = {"count": self.width, "cpu": self.cpu, "mem_mb": self.mem_mb,
                    "est_duration_ms": int(self.seconds * 1000)}
            if number:
                step["after"] = [number - 1]
            if self.lasts:
                step["long_running"] = True
            steps.append(step)
        timed = {"times": self.times, "interval_ms": 10,
                 "start_at_ms": int(time.time() * 1000) - 10 * self.times} if self.times else {}
        return {"spec": self.spec, "steps": steps} | timed


class Jobs:
    """All jobs that callers ever sent."""

    def __init__(self):
        self.by_id = {}

    def of_task(self, task):
        return self.by_id[task.split(".")[0]]

    def crashes_after(self, task):
        """Time from a start of the task to the end of its worker; None when it is sound."""
        return self.of_task(task).crashes_after if task.endswith(".0.0.0") else None

    def task(self, task):
        """Seconds, demand, whether it lasts and whether it fails."""
        job = self.of_task(task)
        seconds = 1e9 if job.lasts else job.seconds
        return seconds, {"cpu": job.cpu}, job.lasts, job.is_poison


class Caller:
    """One caller of a workspace; connections to nodes stay open between its calls."""

    def __init__(self, site, workspace, seed):
        self._site, self._workspace = site, workspace
        self._rng = random.Random(seed)
        self._idle = {}

    def _node(self):
        ready = [node for node in self._site.nodes if node.is_listening()]
        return self._rng.choice(ready or self._site.nodes)

    async def call(self, node, method, path, host, key, value=None):
        """Status and answer, or 0 and how far the call came."""
        free = self._idle.setdefault(node.name, [])
        connection = free.pop() if free else Connection(node.ip, node.CALLER_PORT)
        headers = {"Host": host, "Authorization": f"Bearer {key}", "Content-Type": "application/json",
                   "X-Request-Deadline": str(int(CALL_S * 1000))}
        began = time.monotonic()
        try:
            result = await asyncio.wait_for(connection.call(method, path, headers, value), CALL_S)
            free.append(connection)
            return result
        except asyncio.TimeoutError:
            connection.close()
            return 0, "no answer"
        except ConnectionError as error:
            self._site.connection_broke(node, str(error), began)
            return 0, str(error)

    async def run(self, until, jobs_per_s):
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(jobs_per_s))
            asyncio.ensure_future(self._one_job())

    async def _one_job(self):
        site = self._site
        queue = self._rng.choice(site.config.queues)
        key = self._rng.choice(site.config.keys[self._workspace])
        job = Job(site.next_number(), queue, self._workspace, self._rng)
        site.jobs.by_id[job.id] = job
        site.promises.submitted(job.id, "sent")
        if not await self.submit(job, key):
            return
        if job.lasts or self._rng.random() < 0.1:
            await asyncio.sleep(self._rng.uniform(0.5, 4))
            await self.cancel(job)

    async def submit(self, job, key=None):
        """Sends a job until it is accepted or refused; whether it was accepted."""
        site, queue = self._site, job.queue
        key = key or site.config.keys[self._workspace][-1]
        for _ in range(ATTEMPTS):
            status, _ = await self.call(self._node(), "POST", queue.prefix + job.id, queue.host, key, job.body())
            if 200 <= status < 300:
                site.promises.submitted(job.id, "accepted")
                job.accepted_at = time.monotonic()
                return True
            if status in (401, 404, 429, 503):
                site.promises.submitted(job.id, "refused")
                return False
            site.promises.submitted(job.id, "unknown")
            await asyncio.sleep(0.3)
        return False

    async def cancel(self, job):
        job.is_cancelled = True
        for _ in range(3 * ATTEMPTS):
            # The key that the job came with may have been taken away.
            key = self._site.config.keys[self._workspace][-1]
            status, _ = await self.call(self._node(), "DELETE", job.queue.prefix + job.id, job.queue.host, key)
            if 200 <= status < 300 or status == 410:
                return
            await asyncio.sleep(0.5)

    async def state(self, job, key):
        sent_at = time.monotonic()
        status, answer = await self.call(self._node(), "GET", job.queue.prefix + job.id, job.queue.host, key)
        return self._site.answers.state(job, sent_at, status, answer)

    async def length(self, node, queue, key):
        """Asks a node for the length of a queue; the status."""
        sent_at = time.monotonic()
        status, answer = await self.call(node, "GET", queue.prefix, queue.host, key)
        self._site.answers.length(queue, node, sent_at, status, answer)
        if status == 200:
            took_ms = (time.monotonic() - sent_at) * 1000
            self._site.note(f"length {queue.name} {node.name} {answer} {took_ms:.0f} ms")
        return status

    async def ask(self, until, calls_per_s):
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(calls_per_s))
            asyncio.ensure_future(self._ask_once())

    async def _ask_under_other_queue(self, key):
        """Asks for, or submits, a job whose id another queue's job has."""
        # Queues that every configuration names: a job may be shown under the new name of its queue.
        queues = self._site.config.queues[:2]
        since = time.monotonic() - ID_IN_USE_S
        jobs = [job for job in self._site.jobs.by_id.values()
                if job.queue in queues and job.accepted_at is not None and job.accepted_at > since]
        if not jobs:
            return
        job = self._rng.choice(jobs)
        other = queues[1 - queues.index(job.queue)]
        method = self._rng.choice(["GET", "POST"])
        body = job.body() | {"spec": "of a stranger"} if method == "POST" else None
        status, answer = await self.call(self._node(), method, other.prefix + job.id, other.host, key, body)
        self._site.answers.foreign(job, other, method, status, answer)

    async def _ask_once(self):
        site = self._site
        queue, kind = self._rng.choice(site.config.queues), self._rng.random()
        key = site.config.keys[self._workspace][-1]
        jobs = [job for job in site.jobs.by_id.values() if job.workspace == self._workspace]
        if kind < LENGTH_SHARE:
            # Callers cannot know that a node is paused: it may answer late, from what it knew before.
            reached = [node for node in site.nodes if node.is_alive() and not node.is_stopping]
            await self.length(self._rng.choice(reached or site.nodes), queue, key)
        elif kind < LENGTH_SHARE + NEVER_SENT_SHARE or not jobs:
            number = f"{site.next_number():016x}"
            status, answer = await self.call(self._node(), "GET", queue.prefix + number, queue.host, key)
            site.answers.never_sent(number, status, answer)
        elif kind < LENGTH_SHARE + NEVER_SENT_SHARE + FOREIGN_SHARE:
            await self._ask_under_other_queue(key)
        else:
            await self.state(self._rng.choice(jobs), key)
