"""Workers: they run subtasks, hold leases and list ends, as the pages say."""

import asyncio
import json
import time

from httpd import Reply, Server


class Run:
    def __init__(self, task, run, ends_at, step):
        self.task = task
        self.run = run
        self.ends_at = ends_at
        self.step = step
        self.began = time.monotonic()
        self.stopping_at = None
        self.is_gang = False
        self.works = True
        self.is_broken = False


class Gangs:
    """Members that work only together. `counts` has the size of each step."""

    def __init__(self):
        self.counts = {}
        self.members = {}

    def joined(self, run, seconds):
        if run.step not in self.counts:
            return
        members = self.members.setdefault((run.step, run.run), [])
        members.append(run)
        run.ends_at = None
        run.is_gang, run.works, run.is_broken = True, False, False
        if len(members) == self.counts[run.step]:
            for member in members:
                member.works = True
                member.ends_at = time.monotonic() + seconds

    def left(self, run, how):
        members = self.members.get((run.step, run.run), [])
        if run in members:
            members.remove(run)
            if run.works and how != "done":
                for member in members:
                    member.is_broken = True


class Worker:
    """`duration(task) -> seconds | None` says how long a run takes; None lasts
    until it is stopped. Events go to `record(kind, **fields)`."""

    def __init__(self, name, service, store, host, record, duration,
                 capacity=None, rack="r1-1", max_hold_ms=6000, stop_ms=200,
                 report_s=0.5, ticket_check=None, gangs=None, gang_timeout_s=3.0):
        self.name = name
        self.service = service
        self.store = store
        self.host = host
        self.record = record
        self.duration = duration
        self.capacity = capacity or {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
        self.labels = ["a", rack]
        self.max_hold_ms = max_hold_ms
        self.stop_ms = stop_ms
        self.report_s = report_s
        self.ticket_check = ticket_check
        self.gangs = gangs
        self.gang_timeout_s = gang_timeout_s
        self.server = None
        self.alive = False
        self.jobs = []
        self.port = 0
        self.room_of = lambda task: None
        self.answer_delay_s = 0.0
        self.late_s = None

    async def start(self):
        self.alive = True
        self.born_ms = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}
        self.stopped = {}
        self.ends = []
        self.ended_at = {}
        self.lapsed_at = 0.0
        self.last_end = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.server = await Server(self._handle).start(self.host, self.port)
        self.port = self.server.address[1]
        self.jobs = [asyncio.create_task(self._tick()),
                     asyncio.create_task(self._report())]
        self._register()
        return self

    async def crash(self):
        self.alive = False
        for job in self.jobs:
            job.cancel()
        await self.server.stop()
        for run in list(self.runs.values()):
            if self.gangs:
                self.gangs.left(run, "killed")
            self.record("killed", worker=self.name, task=run.task, run=run.run)
        self.runs = {}

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def _register(self):
        self.sequence += 1
        self.store.put("servers", "", self.name, json.dumps({
            "service": self.service, "address": self.server.endpoint,
            "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "capacity": self.capacity,
            "labels": self.labels, "clock_ms": self.clock_ms(),
            "sequence": self.sequence, "born": self.born_ms}))

    async def _report(self):
        while True:
            await asyncio.sleep(self.report_s)
            self._register()

    def _end(self, run, how):
        del self.runs[run.task]
        if self.gangs:
            self.gangs.left(run, how)
        self.last_end += 1
        self.stopped[run.task] = max(run.run, self.stopped.get(run.task, 0))
        self.ends.append([self.last_end, run.task, run.run, how, ""])
        self.ended_at[self.last_end] = time.monotonic()
        self.record("end", worker=self.name, task=run.task, run=run.run, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if self.clock_ms() > self.deadline_ms:
                self.lapsed_at = now
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
                continue
            for run in list(self.runs.values()):
                if run.stopping_at is not None:
                    if now >= run.stopping_at:
                        self._end(run, "stopped")
                elif run.is_broken:
                    self._end(run, "broken")
                elif not run.works:
                    if now - run.began > self.gang_timeout_s:
                        self._end(run, "alone")
                elif run.ends_at is not None and now >= run.ends_at:
                    self._end(run, "done")

    def _extend(self, deadline_ms):
        limit = self.clock_ms() + self.max_hold_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def _answer(self, status=200, **fields):
        return Reply(status, {"clock_ms": self.clock_ms(), "born": self.born_ms, **fields})

    async def _handle(self, request):
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return self._answer(421)
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        body = request.json()
        late_s = self.late_s(request) if self.late_s else 0
        if late_s:
            asyncio.create_task(self._carry_out_late(request, body, late_s, self.born_ms))
            return None
        return await self._carry_out(request, body)

    async def _carry_out_late(self, request, body, late_s, born_ms):
        await asyncio.sleep(late_s)
        if self.alive and self.born_ms == born_ms:
            await self._carry_out(request, dict(body, wait_ms=0))

    async def _carry_out(self, request, body):
        fence = body.get("fencing_token", 0)
        if request.path == "/health":
            return Reply(200, {})
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        if request.path == "/hold":
            return await self._hold(body)
        return self._answer(200)

    def _start(self, body):
        task, number = body["task"], body["run"]
        held = self.runs.get(task)
        if held is not None and held.run == number:
            return self._answer()
        if held is not None or number <= self.stopped.get(task, 0):
            self._extend(body["deadline_ms"])
            return self._answer(409, reason="old")
        if body["deadline_ms"] < self.clock_ms():
            return self._answer(409, reason="late")
        if self.ticket_check and not self.ticket_check(self, task, body.get("ticket")):
            self.record("refused", worker=self.name, task=task, run=number, why="ticket")
            return self._answer(409, reason="ticket")
        if not self._has_room(task):
            self._extend(body["deadline_ms"])
            return self._answer(409, reason="room")
        self._extend(body["deadline_ms"])
        seconds = self.duration(task)
        now = time.monotonic()
        run = Run(task, number, None if seconds is None else now + seconds, task.rsplit(".", 1)[0])
        self.runs[task] = run
        if self.gangs:
            self.gangs.joined(run, seconds)
        self.record("start", worker=self.name, task=task, run=number,
                    fence=body["fencing_token"], spec=body.get("spec"))
        return self._answer()

    def _has_room(self, task):
        """Workers reject what does not fit (`rejects_overload`)."""
        demands = [self.room_of(other) for other in [*self.runs, task]]
        return sum(d for d in demands if d) <= self.capacity["cpu"]

    def _stop(self, body):
        task, number = body["task"], body["run"]
        held = self.runs.get(task)
        if held is not None and held.run == number:
            if held.stopping_at is None:
                held.stopping_at = time.monotonic() + self.stop_ms / 1000
                self.record("stop", worker=self.name, task=task, run=number)
            return self._answer()
        self.stopped[task] = max(number, self.stopped.get(task, 0))
        return self._answer(409, reason="old")

    async def _hold(self, body):
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        cursor = body.get("ack_cursor", 0)
        for end in self.ends:
            # An end isn't taken note of if the lease lapsed in between.
            if end[0] <= cursor and self.lapsed_at < self.ended_at[end[0]]:
                self.record("noted", worker=self.name, task=end[1], run=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        wait = min(2000, body.get("wait_ms", 0)) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[r.task, r.run, "", 100 if r.ends_at is None else
                    max(0, min(99, int(100 * (now - r.began) / max(0.01, r.ends_at - r.began))))]
                   for r in self.runs.values()]
        return self._answer(200, running=running, finished=self.ends[:500])
