"""One site on loopback: platform and workers as stand-ins, nodes as processes, callers."""

import asyncio
import random
import time

from soak.answers import Answers
from soak.callers import Caller, Job, Jobs
from soak.nodes import Node
from soak.promises import Promises
from soak.store import Fleet, Store
from soak.workers import Vm, Worker

REVOKE_S, CONFIG_APPLY_S, CONTACT_S = 5.0, 2.0, 3.0
SETTLE_S = 60.0
PAUSE_FORGOTTEN_S = 10.0
# Pools whose workers start whatever they are ordered to.
UNGUARDED_POOLS = {"pool-b"}


class Queue:
    def __init__(self, name, pool, priority):
        self.name, self.pool, self.priority = name, pool, priority
        self.host, self.prefix, self.attempts = f"{name}.example", f"/{name}/", 3


class Config:
    """The operator's configuration; each change makes a new version."""

    def __init__(self):
        self.version = 0
        self.queues = [Queue("fast", "pool-a", 0), Queue("slow", "pool-b", 1)]
        self.keys = {"team-1": ["key-1-0"], "team-2": ["key-2-0"]}
        self.ceiling_cpu = {"team-1": 24000, "team-2": 12000}
        self.stated_ceiling_factor = 1

    def value(self):
        self.version += 3
        pools = [("pool-a", False), ("pool-b", False), ("standby", True)]
        return {
            "version": self.version,
            "routes": [{"name": queue.name, "host": queue.host, "path_prefix": queue.prefix, "timeout_ms": 4000,
                        "target_latency_ms": 2000, "priority": queue.priority, "service": queue.pool,
                        "attempts": queue.attempts, "stretch": 4.0, "public": False} for queue in self.queues],
            "services": [{"name": name, "health_path": "/health",
                          "rejects_overload": name not in UNGUARDED_POOLS, "standby": standby}
                         for name, standby in pools],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": keys, "weight": 50,
                         "ceiling": {"cpu": self.ceiling_cpu[name] * self.stated_ceiling_factor,
                                     "mem_mb": 0, "gpu": 0}}
                        for name, keys in self.keys.items()]}


