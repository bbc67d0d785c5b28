"""Starts and stops a filbertspar cluster of plain processes on loopback.

Used by scripts/demo and by the process tests. Every cluster has a random
127.x.y.* network of its own, so that its ports are not taken by others.
"""

import hashlib
import http.client
import json
import os
import random
import secrets
import signal
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HANG_GUARD_S = 30


def call(address, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request; returns (status, parsed JSON or text)."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        text = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        data = response.read().decode()
        try:
            return response.status, json.loads(data)
        except ValueError:
            return response.status, data
    finally:
        connection.close()


def wait_for(condition, what):
    """Waits for a condition; the bound only guards against a hang."""
    end = time.monotonic() + HANG_GUARD_S
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError("gave up waiting for " + what)


class Cluster:
    """Platform stand-in, upstream stand-ins and entry processes of a profile."""

    def __init__(self, folder, profile="flowline", build="build/release",
                 workers_per_pool=None, entries=None, seed=1):
        self.folder = os.path.join(ROOT, folder)
        self.build = os.path.join(ROOT, build)
        self.profile = os.path.join(ROOT, "profiles", profile)
        self.seed = seed
        os.makedirs(self.folder, exist_ok=True)
        with open(os.path.join(self.profile, "fleet.json")) as file:
            self.fleet = json.load(file)
        with open(os.path.join(self.profile, "catalogue.json")) as file:
            self.catalogue = json.load(file)
        pick = random.SystemRandom()
        self.net = "127.%d.%d" % (pick.randint(1, 254), pick.randint(0, 254))
        self.processes = {}
        self.entry_settings = {}
        self.operator_key = secrets.token_hex(32)
        self.operator = {"x-filbertspar-operator-key": self.operator_key}
        self.keys = {}
        self.platform = self.net + ".1:7000"
        self.vms = {}
        count = entries or self.fleet["entries"]
        zones = self.fleet["zones"]
        self.entries = {
            "entry-%d" % (i + 1): {
                "caller": "%s.%d:8000" % (self.net, 10 + i),
                "admin": "%s.%d:8001" % (self.net, 10 + i),
                "peer": "%s.%d:8002" % (self.net, 10 + i),
                "zone": zones[i % len(zones)],
            } for i in range(count)}
        self._plan_vms(workers_per_pool)

    def _plan_vms(self, workers_per_pool):
        zones = self.fleet["zones"]
        per_zone = {zone: 0 for zone in zones}
        pools = dict(self.fleet["pools"])
        if workers_per_pool:
            pools = {pool: workers_per_pool for pool in pools}
        else:
            pools[self.fleet["spare_pool"]] += 1
        number = 0
        for pool, size in pools.items():
            for i in range(size):
                zone = zones[number % len(zones)]
                rack = "%s-rack-%d" % (zone, per_zone[zone] // self.fleet["rack_size"])
                per_zone[zone] += 1
                number += 1
                self.vms["vm-%03d" % number] = dict(
                    self.fleet["worker"], pool=pool, zone=zone, rack=rack,
                    address="%s.%d:7001" % (self.net, 50 + number))

    def _write_ini(self, name, sections):
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w") as file:
            for section, values in sections.items():
                file.write("[%s]\n" % section)
                for key, value in values.items():
                    file.write("%s = %s\n" % (key, value))
        return path

    def spawn(self, name, program, sections):
        """Starts a program with a settings file of its own."""
        path = self._write_ini(name, sections)
        log = open(os.path.join(self.folder, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [os.path.join(self.build, program), "--settings", path],
            stdout=log, stderr=log, cwd=ROOT)
        log.close()

    def start_entry(self, name):
        entry = self.entries[name]
        others = ["%s/%s/%s" % (n, e["zone"], e["peer"])
                  for n, e in self.entries.items() if n != name]
        self.spawn(name, "programs/filbertspar-entry", {"entry": {
            "name": name, "zone": entry["zone"], "region": self.fleet["region"],
            "caller_listen": entry["caller"], "admin_listen": entry["admin"],
            "peer_listen": entry["peer"], "platform": self.platform,
            "peers": ", ".join(others),
            "peer_key_file": os.path.join(self.folder, "peer.key"),
            "bootstrap_operator_hash":
                hashlib.sha256(self.operator_key.encode()).hexdigest(),
            **self.entry_settings,
        }})

    def start_planner(self, name):
        self.spawn(name.replace("entry", "planner"), "programs/filbertspar-planner", {
            "planner": {"name": name, "platform": self.platform, "round_ms": 300,
                        "maintain_cycle": "false"}})

    def start_worker(self, name):
        vm = self.vms[name]
        self.spawn(name, "standins/upstream-standin", {"upstream": {
            "listen": vm["address"], "slots": vm["slots"],
            "memory_mb": vm["memory_mb"], "accelerators": vm["accelerators"],
            "seed": self.seed + int(name[3:])}})

    def start(self):
        """Starts everything and installs catalogue, VMs and keys."""
        with open(os.path.join(self.folder, "peer.key"), "w") as file:
            file.write("[secrets]\ncurrent = %s\n" % secrets.token_hex(32))
        self.spawn("platform", "standins/platform-standin",
                   {"platform": {"listen": self.platform, "seed": self.seed}})
        for name in self.vms:
            self.start_worker(name)
        wait_for(lambda: call(self.platform, "GET", "/stats")[0] == 200, "platform")
        for name, vm in self.vms.items():
            call(self.platform, "POST", "/vms", {
                "id": name, "address": vm["address"], "zone": vm["zone"], "state": "live"})
        for name, entry in self.entries.items():
            call(self.platform, "POST", "/vms", {
                "id": name, "address": entry["peer"], "zone": entry["zone"], "state": "live"})
            self.start_entry(name)
            self.start_planner(name)
        for entry in self.entries.values():
            wait_for(lambda e=entry: call(e["caller"], "GET", "/healthz")[0] == 200, "entry")
        for vm in self.vms.values():
            wait_for(lambda v=vm: call(v["address"], "GET", "/health")[0] == 200, "worker")
        self.install()

    def admin(self, method, path, body=None, entry="entry-1"):
        return call(self.entries[entry]["admin"], method, "/admin/v1/" + path, body,
                    self.operator)

    def admin_ok(self, method, path, body=None, entry="entry-1"):
        status, answer = self.admin(method, path, body, entry)
        if status != 200:
            raise RuntimeError("%s %s: %s %s" % (method, path, status, answer))
        return answer

    def install(self):
        document = dict(self.catalogue)
        document["operators"] = [{
            "name": "demo", "role": "admin",
            "hash": hashlib.sha256(self.operator_key.encode()).hexdigest()}]
        self.admin_ok("PUT", "catalogue", document)
        pools = {"pool:" + pool["name"] for pool in document["pools"]}
        wait_for(lambda: pools <= {b["kind"] + ":" + b["name"] for b in
                                   self.admin_ok("GET", "budgets")["budgets"]}, "budgets")
        for name, vm in self.vms.items():
            self.admin_ok("PUT", "vms/" + name, vm)
        for team in document["teams"]:
            answer = self.admin_ok("POST", "keys", {
                "name": team["name"] + "-1", "team": team["name"]})
            self.keys[team["name"]] = answer["key"]
        self._write_ini("keys", {"keys": self.keys})
        version = answer["version"]
        self.wait_version(version)
        self.wait_in_service()

    def vm_states(self, entry="entry-1"):
        return {vm["name"]: vm["state"] for vm in self.admin_ok("GET", "vms", entry=entry)["vms"]}

    def wait_in_service(self):
        """Waits until the planner has verified every registered VM."""
        wait_for(lambda: set(self.vm_states().values()) == {"in_service"}, "VMs in service")

    def wait_version(self, version):
        """Waits until every running entry has at least the version in force."""
        for name in self.entries:
            if self.processes[name].poll() is None:
                wait_for(lambda n=name: self.admin("GET", "status", entry=n)[1].get(
                    "config_version", 0) >= version, "version %d at %s" % (version, name))

    def load_settings(self, name, duration_ms, extra=None):
        """Writes a scenario of the profile's streams; returns its path."""
        path = os.path.join(self.folder, name + ".ini")
        with open(os.path.join(self.profile, "load.ini")) as file:
            streams = file.read()
        with open(path, "w") as file:
            file.write("[load]\n")
            values = {
                "targets": ", ".join(e["caller"] for e in self.entries.values()),
                "duration_ms": duration_ms, "seed": self.seed,
                "keys": os.path.join(self.folder, "keys.ini"),
                "history": os.path.join(self.folder, name + ".jsonl")}
            values.update(extra or {})
            for key, value in values.items():
                file.write("%s = %s\n" % (key, value))
            file.write("\n" + streams)
        return path

    def start_load(self, path):
        return subprocess.Popen(
            [os.path.join(self.build, "programs/filbertspar-load"), "--settings", path],
            stdout=subprocess.PIPE, text=True, cwd=ROOT)

    def fault(self, address, faults):
        call(address, "POST", "/fault", faults)

    def worker_history(self):
        """Starts and ends of tasks at all running workers."""
        events, cut_off = [], 0
        for name, vm in self.vms.items():
            if self.processes[name].poll() is not None:
                continue
            _, answer = call(vm["address"], "GET", "/history")
            cut_off += answer["cut_off"]
            for event in answer["events"]:
                event["worker"] = name
                events.append(event)
        return events, cut_off

    def write_history(self, load_file, extra):
        """Writes calls, tasks, takeovers, ceilings and keys as one history."""
        path = os.path.join(self.folder, "history.jsonl")
        with open(path, "w") as out, open(load_file) as calls:
            for line in calls:
                event = json.loads(line)
                if event["event"] == "submitted" and event["team"]:
                    event["key"] = event["team"] + "-1"
                out.write(json.dumps(event) + "\n")
            events, cut_off = self.worker_history()
            for event in events:
                out.write(json.dumps({
                    "event": "started" if event["event"] == "start" else "ended",
                    "time_us": event["time_us"], "request": event["request"],
                    "attempt": event["attempt"], "worker": event["worker"],
                    "team": event["team"], "entry": event["job"],
                    "outcome": "" if event["event"] == "start" else event["state"]}) + "\n")
            for team in self.catalogue["teams"]:
                out.write(json.dumps({"event": "ceiling", "team": team["name"],
                                      "units": team["ceiling"], "time_us": 1}) + "\n")
                out.write(json.dumps({"event": "key_live", "team": team["name"], "time_us": 1,
                                      "key": team["name"] + "-1"}) + "\n")
            for name in self.entries:
                if self.processes[name].poll() is None:
                    for each in self.admin("GET", "peers", entry=name)[1]["taken_over"]:
                        out.write(json.dumps({
                            "event": "forwarded", "time_us": 1, "node": name,
                            "origin": each["origin"], "request": each["request"]}) + "\n")
            for event in extra:
                out.write(json.dumps(event) + "\n")
        return path, events, cut_off

    def check_history(self, path, options=()):
        """Runs the checker; returns its output lines when it found something."""
        done = subprocess.run([os.path.join(self.build, "programs/filbertspar-check"),
                               *options, path], capture_output=True, text=True)
        return [] if done.returncode == 0 else (done.stdout + done.stderr).splitlines()

    def stop(self):
        """Stops every process of this cluster; returns exit codes by name."""
        codes = {}
        entries = [n for n in self.processes if n.startswith(("entry", "planner"))]
        others = [n for n in self.processes if n not in entries]
        # Entries stop first: they still need workers and platform to finish.
        for group in (entries, others):
            for name in group:
                if self.processes[name].poll() is None:
                    self.processes[name].send_signal(signal.SIGTERM)
            for name in group:
                try:
                    codes[name] = self.processes[name].wait(HANG_GUARD_S)
                except subprocess.TimeoutExpired:
                    self.processes[name].kill()
                    codes[name] = self.processes[name].wait()
        return codes
