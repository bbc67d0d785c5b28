"""A small deployment on loopback: nodes as processes, platform, workers and callers as stand-ins."""

import asyncio
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from review.lab.check import Check
from review.lab.worker import Worker
from soak.http1 import Connection, Server
from soak.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALL_S = 3.0

# Values of a small deployment, under the names of the template.
SETTINGS = {
    "region": "region-1", "internal_ports.0": "7000", "limits.cpu_share": "0.25", "limits.cores": "1",
    "limits.memory_mb": "260", "limits.max_fds": "4100", "limits.link_mbps": "1000.0", "bootstrap": "true",
    "platform.writes_per_s": "600", "platform.reads_per_s": "2000", "platform.tx_ms": "5.0",
    "platform.appends_per_s": "200", "platform.row_bytes": "65536", "cloud_api.rate_per_s": "64.0",
    "cloud_api.duty_per_s": "64.0", "bounds.migration_s": "1.5", "bounds.maintenance_s": "2",
    "bounds.lease_ttl_ms": "3000", "recommendation": "", "heartbeat_ms": "1500", "commands": "invocation",
    "bounds.max_hold_ms": "6000", "bounds.stop_timeout_ms": "900", "bounds.notice_ms": "4500",
    "bounds.config_apply_ms": "2000", "bounds.revoke_ms": "5000", "bounds.strict_revocation": "true",
    "bounds.grace_s": "6", "bounds.status_s": "120"}


def deploy_command():
    return re.search(r'^run = "([^"]*)"', (ROOT / "deploy/system.toml").read_text(), re.MULTILINE).group(1).split()


def render(template, values):
    return re.sub(r"\{\{([^}]*)\}\}", lambda found: values[found.group(1)], template)


def memory_mb(pid):
    try:
        for line in open(f"/proc/{pid}/status"):
            if line.startswith("VmRSS"):
                return int(line.split()[1]) // 1024
    except OSError:
        pass
    return 0


class PagedStore(Store):
    """Answers a read with at most 1 MB, as PROTOCOL.md says."""

    PAGE_BYTES = 1_000_000

    def _read(self, query):
        first, limit = query.get("from", ""), min(int(query.get("limit", 500)), 500)
        places = sorted(place for place in self.rows
                        if place[:2] == (query["table"], query.get("part", "")) and place[2] >= first)
        page, size = [], 0
        for place in places[:limit]:
            size += len(self.rows[place][0]) + 200
            if page and size > self.PAGE_BYTES:
                break
            page.append(place)
        return {"rows": [self._shown(place) for place in page], "has_more": len(places) > len(page)}


