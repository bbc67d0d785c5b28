"""The platform's metadata store: rows, conditional transactions, feeds."""

import asyncio
import base64
import bisect
import json
import time

from httpd import Reply, Server

# Bounds of a transaction and of a page of rows.
MAX_BYTES = 1 << 20
MAX_ROWS = 500


class Store:
    """`gate(node, kind, body)` decides for each call of a system process what
    happens instead of the usual answer: None (nothing), "busy" (503), "silent"
    (nothing is done or answered), "lost" (done, not answered). Each node has a
    listening address of its own, so that calls are told apart."""

    def __init__(self, latency_s=0.004):
        self.rows = {}
        self.sorted_keys = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.history = []
        self.gate = lambda node, kind, body: None
        self.latency_s = latency_s
        self.servers = {}
        self.on_write = lambda node, body: None

    async def listen(self, node, host):
        async def handle(request):
            return await self._handle(node, request)
        self.servers[node] = await Server(handle).start(host)
        return self.servers[node].endpoint

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def put(self, table, part, key, text):
        """Writes as the operator or a worker does."""
        self._apply([((table, part, key), base64.b64encode(text.encode()).decode())], [])

    def remove(self, table, part, key):
        if (table, part, key) in self.rows:
            self._apply([], [(table, part, key)])

    def text(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0]).decode("utf-8", "replace")

    def _apply(self, sets, removes):
        self.version += 1
        for key, value in sets:
            if key not in self.rows:
                self.sorted_keys.pop(key[:2], None)
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.sorted_keys.pop(key[:2], None)
                self.history.append((self.version, key, None))
        if len(self.history) > 20000:
            del self.history[:10000]
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _row(key, value, version):
        row = {"table": key[0], "part": key[1], "key": key[2],
               "schema_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    def _stamp(self, body):
        body["schema_version"] = self.version
        body["now_ms"] = self.now_ms()
        return body

    async def _handle(self, node, request):
        kind = request.path.lstrip("/")
        body = request.json() if kind == "rows-tx" else request.query
        verdict = self.gate(node, kind, body)
        if verdict == "silent":
            return None
        if verdict == "busy":
            return Reply(503, {})
        await asyncio.sleep(self.latency_s)
        reply = await getattr(self, "_" + kind.replace("-", "_"))(node, body)
        return None if verdict == "lost" else reply

    async def _rows_tx(self, node, body):
        def key_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]
        conditions = body.get("expected_revision", [])
        sets = body.get("set_keys", [])
        removes = body.get("remove", [])
        if (len(conditions) + len(sets) + len(removes) > 100
                or sum(len(entry["value"]) for entry in sets) > MAX_BYTES):
            return Reply(400, {})
        if any(entry["table"] in ("op", "servers") for entry in sets + removes):
            return Reply(403, {})
        current = [(key_of(c), self.rows.get(key_of(c))) for c in conditions]
        if any((0 if row is None else row[1]) != c["schema_version"]
               for c, (_, row) in zip(conditions, current)):
            rows = [self._row(key, row[0], row[1]) for key, row in current if row]
            return Reply(412, self._stamp({"rows": rows}))
        self._apply([(key_of(s), s["value"]) for s in sets],
                    [key_of(r) for r in removes])
        self.on_write(node, body)
        return Reply(200, self._stamp({}))

    def _keys_of(self, table):
        if table not in self.sorted_keys:
            self.sorted_keys[table] = sorted(k for k in self.rows if k[:2] == table)
        return self.sorted_keys[table]

    async def _rows_get(self, node, query):
        table = query["table"], query.get("part", "")
        keys = self._keys_of(table)
        at = bisect.bisect_left(keys, (*table, query.get("from", "")))
        end = bisect.bisect_left(keys, (*table, query["to"])) if "to" in query else len(keys)
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows, size = [], 0
        while at < end and len(rows) < limit:
            value, version = self.rows[keys[at]]
            size += len(value)
            if rows and size > MAX_BYTES:
                break
            rows.append(self._row(keys[at], value, version))
            at += 1
        return Reply(200, self._stamp({"rows": rows, "has_more": at < end}))

    async def _rows_feed(self, node, query):
        after = int(query["after"])
        until = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
        while True:
            changed = self.changed
            if self.history and after + 1 < self.history[0][0] and self.history[0][0] > 1:
                return Reply(410, self._stamp({}))
            latest = {}
            for version, key, value in self.history:
                if version > after and key[0] == query["table"]:
                    latest[key] = (version, value)
            left = until - time.monotonic()
            if latest or left <= 0:
                rows = sorted((v, k, value) for k, (v, value) in latest.items())
                return Reply(200, self._stamp(
                    {"rows": [self._row(k, value, v) for v, k, value in rows]}))
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def owner(self):
        """(VM, epoch, released) of the owner's row, or None."""
        text = self.text("filbertspar_owner", "0", "owner")
        if text is None:
            return None
        record = json.loads(text)
        return record["vm"], record["epoch"], record["released"]
