"""Two waves. Two of five machines of the system are stopped (SIGTERM) 1.3 s apart, each just after its order for a
VM. Run with: python3 -m review.further.holders"""

import asyncio
import pathlib
import time

from review.standins import platform
from review.standins.site import BOUNDS, Queue, Site, play

LEASE_TTL_S = BOUNDS["lease_ttl_ms"] / 1000
UPKEEP_S = BOUNDS["maintenance_s"]
ANSWER_S = 0.1
GAP_S = 1.3


class SlowMachines(platform.Machines):
    """Upkeep ends the machine's worker; another joins after UPKEEP_S."""

    def __init__(self, record, machines):
        super().__init__(record, machines)
        self.orders, self._down, self._done, self._lives = [], set(), set(), 0
        self.server = platform.Server(self._serve)
        self.site = None

    async def _serve(self, method, path, headers, body):
        if path.startswith("/machines"):
            shown = [self._shown(machine) | ({"state": "upkeep"} if machine.name in self._down else {})
                     for machine in self.machines]
            return 200, {"machines": shown, "next_token": None}
        self.orders.append((time.monotonic(), body["machine"], headers["x-lease-holder"],
                            int(headers["x-fencing-token"])))
        self._record(f"order {path} {self.orders[-1][1:]}")
        if path != "/machine-upkeep":
            return 409, {"reason": "busy"}
        machine = next(each for each in self.machines if each.name == body["machine"])
        if (machine.name, body["wave"]) not in self._done:
            if machine.name in self._down or not machine.worker.is_up:
                return 409, {"reason": "busy"}
            self._done.add((machine.name, body["wave"]))
            asyncio.ensure_future(self._take_down(machine))
        await asyncio.sleep(ANSWER_S)
        return 200, {}

    async def _take_down(self, machine):
        self._down.add(machine.name)
        old = machine.worker
        await old.crash("ends for upkeep")
        self.site.store.put("servers", old.name, None)
        await asyncio.sleep(UPKEEP_S)
        self._lives += 1
        worker = platform.Worker(f"i-9{self._lives:03d}", machine, old.address, self.site.store, self.site.watch,
                                 self.site.work_of, BOUNDS["max_hold_ms"], BOUNDS["stop_timeout_ms"])
        self.site.workers.append(worker)
        await worker.start()
        self._down.discard(machine.name)


async def stop_and_start(site, node):
    site.record(f"SIGTERM to {node.name}, which holds the VMs")
    node.process.terminate()
    deadline = time.monotonic() + BOUNDS["grace_s"]
    while node.is_alive() and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    node.kill()
    await asyncio.sleep(1)
    node.start()


async def case(site):
    orders = site.fleet.orders
    restarts = []
    stopped_at = 0.0
    for number, machine in enumerate(["m-0", "m-1"], 1):
        site.store.put("op", f"wave/{number}", {"wave": number, "machines": [machine], "duration_s": 26, "ceiling": 1})
        await site.until(lambda: any(order[1] == machine for order in orders), 10, "no upkeep was ordered")
        if site.trouble:
            await asyncio.sleep(max(0.0, stopped_at + GAP_S - time.monotonic()))
            stopped_at = time.monotonic()
            restarts.append(asyncio.ensure_future(stop_and_start(site, site.owner())))
    await asyncio.sleep(8)
    await asyncio.gather(*restarts)
    for machine in ("m-0", "m-1"):
        of_machine = [order for order in orders if order[1] == machine]
        for before, after in zip(of_machine, of_machine[1:]):
            gap = after[0] - before[0]
            if before[2] != after[2] and gap < LEASE_TTL_S:
                return f"ONE: {machine} is ordered about by {before[2:]} and {gap:.2f} s later by {after[2:]}"
    return None


QUEUE = Queue("stock-check", "stock")
SITE = Site(pathlib.Path(__file__).parent, nodes=5,
            machines=[(f"m-{i}", "stock", "zone-a", "r0", 16000, 32768) for i in range(4)],
            queues=[QUEUE], tenants={"merchants": ("key-merchants", 0)})
SITE.fleet = SlowMachines(SITE.record, SITE.machines)
SITE.fleet.site = SITE
play(SITE, case)
