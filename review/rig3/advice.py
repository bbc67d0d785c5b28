"""The recommendation service: says which workers may run a step."""

import asyncio
import time

from httpd import RESET, Reply, Server


class Advice:
    """Handles one call at a time for each calling machine, in turn, and
    responds after decision_ms plus period_ms for each worker named."""

    def __init__(self, record, decision_ms, period_ms, validity_ms,
                 skips_abandoned=False):
        self.skips_abandoned = skips_abandoned
        self.record = record
        self.decision_ms = decision_ms
        self.period_ms = period_ms
        self.validity_ms = validity_ms
        self.locks = {}
        self.rejected = 0
        self.waiting = {}
        self.tickets = {}
        self.server = None

    async def start(self):
        self.server = await Server(self._handle).start("127.0.0.1")
        return self

    async def _handle(self, request):
        caller = request.peer[0]
        body = request.json()
        if self.waiting.get(caller, 0) >= 32:
            self.rejected += 1
            return Reply(429, {})
        lock = self.locks.setdefault(caller, asyncio.Lock())
        self.waiting[caller] = self.waiting.get(caller, 0) + 1
        async with lock:
            self.waiting[caller] -= 1
            if self.skips_abandoned and request.is_gone():
                return RESET
            await asyncio.sleep(
                (self.decision_ms + self.period_ms * len(body["workers"])) / 1000)
        until = time.monotonic() + self.validity_ms / 1000
        allowed = []
        for worker in body["workers"]:
            ticket = f"{body['step']}-{worker}-{len(self.tickets)}"
            self.tickets[ticket] = (body["step"], worker, until)
            allowed.append([worker, ticket])
        self.record("advice", step=body["step"], workers=len(allowed))
        return Reply(200, {"allowed": allowed, "validity_ms": self.validity_ms})

    def check(self, worker, task, ticket):
        step, name, until = self.tickets.get(ticket, (None, None, 0))
        return (step == task.rsplit(".", 1)[0] and name == worker.name
                and time.monotonic() <= until)
