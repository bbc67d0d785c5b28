"""Stand-in of the platform's metadata store and of its list of VMs, by the published protocol."""

import asyncio
import base64
import json
import time
import urllib.parse

from soak.http1 import Dropped, Server, Silent

LONGEST_FEED_S = 30
LIST_LIMIT = 500
ROW_BYTES = 65536
TRANSACTION_ENTRIES, TRANSACTION_BYTES = 100, 1_000_000
REJECTED_SHARE = 0.3


class Store:
    """Rows by table and part, one version counter, and a history for feeds."""

    def __init__(self, rng):
        self._rng = rng
        self.rows = {}
        self.version = 0
        self._history = []
        self._changed = asyncio.Condition()
        self.fault = None
        self.answer_s = 0.004
        # What becomes of a call: None, "silent", or "lost" when it is performed and not answered.
        self.gate = lambda path, body: None
        self.row_bytes = ROW_BYTES
        # Called with whether a transaction keeps the limits, and with its sizes.
        self.on_transaction = lambda is_within_limits, sizes: None
        self.server = Server(self._handle)

    async def _handle(self, method, path, headers, body):
        url = urllib.parse.urlsplit(path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if self.fault == "down":
            return 503, {}
        verdict = self.gate(url.path, body)
        if verdict == "lost":
            self._apply(body)
        if self.fault == "silent" or verdict is not None:
            raise Silent
        await asyncio.sleep(0.24 if self.fault == "slow" else self.answer_s)
        lost = self.fault == "lost" and self._rng.random() < 0.35
        if url.path == "/rows-tx":
            if lost and self._rng.random() < 0.5:
                asyncio.get_running_loop().call_later(self._rng.uniform(0.5, 3), self._apply, body)
                raise Dropped
            if self.fault == "rejects" and self._rng.random() < REJECTED_SHARE:
                return 400, {}
            status, answer = self._apply(body)
        elif url.path == "/rows-get":
            status, answer = 200, self._read(query)
        elif url.path == "/rows-feed":
            status, answer = await self._feed(query)
        else:
            status, answer = 404, {}
        if lost:
            raise Dropped
        answer |= {"schema_version": self.version, "now_ms": int(time.monotonic() * 1000)}
        return status, answer

    @staticmethod
    def _place(row):
        return row["table"], row.get("part", ""), row["key"]

    def _apply(self, body):
        """One transaction: all of its entries or none."""
        if not self._is_within_limits(body):
            return 400, {}
        for condition in body["expected_revision"]:
            current = self.rows.get(self._place(condition))
            if (current[1] if current else 0) != condition["schema_version"]:
                places = [self._place(each) for each in body["expected_revision"]]
                return 412, {"rows": [self._shown(place) for place in places if place in self.rows]}
        changes = [(self._place(row), row["value"]) for row in body["set_keys"]]
        changes += [(self._place(row), None) for row in body["remove"]]
        self.write(changes)
        return 200, {}

    def _is_within_limits(self, body):
        entries = sum(len(body[kind]) for kind in ("expected_revision", "set_keys", "remove"))
        largest = max((len(base64.b64decode(row["value"])) for row in body["set_keys"]), default=0)
        size = len(json.dumps(body, separators=(",", ":")))
        within = entries <= TRANSACTION_ENTRIES and largest <= self.row_bytes and size <= TRANSACTION_BYTES
        self.on_transaction(within, f"{entries} entries, {size} bytes, largest value {largest}")
        return within

    def write(self, changes):
        self.version += 1
        for place, value in changes:
            if value is None:
                self.rows.pop(place, None)
            else:
                self.rows[place] = (value, self.version)
            self._history.append((self.version, place, value))
        asyncio.ensure_future(self._notify())

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or a worker does; False while the store is away."""
        if self.fault in ("down", "silent"):
            return False
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.write([((table, part, key), text)])
        return True

    @staticmethod
    def decoded(value):
        """Content of a row whose value is JSON."""
        return json.loads(base64.b64decode(value))

    def _shown(self, place):
        value, version = self.rows[place]
        return {"table": place[0], "part": place[1], "key": place[2], "value": value, "schema_version": version}

    def _read(self, query):
        first = query.get("from", "")
        places = sorted(place for place in self.rows
                        if place[:2] == (query["table"], query.get("part", "")) and place[2] >= first)
        return {"rows": [self._shown(place) for place in places[:LIST_LIMIT]], "has_more": len(places) > LIST_LIMIT}

    def _since(self, table, after):
        newest = {}
        for version, place, value in reversed(self._history):
            if version <= after:
                break
            if place[0] == table and place not in newest:
                newest[place] = (version, value)
        rows = []
        for place, (version, value) in sorted(newest.items(), key=lambda item: item[1][0]):
            row = {"table": place[0], "part": place[1], "key": place[2], "schema_version": version}
            rows.append(row | ({"deleted": True} if value is None else {"value": value}))
        return rows

    def forget_history(self):
        self._history = self._history[-1:]

    async def _feed(self, query):
        after = int(query["after"])
        if self._history and after < self._history[0][0] - 1:
            return 410, {}
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)) / 1000, LONGEST_FEED_S)
        while not (rows := self._since(query["table"], after)):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 200, {"rows": rows}


class Fleet:
    """The list of VMs, moves and upkeep. A VM's worker ends with each order."""

    MOVE_S, UPKEEP_S = 1.5, 2.0

    def __init__(self, promises):
        self._promises = promises
        self.vms = {}
        self.waves = {}
        self.server = Server(self._handle)
        self.new_worker = None
        # Lists show the VMs as they were this long before.
        self.lag_s = 0.0
        # Planted when above 0: VMs that count as down beside those that are.
        self.ceiling_slack = 0
        self._shown = []
        # Set with each upkeep that begins.
        self.upkeep_began = asyncio.Event()

    async def look(self):
        """Keeps what lists of the last seconds show."""
        while True:
            now = time.monotonic()
            self._shown.append((now, [vm.shown() for vm in self.vms.values()]))
            self._shown = [shown for shown in self._shown if shown[0] > now - self.lag_s - 1]
            await asyncio.sleep(0.05)

    def _listed(self):
        as_of = time.monotonic() - self.lag_s
        past = [machines for at, machines in self._shown if at <= as_of]
        return past[-1] if past and self.lag_s else [vm.shown() for vm in self.vms.values()]

    async def _handle(self, method, path, headers, body):
        if path.startswith("/machines"):
            return 200, {"machines": self._listed(), "next_token": ""}
        vm = self.vms.get(body["machine"])
        if vm is None:
            return 400, {}
        self._promises.vm_ordered(vm.name, headers.get("x-lease-holder"), int(headers.get("x-fencing-token", 0)))
        if vm.state != "up":
            return 409, {"reason": "busy"}
        if path == "/machine-upkeep":
            wave = self.waves.get(body["wave"])
            if wave is None or vm.name not in wave["machines"]:
                return 409, {"reason": "wave"}
            down = sum(each.state == "upkeep" and each.in_wave == body["wave"] for each in self.vms.values())
            vm.in_wave = body["wave"]
            self._promises.check(down + self.ceiling_slack < wave["ceiling"], "wave-ceiling",
                                 f"{vm.name}: {down} VMs are down, lists lag {self.lag_s} s")
            self.upkeep_began.set()
            self._leave(vm, "upkeep", self.UPKEEP_S)
        else:
            if vm.pool == body["pool"]:
                return 200, {}
            vm.pool = body["pool"]
            self._leave(vm, "moving", self.MOVE_S)
        return 200, {}

    def _leave(self, vm, state, after_s):
        vm.state = state
        vm.worker.end()
        vm.worker.unregister()
        asyncio.get_running_loop().call_later(after_s, self._join, vm)

    def _join(self, vm):
        vm.state = "up"
        if self.new_worker is None:
            return
        asyncio.ensure_future(self.new_worker(vm))
