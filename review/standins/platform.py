"""Stand-ins of the platform by PROTOCOL.md: the metadata store, the list of machines, and workers.

Each keeps to what the pages allow; what they see goes to a record. The HTTP part is the project's own
(soak/http1.py)."""

import asyncio
import base64
import functools
import json
import time
import urllib.parse

from soak.http1 import Dropped, Server, Silent

REPORT_S = 1.5
ENDS_LISTED = 500
PAGE_ROWS = 500
LONGEST_FEED_S = 30


class Store:
    """Rows by table, part and key under one version counter, with a feed.

    `lose`, when set, tells whether the answer of a call that was carried out is lost."""

    def __init__(self, record, row_bytes=65536, tx_s=0.005, answer_s=0.004):
        self._record = record
        self._row_bytes, self._tx_s, self._answer_s = row_bytes, tx_s, answer_s
        self.rows = {}
        self.version = 0
        self._history = []
        self._changed = asyncio.Event()
        self.lose = None
        self.refused_rows = 0
        self.server = Server(self._handle)

    async def _handle(self, method, path, headers, body):
        url = urllib.parse.urlsplit(path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        await asyncio.sleep(self._answer_s)
        if url.path == "/rows-tx":
            await asyncio.sleep(self._tx_s)
            status, answer = self._transact(body)
        elif url.path == "/rows-get":
            status, answer = 200, self._read(query)
        elif url.path == "/rows-feed":
            status, answer = await self._feed(query)
        else:
            status, answer = 404, {}
        if self.lose is not None and self.lose(url.path, query, body, status):
            raise Silent
        answer |= {"schema_version": self.version, "now_ms": int(time.monotonic() * 1000)}
        return status, answer

    @staticmethod
    def _place(row):
        return row["table"], row.get("part", ""), row["key"]

    def _transact(self, body):
        for row in body["set_keys"]:
            # The page says: "value (base64 of at most row_bytes)".
            size = len(base64.b64decode(row["value"]))
            if size > self._row_bytes:
                self.refused_rows += 1
                self._record(f"store refuses a transaction of {len(body['set_keys'])} rows: "
                             f"{row['table']}/{row['key']} has {size} bytes, row_bytes is {self._row_bytes}")
                return 400, {}
        for condition in body["expected_revision"]:
            current = self.rows.get(self._place(condition))
            if (current[1] if current else 0) != condition["schema_version"]:
                places = [self._place(each) for each in body["expected_revision"]]
                return 412, {"rows": [self._shown(place) for place in places if place in self.rows]}
        changes = [(self._place(row), row["value"]) for row in body["set_keys"]]
        changes += [(self._place(row), None) for row in body["remove"]]
        self._write(changes)
        return 200, {}

    def _write(self, changes):
        self.version += 1
        for place, value in changes:
            if value is None:
                self.rows.pop(place, None)
            else:
                self.rows[place] = (value, self.version)
            self._history.append((self.version, place, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes a row as the operator or a worker does."""
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self._write([((table, "", key), text)])

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0])

    def _shown(self, place):
        value, version = self.rows[place]
        return {"table": place[0], "part": place[1], "key": place[2], "value": value, "schema_version": version}

    def _read(self, query):
        first, limit = query.get("from", ""), min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        places = sorted(place for place in self.rows
                        if place[:2] == (query["table"], query.get("part", "")) and place[2] >= first)
        return {"rows": [self._shown(place) for place in places[:limit]], "has_more": len(places) > limit}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)) / 1000, LONGEST_FEED_S)
        while True:
            newest = {}
            for version, place, value in reversed(self._history):
                if version <= after:
                    break
                if place[0] == table:
                    newest.setdefault(place, (version, value))
            left = deadline - time.monotonic()
            if newest or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for place, (version, value) in sorted(newest.items(), key=lambda item: item[1][0]):
            row = {"table": place[0], "part": place[1], "key": place[2], "schema_version": version}
            rows.append(row | ({"deleted": True} if value is None else {"value": value}))
        return 200, {"rows": rows}


class Machine:
    def __init__(self, name, pool, zone, rack, cpu, mem_mb):
        self.name, self.pool, self.zone = name, pool, zone
        self.labels = ["a", rack]
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.worker = None


class Machines:
    """The list of machines. No case here needs moves or upkeep: orders answer 409 busy."""

    def __init__(self, record, machines):
        self._record, self.machines = record, machines
        self.server = Server(self._handle)

    async def _handle(self, method, path, headers, body):
        if path.startswith("/machines"):
            return 200, {"machines": [self._shown(machine) for machine in self.machines], "next_token": None}
        self._record(f"order {path} {body}")
        return 409, {"reason": "busy"}

    @staticmethod
    def _shown(machine):
        up = machine.worker is not None and machine.worker.is_up
        return {"machine": machine.name, "pool": machine.pool, "state": "up" if up else "down", "zone": machine.zone,
                "labels": machine.labels, "capacity": machine.capacity,
                "id": machine.worker.name if machine.worker is not None else ""}


class Run:
    def __init__(self, task, number, ends_at, demand):
        self.task, self.number, self.ends_at, self.demand = task, number, ends_at, demand
        self.how = "done"


class Worker:
    """One lifetime of a worker; `start` again makes the next one under the same id and address."""

    def __init__(self, name, machine, address, store, watch, work_of, max_hold_ms, stop_ms):
        self.name, self.machine, self.address = name, machine, address
        self._store, self._watch, self._work_of = store, watch, work_of
        self._max_hold_ms, self._stop_s = max_hold_ms, stop_ms / 1000
        self._max_life = 0
        self.is_up = False
        machine.worker = self

    def clock_ms(self):
        return int((time.monotonic() - self._began) * 1000) + 1

    async def start(self):
        self._born = max(int(time.time() * 1000), self._max_life + 1)
        self._max_life = self._born
        self._began = time.monotonic()
        self._fence, self._lease_ms, self._sequence, self._next_end = 0, 0, 0, 1
        self.running, self._closed, self._ends = {}, {}, []
        self._woken = asyncio.Event()
        self._server = Server(functools.partial(self._handle, self._born))
        self.is_up = True
        await self._server.start(*self.address)
        self._watch.record(f"worker {self.name} is up, born {self._born}")
        self._tasks = [asyncio.ensure_future(self._report()), asyncio.ensure_future(self._advance())]

    async def crash(self, how="crashes"):
        """The process ends; nothing listens at its address, and the registration stays for a while."""
        self.is_up = False
        self._watch.record(f"worker {self.name} {how} with {len(self.running)} runs")
        for run in self.running.values():
            self._watch.ended(self, run.task, run.number, "gone")
        self.running = {}
        for task in self._tasks:
            task.cancel()
        await self._server.stop()

    async def _report(self):
        while True:
            self._sequence += 1
            host, port = self.address
            self._store.put("servers", self.name, {
                "service": self.machine.pool, "address": f"{host}:{port}", "zone": self.machine.zone, "version": "1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": self._sequence,
                "capacity": self.machine.capacity, "labels": self.machine.labels, "born": self._born})
            await asyncio.sleep(REPORT_S)

    async def _advance(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            lapsed = self.clock_ms() > self._lease_ms
            for run in list(self.running.values()):
                if lapsed or now >= run.ends_at:
                    self._finish(run, "lapsed" if lapsed else run.how)

    def _finish(self, run, how):
        del self.running[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        self._ends.append([self._next_end, run.task, run.number, how, ""])
        self._next_end += 1
        self._watch.ended(self, run.task, run.number, how)
        self._woken.set()
        self._woken = asyncio.Event()

    async def _handle(self, life, method, path, headers, body):
        if not self.is_up or life != self._born:
            # A connection that was accepted at the moment of the crash.
            raise Dropped
        if headers.get("x-expected-instance") != self.name:
            return 421, self._said({})
        if body["fencing_token"] < self._fence:
            return 409, self._said({"reason": "fence"})
        self._fence = body["fencing_token"]
        if path == "/hold":
            return 200, self._said(await self._hold(body))
        if path == "/run-start":
            status, answer = self._start(body)
            return status, self._said(answer)
        if path == "/run-stop":
            self._stop(body)
        return 200, self._said({})

    def _said(self, answer):
        return answer | {"clock_ms": self.clock_ms(), "born": self._born}

    def _extend(self, deadline_ms):
        self._lease_ms = max(self._lease_ms, min(deadline_ms, self.clock_ms() + self._max_hold_ms))

    def _start(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            return 200, {}
        late = body["deadline_ms"] < self.clock_ms()
        if not late:
            self._extend(body["deadline_ms"])
        if run is not None or number <= self._closed.get(task, 0):
            return 409, {"reason": "old"}
        if late:
            return 409, {"reason": "late"}
        seconds, demand = self._work_of(task)
        for name, most in self.machine.capacity.items():
            if sum(each.demand.get(name, 0) for each in self.running.values()) + demand.get(name, 0) > most:
                return 409, {"reason": "room"}
        self.running[task] = Run(task, number, time.monotonic() + seconds, demand)
        self._watch.started(self, task, number)
        return 200, {}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            run.how, run.ends_at = "stopped", min(run.ends_at, time.monotonic() + self._stop_s / 2)
        elif run is None or run.number < number:
            self._closed[task] = max(self._closed.get(task, 0), number)
        self._watch.record(f"stop of {task} run {number} reaches {self.name}")

    async def _hold(self, body):
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        for end in self._ends:
            if end[0] <= body["ack_cursor"]:
                self._watch.noted(self, end[1], end[2], end[3])
        self._ends = [end for end in self._ends if end[0] > body["ack_cursor"]]
        if body.get("wait_ms") and not self._ends:
            try:
                await asyncio.wait_for(self._woken.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return {"running": [[run.task, run.number, "", 100, 0] for run in self.running.values()],
                "finished": self._ends[:ENDS_LISTED]}
