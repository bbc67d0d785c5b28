"""Starts filbertspar-node processes with the commands of the deploy file,
against stand-ins on loopback addresses, and keeps the record of a case."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from httpd import Reply, Server, call
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    "max_hold_ms": 6000, "stop_timeout_ms": 900, "notice_ms": 4500,
    "migration_s": 1.5, "maintenance_s": 2, "lease_ttl_ms": 3000,
    "config_apply_ms": 2000, "revoke_ms": 5000, "strict_revocation": True,
    "grace_s": 6, "status_s": 120}


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """Fills in the plain placeholders of a template of the deploy file."""
    def value_of(match):
        value = fields
        for part in match.group(1).split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value_of, template)


class Node:
    def __init__(self, rig, name, zone, host):
        self.rig = rig
        self.name = name
        self.zone = zone
        self.host = host
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self.ports = [free_port(host), 0]
        self.cpu_share = 1
        self.memory_mb = 260
        self.process = None
        self.path = rig.folder / f"{name}.ini"
        self.log = open(rig.folder / f"{name}.log", "ab")

    def write_settings(self, store, cloud=None, advice=None):
        text = (ROOT / "deploy/node.ini.in").read_text()
        text = text.replace("metrics_port = 9464", f"metrics_port = {free_port(self.host)}")
        self.path.write_text(render(text, {
            "node_name": self.name, "zone": self.zone, "region": "r1", "ip": self.host,
            "listen_addrs": {"front": self.front, "ready": self.ready},
            "internal_ports": self.ports, "bootstrap": True, "heartbeat_ms": 1500,
            "commands": "invocation", "bounds": BOUNDS, "recommendation": advice,
            "limits": {"cpu_share": self.cpu_share, "cores": 1,
                       "memory_mb": self.memory_mb, "max_fds": 4100,
                       "link_mbps": self.rig.link_mbps},
            "platform": {"address": store, "writes_per_s": 600, "reads_per_s": 2000,
                         "tx_ms": 5.0, "appends_per_s": 200, "row_bytes": 65536},
            "cloud_api": {"address": cloud, "rate_per_s": 64.0, "duty_per_s": 64.0}}))

    def start(self):
        self.process = subprocess.Popen(
            [str(ROOT / "target/programs/filbertspar-node")], cwd=ROOT,
            env={"FILBERTSPAR_CONFIG": str(self.path), "PATH": os.environ.get("PATH", "")},
            stdout=self.log, stderr=self.log)

    def kill(self, how=signal.SIGKILL):
        self.process.send_signal(how)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def limit_memory(rig, node, kills, most):
    """Does what the platform does with a process over `memory_mb`."""
    while True:
        await asyncio.sleep(0.05)
        if node.process.poll() is not None:
            continue
        used = resident_mb(node.process.pid)
        most[node.name] = max(most[node.name], used)
        if used > node.memory_mb:
            rig.record("over", node=node.name, mb=round(used))
            node.kill()
            node.process.wait()
            kills[node.name] += 1
            await asyncio.sleep(1.0)
            node.start()


class Rig:
    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filbertspar-review-"))
        self.began = time.monotonic()
        self.out = open(self.case / "record.txt", "w")
        self.events = []
        self.store = Store()
        self.nodes = []
        self.workers = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.cloud = None
        self.link_mbps = 1000.0

    def record(self, kind, **fields):
        at = time.monotonic() - self.began
        self.events.append((at, kind, fields))
        line = " ".join(f"{k}={v}" for k, v in fields.items())
        self.out.write(f"{at:8.3f} {kind} {line}\n")
        self.out.flush()

    def configure(self, config):
        self.store.put("op", "", "config", json.dumps(config))

    async def add_node(self, name, zone="z1", start=True, advice=None,
                       cpu_share=1, memory_mb=260):
        host = f"127.0.0.{len(self.nodes) + 2}"
        node = Node(self, name, zone, host)
        node.cpu_share, node.memory_mb = cpu_share, memory_mb
        endpoint = await self.store.listen(name, "127.0.0.1")
        node.write_settings(endpoint, self.cloud.endpoint if self.cloud else None, advice)
        self.nodes.append(node)
        if start:
            node.start()
        return node

    async def start_cloud(self):
        """GET /machines, from the workers; moves and upkeep are refused."""
        async def handle(request):
            if request.path == "/machines":
                return Reply(200, {"machines": [
                    {"machine": f"m-{w.name}", "pool": w.service,
                     "state": "up" if w.alive else "down", "zone": "z1",
                     "labels": w.labels, "capacity": w.capacity, "id": w.name}
                    for w in self.workers], "next_token": None})
            return Reply(409, {"reason": "busy"})
        self.cloud = await Server(handle).start("127.0.0.1")

    def node(self, name):
        return next(node for node in self.nodes if node.name == name)

    def owner(self):
        owner = self.store.owner()
        return None if owner is None else owner[0]

    async def until(self, what, timeout=20.0, step=0.02):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if what():
                return True
            await asyncio.sleep(step)
        return False

    async def until_ready(self, node, timeout=20.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, _ = await call(node.ready, "GET", "/readiness", timeout=1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    async def submit(self, node, path, body, key=None, timeout=5.0, host="jobs.example"):
        return await self._call(node, "POST", path, body, key, timeout, host)

    async def get(self, node, path, key=None, timeout=5.0, host="jobs.example"):
        return await self._call(node, "GET", path, None, key, timeout, host)

    async def delete(self, node, path, key=None, timeout=5.0, host="jobs.example"):
        return await self._call(node, "DELETE", path, None, key, timeout, host)

    async def _call(self, node, method, path, body, key, timeout, host):
        headers = {"Host": host}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        self.record("send", to=node.name, call=f"{method} {path}")
        status, answer = await call(node.front, method, path, body, headers, timeout)
        self.record("answer", to=node.name, call=f"{method} {path}", status=status,
                    body=json.dumps(answer))
        return status, answer

    def starts(self, task=None):
        return [(at, f) for at, kind, f in self.events
                if kind == "start" and (task is None or f["task"] == task)]

    def twice(self):
        """Breaches of TWICE: two runs of one subtask at the same time, or a
        start after a run has ended `done`, if that end was taken note of."""
        running, ended, noted, found = {}, {}, {}, []
        for at, kind, f in self.events:
            if kind == "end" and f["how"] == "done":
                ended[(f["worker"], f["task"], f["run"])] = at
            elif kind == "noted" and f["how"] == "done":
                began = ended[(f["worker"], f["task"], f["run"])]
                noted[f["task"]] = min(began, noted.get(f["task"], began))
        for at, kind, f in self.events:
            if kind == "start":
                others = running.setdefault(f["task"], {})
                if others:
                    found.append((at, "two runs at once", f, dict(others)))
                if f["task"] in noted and at > noted[f["task"]]:
                    found.append((at, "start after a noted end", f, {}))
                others[(f["worker"], f["run"])] = at
            elif kind in ("end", "killed"):
                running.get(f["task"], {}).pop((f["worker"], f["run"]), None)
        return found

    async def close(self):
        for node in self.nodes:
            node.stop()
        for worker in self.workers:
            if worker.alive:
                await worker.crash()


def config(routes, services, tenants=(), version=1):
    return {"version": version, "routes": list(routes), "services": list(services),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": list(tenants)}


def route(name, prefix, service, **fields):
    return {"name": name, "host": "jobs.example", "path_prefix": prefix,
            "route_type": "non_idempotent", "timeout_ms": 3000,
            "target_latency_ms": 600, "priority": 0, "service": service, "attempts": 4,
            "stretch": 1.6, "public": True, **fields}


def service(name, **fields):
    return {"name": name, "health_path": "/health", "max_connections": 64,
            "protocol": "h1", "tls": False, "rejects_overload": True, "standby": False,
            **fields}


def main(case, run):
    """Runs `await run(rig)`, which returns True if the rule held, False if it
    was broken and None if the case could not run; exits with 0, 1 or 2."""
    async def whole():
        rig = Rig(case)
        result = None
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            result = await asyncio.wait_for(run(rig), 110)
        except asyncio.TimeoutError:
            rig.record("verdict", text="no result within 110 s")
        except asyncio.CancelledError:
            rig.record("verdict", text="ended by SIGTERM")
        finally:
            await rig.close()
            if os.environ.get("KEEP_LOGS"):
                print(rig.folder)
            else:
                shutil.rmtree(rig.folder, ignore_errors=True)
        code = {True: 0, False: 1, None: 2}[result]
        rig.record("exit", code=code)
        print(f"exit {code}")
        return code
    sys.exit(asyncio.run(whole()))