class Node:
    def __init__(self, lab, name, zone, ip):
        self.name, self.ip = name, ip
        self._settings = lab.folder / f"{name}.ini"
        self._settings.write_text(render((ROOT / "deploy/node.ini.in").read_text(), SETTINGS | {
            "node_name": name, "zone": zone, "ip": ip, "listen_addrs.front": f"{ip}:8340",
            "listen_addrs.ready": f"{ip}:8343", "platform.address": "%s:%d" % lab.store_address,
            "cloud_api.address": "%s:%d" % lab.fleet_address}))
        self._log = open(lab.folder / f"{name}.log", "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            deploy_command(), cwd=ROOT, stdout=self._log, stderr=self._log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "FILBERTSPAR_CONFIG": str(self._settings)})

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Job:
    def __init__(self, number, steps, seconds, extra):
        self.id = f"{number:016x}"
        self.steps, self.seconds, self.extra = steps, seconds, extra
        self.accepted_at = None
        self.state = None

    def body(self):
        return {"spec": f"payload of {self.id}", "steps": self.steps} | self.extra


class Lab:
    def __init__(self, case, nodes=3):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filbertspar-review-"))
        self._record = open(pathlib.Path(case) / "record.txt", "w")
        self.began = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = self._free_net()
        self.store_address, self.fleet_address = (f"{self.net}.1", 8344), (f"{self.net}.2", 8344)
        self.check = Check(self)
        self.store = PagedStore(random.Random(1))
        self.machines = {}
        self.fleet = Server(self._fleet)
        self.nodes = [Node(self, f"node-{i}", f"zone-{i % 3}", f"{self.net}.{10 + i}") for i in range(nodes)]
        self.workers = []
        self.jobs = {}
        self._next_job = random.getrandbits(40) << 20
        self._version = 0
        self.routes, self.services, self.tenants = [], [], []

    @staticmethod
    def _free_net():
        """A part of the loopback range on which nothing listens at the ports of a deployment."""
        while True:
            net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            try:
                for port in (8340, 8343, 8344, 7000, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.1", port))
                return net
            except OSError:
                continue

    def note(self, text):
        self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._record.flush()

    def work(self, task):
        """Seconds and cpu of a subtask."""
        job, _, step, _ = task.split(".")
        return self.jobs[job].seconds, self.jobs[job].steps[int(step)]["cpu"]

    async def _fleet(self, method, path, headers, body):
        if path.startswith("/machines"):
            return 200, {"machines": [
                {"machine": worker.machine, "pool": worker.pool, "state": "up" if worker.is_up and worker.server.has_power else "down",
                 "zone": worker.zone, "labels": worker.labels, "capacity": worker.capacity, "id": worker.name}
                for worker in self.workers], "next_token": ""}
        return 409, {"reason": "busy"}

    def add_pool(self, name, queue, workers, cores, attempts=3):
        self.services.append({"name": name, "health_path": "/health", "rejects_overload": True, "standby": False})
        self.routes.append({"name": queue, "host": f"{queue}.example", "path_prefix": f"/{queue}/", "timeout_ms": 3000,
                            "target_latency_ms": 2000, "priority": 0, "service": name, "attempts": attempts,
                            "stretch": 4.0, "public": False})
        for i in range(workers):
            number = len(self.workers)
            self.workers.append(Worker(self, f"i-{number}", f"m-{number}", name, f"zone-{i % 3}", f"rack-{i}",
                                       (f"{self.net}.{100 + number}", 8000), cores))

    def write_config(self):
        self._version += 3
        self.store.put("op", "config", {
            "version": self._version, "routes": self.routes, "services": self.services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "team-1", "api_keys": ["key-1"], "weight": 100,
                         "ceiling": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]})

    async def limit_memory(self, node, kills, most, restart_s=1.0):
        """DEPLOY.md: a process over its memory is killed, and started again after a short delay."""
        limit = int(SETTINGS["limits.memory_mb"])
        while True:
            await asyncio.sleep(0.05)
            used = memory_mb(node.process.pid)
            most[node.name] = max(most.get(node.name, 0), used)
            if used > limit:
                kills[node.name] = kills.get(node.name, 0) + 1
                self.note(f"{node.name} has {used} MB, its limit is {limit}: killed")
                node.kill()
                await asyncio.sleep(restart_s)
                node.start()

    async def start(self):
        await self.store.server.start(*self.store_address)
        await self.fleet.start(*self.fleet_address)
        self.write_config()
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            node.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if await self.call(self.nodes[0], "GET", f"/{self.routes[0]['name']}/", self.routes[0]) is not None:
                status, _ = await self.call(self.nodes[0], "GET", f"/{self.routes[0]['name']}/", self.routes[0])
                if status == 200:
                    return
        raise RuntimeError("the nodes did not start")

    async def call(self, node, method, path, route, value=None, timeout=CALL_S):
        connection = Connection(node.ip, 8340)
        headers = {"Host": route["host"], "Authorization": "Bearer key-1", "Content-Type": "application/json",
                   "X-Request-Deadline": str(int(timeout * 1000))}
        try:
            return await asyncio.wait_for(connection.call(method, path, headers, value), timeout + 0.5)
        except (asyncio.TimeoutError, ConnectionError):
            return None
        finally:
            connection.close()

    async def submit(self, queue, steps, seconds, extra=None):
        """Hands a job in; repeats calls without an answer at other nodes, as callers do."""
        self._next_job += 1
        job = Job(self._next_job, steps, seconds, extra or {})
        self.jobs[job.id] = job
        route = next(each for each in self.routes if each["name"] == queue)
        for attempt in range(5):
            node = self.nodes[(self._next_job + attempt) % len(self.nodes)]
            answer = await self.call(node, "POST", f"/{queue}/{job.id}", route, job.body())
            self.note(f"job {job.id} sent to {node.name}: {answer[0] if answer else 'no answer'}")
            if answer and 200 <= answer[0] < 300:
                job.accepted_at = time.monotonic()
                break
            if answer and answer[0] in (404, 429, 503):
                break
        return job

    async def state(self, job, queue):
        route = next(each for each in self.routes if each["name"] == queue)
        answer = await self.call(self.nodes[int(job.id, 16) % len(self.nodes)], "GET", f"/{queue}/{job.id}", route)
        if answer and answer[0] == 200:
            if answer[1]["state"] != job.state:
                self.note(f"job {job.id} is shown as {answer[1]['state']}")
            job.state = answer[1]["state"]
        return answer

    def owner(self):
        """The node whose row in the store names it as the owner of the jobs."""
        for (table, _, _), (value, _) in self.store.rows.items():
            if table == "filbertspar_owner":
                text = str(self.store.decoded(value))
                for node in self.nodes:
                    if f"'{node.name}'" in text:
                        return node
        return None

    async def stop(self):
        for node in self.nodes:
            node.kill()
        for worker in self.workers:
            await worker.stop()
        # The logs of the nodes, for whoever looks into a case.
        if os.environ.get("KEEP_LOGS", "0") == "0":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs in {self.folder}")


def main(case, play, **options):
    """Runs `play(lab)`; exit code 1 when a rule was broken, 0 when none was, 2 when the case could not run."""

    async def run():
        lab = Lab(case, **options)
        code = 2
        try:
            code = await asyncio.wait_for(play(lab), 110)
            if lab.check.broken:
                code = 1
            print(f"{len(lab.jobs)} jobs, {lab.check.starts} starts, {len(lab.check.broken)} violations")
            for rule, text in lab.check.broken[:5]:
                print(f"BROKEN {rule}: {text}")
        except Exception as error:  # pylint: disable=broad-except
            lab.note(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
        finally:
            await lab.stop()
        return code

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(run()))
