"""Stand-in of a worker: runs tasks under a lease on its own clock, by the published protocol."""

import asyncio
import time

from soak.http1 import Dropped, Server, Silent

REPORT_S = 1.5
STOP_S = 0.2
LONGEST_LEASE_MS = 6000
REGISTRATION_S = 3 * REPORT_S
ENDS_LISTED = 500
# Delays of late calls: until they are executed, and at most (operators' list of impairments).
LATE_S, LATEST_S = 3, 12


class Run:
    def __init__(self, task, number, seconds, demand, lasts):
        self.task, self.number, self.demand, self.lasts = task, number, demand, lasts
        self.ends_at = time.monotonic() + seconds
        self.how = "done"


class Worker:
    """A worker, which may start again under its id. `faults` holds: cut, lose_answers, fail_all, late."""

    def __init__(self, name, vm, address, rng, store, promises, jobs, guards):
        self.name, self.vm, self.address, self._rng = name, vm, address, rng
        self._store, self._promises, self._jobs = store, promises, jobs
        # Whether it refuses a start beyond its capacity.
        self._guards = guards
        self.faults = set()
        self.is_up = False
        self._is_off = False
        self._rate = rng.uniform(0.98, 1.0)
        self._server = Server(self._handle)
        self._server.on_late = self._defer
        # Calls without an answer that are to be executed: time, path, body.
        self._late = []
        # Planted when not: late calls are executed whatever their fencing number.
        self.fences_late = True
        self._tasks = []
        self._begin_life()
        # A VM that moves joins its next pool as another worker.
        self._pool = vm.pool
        self.on_crash = None
        # For how long runs go on after their lease.
        self.lease_slack_ms = 0

    def _begin_life(self):
        """A new life holds and knows nothing of before, and its counts start anew."""
        self._born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self.running = {}
        self._ended_runs = {}
        self._ends = []
        self._next_end = 1
        # By number of an end: when the run ended.
        self._ended_at = {}
        self._lapsed_at = 0.0
        self._sequence = 0
        self._woken = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self._began) * 1000 * self._rate) + 1000

    async def start(self):
        await self._server.start(*self.address)
        self._go()

    def _go(self):
        self.is_up = True
        self._tasks = [asyncio.ensure_future(self._report()), asyncio.ensure_future(self._advance())]

    def _end_life(self):
        self.is_up = False
        for run in list(self.running.values()):
            self._promises.run_ended(run.task, run.number, self.name, "gone")
        self.running.clear()
        for task in self._tasks:
            task.cancel()

    def end(self):
        """Ends the worker and all that runs; the registration stays."""
        if not self.is_up and not self._is_off:
            return
        self._is_off = False
        self._end_life()
        asyncio.ensure_future(self._server.stop())

    def lose_power(self, calls):
        """Ends the life without a sign to anybody. False when there is none. `calls`: see Server."""
        if not self.is_up:
            return False
        self._is_off = True
        self._server.lose_power(calls)
        # What this life refuses no later one executes.
        self._late = [call for call in self._late if not self.fences_late or call[2]["fencing_token"] >= self._fence]
        self._end_life()
        return True

    async def lose_power_at(self, moment, calls):
        """Loses its power in the middle of an `answer`, or when a connection is `opened`. False when none comes."""
        self._server.call_at(moment, lambda: self.lose_power(calls))
        if moment == "opened":
            self._server.reset_connections()
        for _ in range(60):
            await asyncio.sleep(0.05)
            if self._is_off:
                break
        self._server.call_at(None, None)
        return self._is_off

    def boot(self):
        """Begins the next life under the same id. False when the worker has ended."""
        if not self._is_off:
            return False
        self._is_off = False
        self._begin_life()
        self._server.boot()
        self._go()
        for call in self._late:
            self._carry_out_in(self._rng.uniform(0, LATE_S), call)
        return True

    def unread(self):
        """Ends that are not acknowledged."""
        return list(self._ends)

    def unregister(self):
        self._store.put("servers", self.name, None)

    def _crash(self, task, number):
        """Ends the process as the task does; the store learns of it late."""
        run = self.running.get(task)
        if run is None or run.number != number:
            return
        self._promises.worker_crashed(task)
        self.end()
        asyncio.get_running_loop().call_later(REGISTRATION_S, self.unregister)
        asyncio.ensure_future(self.on_crash())

    async def _report(self):
        while True:
            self._sequence += 1
            if "cut" not in self.faults:
                self._store.put("servers", self.name, self._shown())
            await asyncio.sleep(REPORT_S)

    def _shown(self):
        host, port = self.address
        return {"service": self._pool, "address": f"{host}:{port}", "zone": self.vm.zone, "version": "1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": self._sequence,
                "capacity": self.vm.capacity, "labels": self.vm.labels, "born": self._born}

    async def _advance(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            lapsed = self._has_lapsed()
            for run in list(self.running.values()):
                if lapsed or now >= run.ends_at:
                    self._finish(run, "lapsed" if lapsed else run.how)

    def _has_lapsed(self):
        """Whether no lease holds now; notes the time."""
        lapsed = self.clock_ms() > self._lease_ms + self.lease_slack_ms
        if lapsed:
            self._lapsed_at = time.monotonic()
        return lapsed

    def _finish(self, run, how):
        del self.running[run.task]
        self._ended_runs[run.task] = run.number
        self._ends.append([self._next_end, run.task, run.number, how, ""])
        self._ended_at[self._next_end] = time.monotonic()
        self._next_end += 1
        self._promises.run_ended(run.task, run.number, self.name, how)
        self._woken.set()
        self._woken = asyncio.Event()

    async def _handle(self, method, path, headers, body):
        if "cut" in self.faults:
            raise Silent
        if headers.get("x-expected-instance") != self.name:
            return 421, {"clock_ms": self.clock_ms(), "born": self._born}
        if "late" in self.faults and path != "/hold":
            self._defer(path, headers, body, self._rng.uniform(1, 6))
            raise Dropped
        status, answer = self._carry_out(path, body)
        if path == "/hold" and status == 200:
            answer = await self._lists(body)
        if "lose_answers" in self.faults and self._rng.random() < 0.4:
            raise Dropped
        return status, answer | {"clock_ms": self.clock_ms(), "born": self._born}

    def _defer(self, path, headers, body, delay_s=None):
        """Has the call executed late, by this life or by the next."""
        if headers.get("x-expected-instance") == self.name:
            call = (time.monotonic(), path, body)
            self._late.append(call)
            self._carry_out_in(self._rng.uniform(0, LATE_S) if delay_s is None else delay_s, call)

    def _carry_out_in(self, delay_s, call):
        asyncio.get_running_loop().call_later(delay_s, self._carry_out_late, call)

    def _carry_out_late(self, call):
        if not self.is_up or call not in self._late:
            return
        self._late.remove(call)
        at, path, body = call
        if time.monotonic() < at + LATEST_S:
            self._carry_out(path, body, self.fences_late)

    def _carry_out(self, path, body, is_fenced=True):
        if not self.is_up:
            return 421, {}
        if is_fenced and body["fencing_token"] < self._fence:
            return 409, {"reason": "fence"}
        self._fence = max(self._fence, body["fencing_token"])
        if path == "/hold":
            return self._hold(body)
        if path == "/run-start":
            return self._start(body)
        run = self.running.get(body["task"])
        if path == "/run-stop" and run is not None and run.number == body["run"]:
            run.how, run.ends_at = "stopped", time.monotonic() + STOP_S
        elif path == "/run-stop":
            self._ended_runs[body["task"]] = max(self._ended_runs.get(body["task"], 0), body["run"])
        return 200, {}

    def _start(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            return 200, {}
        late = body["deadline_ms"] < self.clock_ms()
        if not late:
            self._extend(body["deadline_ms"])
        if run is not None or number <= self._ended_runs.get(task, 0):
            return 409, {"reason": "old"}
        if late:
            return 409, {"reason": "late"}
        seconds, demand, lasts, fails = self._jobs.task(task)
        used = sum(each.demand["cpu"] for each in self.running.values()) + demand["cpu"]
        if self._guards and used > self.vm.capacity["cpu"]:
            return 409, {"reason": "room"}
        if not self._guards and "late" not in self.faults:
            self._promises.filled(task, self.vm, used)
        run = Run(task, number, seconds, demand, lasts)
        if fails or "fail_all" in self.faults:
            run.how, run.ends_at = "failed", time.monotonic() + 0.1
        self.running[task] = run
        self._promises.run_started(task, number, self.name, self._pool, body["spec"])
        crashes_after = self._jobs.crashes_after(task)
        if crashes_after is not None:
            asyncio.get_running_loop().call_later(crashes_after, self._crash, task, number)
        return 200, {}

    def grow_older(self, seconds):
        """Lets this life have begun earlier: of a young one an owner expects late calls."""
        self._born -= int(seconds * 1000)

    def _extend(self, deadline_ms):
        self._has_lapsed()
        self._lease_ms = max(self._lease_ms, min(deadline_ms, self.clock_ms() + LONGEST_LEASE_MS))

    def _hold(self, body):
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        self._has_lapsed()
        for end in self._ends:
            if end[0] <= body["ack_cursor"]:
                ended_at = self._ended_at.pop(end[0])
                # An end before a lapse of the lease does not stand for good.
                self._promises.end_noted(end[1], end[2], end[3], ended_at if ended_at > self._lapsed_at else None)
        self._ends = [end for end in self._ends if end[0] > body["ack_cursor"]]
        return 200, {}

    async def _lists(self, body):
        if body.get("wait_ms") and not self._ends:
            try:
                await asyncio.wait_for(self._woken.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", 100, 0] for run in self.running.values()]
        return {"running": running, "finished": self._ends[:ENDS_LISTED]}


class Vm:
    def __init__(self, name, pool, zone, rack, cores):
        self.name, self.pool, self.zone, self.state = name, pool, zone, "up"
        self.labels = ["a", rack]
        self.capacity = {"cpu": cores * 1000, "mem_mb": 32768, "gpu": 0}
        # Capacities of earlier times, each with the time at which it ended.
        self.past_capacities = []
        self.worker = None
        # Number of the last wave that took it down.
        self.in_wave = None

    def set_cpu(self, cpu):
        self.past_capacities.append((time.monotonic(), self.capacity["cpu"]))
        self.capacity = self.capacity | {"cpu": cpu}

    def most_cpu_since(self, since):
        return max([self.capacity["cpu"]] + [cpu for ended, cpu in self.past_capacities if ended >= since])

    def shown(self):
        return {"machine": self.name, "pool": self.pool, "state": self.state, "zone": self.zone,
                "labels": self.labels, "capacity": self.capacity,
                "id": self.worker.name if self.state == "up" and self.worker else ""}
