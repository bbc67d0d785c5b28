"""Stand-in of a worker, by PROTOCOL.md: runs subtasks under a lease on its own clock. It may start again under its id."""

import asyncio
import time

from review.lab.server import MachineServer

REPORT_S = 1.5
STOP_S = 0.3
MAX_HOLD_MS = 6000
ENDS_LISTED = 500
# A registration is removed after three reports that do not come.
REGISTRATION_S = 3 * REPORT_S


class Run:
    def __init__(self, task, number, seconds):
        self.task, self.number, self.seconds = task, number, seconds
        self.began = time.monotonic()
        self.ends_at = self.began + seconds
        self.how = "done"


class Worker:
    def __init__(self, lab, name, machine, pool, zone, rack, address, cores):
        self.lab, self.name, self.machine, self.pool, self.zone = lab, name, machine, pool, zone
        self.labels = ["a", rack]
        self.address = address
        self.capacity = {"cpu": cores * 1000, "mem_mb": 32768, "gpu": 0}
        self.server = MachineServer(self._handle)
        self.state = "ready"
        self.is_up = True
        self._tasks = []
        # Ends of all lives.
        self.all_ends = []
        self._reset_life()

    def _reset_life(self):
        """A new life holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self.running = {}
        self._last_run = {}
        self._ends = []
        self._next_end = 1
        # Ends with lower numbers were listed when the lease lapsed.
        self._lapsed_ends = 1
        self._sequence = 0
        self._woken = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self._began) * 1000) + 1

    async def start(self):
        await self.server.start(*self.address)
        self._go()

    def _go(self):
        self._tasks = [asyncio.ensure_future(self._report()), asyncio.ensure_future(self._advance())]

    def _end_life(self, why):
        for task in self._tasks:
            task.cancel()
        for run in list(self.running.values()):
            self.lab.check.run_ended(run, self, why)
        self.running.clear()

    def lose_power(self):
        self.lab.note(f"{self.name} loses its power")
        self.server.lose_power()
        self._end_life("power")

    def boot(self):
        """The machine is on again: a new life under the same id."""
        self._reset_life()
        self.server.boot()
        self.lab.note(f"{self.name} starts again under its id, born {self.born}")
        self._go()

    def crash(self):
        """The process ends: its connections are reset, and nothing listens at its address."""
        self.lab.note(f"{self.name} on {self.machine} crashes")
        self.is_up = False
        self.server.crash()
        self._end_life("crash")
        old = self.name
        asyncio.get_running_loop().call_later(REGISTRATION_S, lambda: self.lab.store.put("servers", old, None))

    async def start_again(self, name):
        """The next life of the machine, at the same address."""
        self.name = name
        self._reset_life()
        await self.server.start(*self.address)
        self.is_up = True
        self.lab.note(f"{self.machine} starts again as {name}, born {self.born}")
        self._go()

    async def stop(self):
        self._end_life("end of the case")
        await self.server.stop()

    async def _report(self):
        while True:
            self._sequence += 1
            # A life that is over does not report.
            self.lab.store.put("servers", self.name, {
                "service": self.pool, "address": "%s:%d" % self.address, "zone": self.zone, "version": "1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0, "sequence": self._sequence, "capacity": self.capacity,
                "labels": self.labels, "born": self.born})
            await asyncio.sleep(REPORT_S)

    async def _advance(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            lapsed = self.clock_ms() > self._lease_ms
            if lapsed:
                self._lapsed_ends = self._next_end
            for run in list(self.running.values()):
                if run is self.running.get(run.task) and (lapsed or now >= run.ends_at):
                    self._finish(run, "lapsed" if lapsed else run.how)

    def _finish(self, run, how):
        del self.running[run.task]
        self._last_run[run.task] = max(run.number, self._last_run.get(run.task, 0))
        end = [self._next_end, run.task, run.number, how, ""]
        self._next_end += 1
        self._ends.append(end)
        self.all_ends.append(end)
        self.lab.check.run_ended(run, self, how)
        self._woken.set()
        self._woken = asyncio.Event()

    async def _handle(self, method, path, headers, body):
        if method == "GET":
            return 200, {}
        if headers.get("x-expected-instance") != self.name:
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        if body["fencing_token"] < self._fence:
            return 409, {"reason": "fence", "clock_ms": self.clock_ms()}
        self._fence = body["fencing_token"]
        if path == "/hold":
            return await self._hold(body)
        status, value = self._order(path, body)
        return status, value | {"clock_ms": self.clock_ms()}

    def _order(self, path, body):
        run = self.running.get(body["task"])
        if path == "/run-start":
            return self._start(body, run)
        if path == "/run-stop":
            if run is not None and run.number == body["run"]:
                run.how, run.ends_at = "stopped", time.monotonic() + STOP_S
                self.lab.check.stop_ordered(run, self)
            else:
                self._last_run[body["task"]] = max(self._last_run.get(body["task"], 0), body["run"])
        return 200, {}

    def _start(self, body, run):
        task, number = body["task"], body["run"]
        if run is not None and run.number == number:
            return 200, {}
        late = body["deadline_ms"] < self.clock_ms()
        if not late:
            self._extend(body["deadline_ms"])
        if run is not None or number <= self._last_run.get(task, 0):
            return 409, {"reason": "old"}
        if late:
            return 409, {"reason": "late"}
        seconds, cpu = self.lab.work(task)
        if sum(self.lab.work(other)[1] for other in self.running) + cpu > self.capacity["cpu"]:
            return 409, {"reason": "room"}
        self.running[task] = Run(task, number, seconds)
        self.lab.check.run_started(self.running[task], self)
        return 200, {}

    def _extend(self, deadline_ms):
        self._lease_ms = max(self._lease_ms, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    async def _hold(self, body):
        if self.clock_ms() > self._lease_ms:
            self._lapsed_ends = self._next_end
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        for end in self._ends:
            # "Unless the worker's lease lapsed between the two."
            if self._lapsed_ends <= end[0] <= body["ack_cursor"]:
                self.lab.check.end_noted(end, self, body["ack_cursor"])
        self._ends = [end for end in self._ends if end[0] > body["ack_cursor"]]
        if body.get("wait_ms") and not self._ends:
            try:
                await asyncio.wait_for(self._woken.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"running": [[run.task, run.number, "", 100, 0] for run in self.running.values()],
                     "finished": self._ends[:ENDS_LISTED], "clock_ms": self.clock_ms(), "born": self.born}