class Site:
    def __init__(self, seed, folder, slot, nodes=6, vms=12, link_mbps=1000):
        self._rng = random.Random(seed)
        self.folder, self._net = folder, f"127.{slot}"
        self.began = time.monotonic()
        self.promises = Promises()
        self.jobs = Jobs()
        self.promises.jobs = self.jobs
        self.answers = Answers(self.promises, self.jobs)
        self.config = Config()
        self.promises.ceilings = self.config.ceiling_cpu
        self.store = Store(self._rng)
        self.store.on_transaction = lambda holds, sizes: self.promises.check(holds, "store-limits", sizes)
        self.store_calm_since = time.monotonic()
        self.promises.reports_harmed_at = lambda: (
            time.monotonic() if self.store.fault is not None or any(node.store_path.mode != "open" for node in self.nodes)
            else max([self.store_calm_since] + [node.calm_since for node in self.nodes] + list(self.paused_at.values())))
        self.fleet = Fleet(self.promises)
        self.fleet.new_worker = self.new_worker
        self._look = None
        self.paused_at = {}
        # Of restarted workers: mean time between two, and limits of the times without power, until the cut, of the cut.
        self.restart_gap_s = 3.0
        self.restart_delays = (2.6, 1.5, 6.0)
        self.restart_shortest = (0.05, 0.05, 0.05)
        # What becomes of calls under way: one of these, see Server.
        self.restart_calls = ("lost", "kept", "late")
        self.restart_moment = None
        self.restarts_in_a_row = 1
        self.fences_late = True
        self.lease_slack_s = 0.0
        self.worker_age_s = 0.0
        self._numbers = self._rng.getrandbits(40) << 16
        self._lives = 0
        self._waves = 0
        self._log = open(folder / "soak.log", "w")
        self.nodes = [Node(f"node-{i}", f"zone-{i % 3}", f"{self._net}.3.{i + 1}", 0.5 if i < 3 else 0.2,
                           link_mbps, (f"{self._net}.1.1", 8344), (f"{self._net}.1.2", 8344), folder) for i in range(nodes)]
        for i in range(vms):
            vm = Vm(f"vm-{i}", ["pool-a", "pool-b", "standby"][i % 3], f"zone-{i % 3}", f"rack-{i % 4}", 8)
            self.fleet.vms[vm.name] = vm
        for node in self.nodes:
            node.was_paused_lately = lambda site, name=node.name: (
                time.monotonic() - site.paused_at.get(name, -1e9) < PAUSE_FORGOTTEN_S)

    def note(self, text):
        self._log.write(f"{time.monotonic() - self.began:.3f} {text}\n")
        self._log.flush()

    def worker_to_restart(self, rng):
        return rng.choice([vm.worker for vm in self.fleet.vms.values()])

    def next_number(self):
        self._numbers += 1
        return self._numbers

    async def start(self):
        await self.store.server.start(f"{self._net}.1.1", 8344)
        await self.fleet.server.start(f"{self._net}.1.2", 8344)
        self.write_config()
        for vm in self.fleet.vms.values():
            await self.new_worker(vm)
        self.store_calm_since = time.monotonic()
        self._look = asyncio.ensure_future(self.fleet.look())
        for node in self.nodes:
            await node.open_path()
            node.start()

    async def new_worker(self, vm, address=None):
        self._lives += 1
        # A process that crashed starts again at its address.
        if address is None:
            address = (f"{self._net}.{4 + self._lives // 250}.{1 + self._lives % 250}", 8000)
        worker = Worker(f"i-{self._lives}", vm, address, self._rng, self.store, self.promises, self.jobs,
                        vm.pool not in UNGUARDED_POOLS)
        worker.on_crash = lambda: self._replace_crashed(vm, worker)
        worker.fences_late = self.fences_late
        worker.lease_slack_ms = int(self.lease_slack_s * 1000)
        worker.grow_older(self.worker_age_s)
        vm.worker = worker
        await worker.start()

    async def _replace_crashed(self, vm, worker):
        await asyncio.sleep(self._rng.uniform(1, 4))
        if vm.worker is worker and vm.state == "up" and self.fleet.new_worker is not None:
            await self.new_worker(vm, worker.address)

    def write_config(self):
        return self.store.put("op", "config", self.config.value())

    async def _change_config(self):
        """Time of the store's acknowledgement."""
        while not self.write_config():
            await asyncio.sleep(0.2)
        return time.monotonic()

    async def revoke(self, workspace):
        keys = self.config.keys[workspace]
        old = keys.pop(0)
        keys.append(f"key-{workspace}-{self.config.version}")
        acknowledged = await self._change_config()
        asyncio.ensure_future(self.probe_revoked(old, acknowledged))

    async def probe_revoked(self, key, acknowledged):
        await asyncio.sleep(max(0.0, acknowledged + REVOKE_S + 0.1 - time.monotonic()))
        caller = Caller(self, "probe", self._rng.random())
        queue = self.config.queues[0]
        for node in self.nodes:
            if node.is_listening():
                status = await caller.length(node, queue, key)
                self.promises.check(status != 200, "revocation", f"{node.name} took {key}, which was taken away")

    async def add_queue(self):
        queue = Queue(f"more{self.config.version}", "pool-a", 1)
        self.config.queues = self.config.queues + [queue]
        acknowledged = await self._change_config()
        asyncio.ensure_future(self.probe_queue(queue, acknowledged))

    def is_in_touch(self, node, since):
        calm = max(node.calm_since, self.store_calm_since, self.paused_at.get(node.name, 0))
        return (node.is_listening() and self.store.fault is None and node.store_path.mode == "open" and
                calm + CONTACT_S < since)

    async def probe_queue(self, queue, acknowledged):
        await asyncio.sleep(max(0.0, acknowledged + CONFIG_APPLY_S + 0.1 - time.monotonic()))
        caller = Caller(self, "probe", self._rng.random())
        for node in self.nodes:
            sent = time.monotonic()
            if self.is_in_touch(node, acknowledged):
                key = self.config.keys["team-1"][0]
                status = await caller.length(node, queue, key)
                self.promises.check(status != 404 or not self.is_in_touch(node, acknowledged), "configuration",
                                    f"{node.name} does not know {queue.name} {sent - acknowledged:.1f} s later")

    async def submit_wide_job(self, rng):
        """A job whose runs end together, thousands on few workers; None when it was not accepted."""
        caller = Caller(self, "team-1", rng.random())
        job = Job(self.next_number(), self.config.queues[0], "team-1", rng)
        job.width, job.steps, job.seconds, job.cpu, job.times = 5000, 1, rng.uniform(1.5, 3), 1, 0
        job.mem_mb, job.lasts, job.is_poison, job.crashes_after = 1, False, False, None
        self.jobs.by_id[job.id] = job
        self.promises.submitted(job.id, "sent")
        return job if await caller.submit(job) else None

    async def ask_for_wave(self, vms):
        if not vms:
            return
        self._waves += 1
        wave = {"wave": self._waves, "machines": vms, "duration_s": 30, "ceiling": 2}
        self.fleet.waves[self._waves] = wave
        while not self.store.put("op", f"wave/{self._waves}", wave):
            await asyncio.sleep(0.2)

    def connection_broke(self, node, how, began):
        """A stopping node must answer what it has read; a call that crossed the close is not cut."""
        cut = how in ("no answer", "cut in the answer") and time.monotonic() - began > 0.2
        if cut and node.is_stopping and node.is_alive() and not node.was_paused_lately(self):
            self.promises.check(False, "graceful-stop", f"{node.name} cut a call while it stopped: {how}")

    async def settle(self):
        """After the last fault: every accepted job ends as it should, and new ones are served."""
        caller = Caller(self, "team-1", self._rng.random())
        left = {job.id: job for job in self.jobs.by_id.values()
                if job.accepted_at and not job.is_cancelled and not job.lasts}
        deadline = time.monotonic() + SETTLE_S
        gone = {}
        while left and time.monotonic() < deadline:
            for job in list(left.values()):
                state = await caller.state(job, self.config.keys[job.workspace][0])
                if state in ("completed", "failed"):
                    failed = max((len(runs) for task, runs in self.promises.failed_runs.items()
                                  if task.startswith(job.id)), default=0)
                    crashed = self.promises.crashes[f"{job.id}.0.0.0"]
                    self.promises.check(state == "completed" or failed >= job.attempts or crashed >= 2, "kept",
                                        f"{job.id} is failed after {failed} failed runs and {crashed} crashes")
                    del left[job.id]
                elif state == 410:
                    gone[job.id] = gone.get(job.id, 0) + 1
                    if gone[job.id] >= 3:
                        self.promises.check(False, "kept", f"{job.id} was accepted and is not known")
                        del left[job.id]
            await asyncio.sleep(0.3)
        for job in left.values():
            self.promises.check(False, "recovery", f"{job.id} has not ended {SETTLE_S:.0f} s after the last fault")

    def owner(self):
        """The node that owns the jobs, by the store."""
        row = self.store.rows.get(("filbertspar_owner", "0", "owner"))
        name = None if row is None else self.store.decoded(row[0])["vm"]
        return next((node for node in self.nodes if node.name == name), None)

    def kill_nodes(self):
        for node in self.nodes:
            node.kill()

    async def stop(self):
        for node in self.nodes:
            self.promises.check(await node.stop(), "graceful-stop", f"{node.name} did not end at the end")
            await node.store_path.stop()
        await self.stop_stand_ins()

    async def stop_stand_ins(self):
        self.fleet.new_worker = None
        if self._look is not None:
            self._look.cancel()
        for vm in self.fleet.vms.values():
            vm.worker.end()
        await self.store.server.stop()
        await self.fleet.server.stop()
