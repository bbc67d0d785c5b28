"""What the scripts of review 4 share: a small deployment of the project's own stand-ins on free loopback addresses.

The node is started with the command of the deploy file and with settings that have all keys of its template; the
figures are those of the small deployments. Everything that is sent, answered and run goes to record.txt.
"""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from soak import nodes, site as site_module  # noqa: E402
from soak.http1 import Connection  # noqa: E402

PROGRAM = ROOT / "target/programs/filbertspar-node"
BROKEN, HELD, NOT_RUN = 1, 0, 2
CALL_S = 3.0
# Of a script, with some seconds to end its processes.
LONGEST_S = 112
ANSWER_S = 4.0

SETTINGS = """[node]
name = {name}
zone = {zone}
region = region-1
address = {ip}
caller_listen = {ip}:8340
ready_listen = {ip}:8343
link_port = 7000
metrics_port = 9464
cpu_share = 0.25
cpu_speed = 1
memory_mb = 260
max_descriptors = 4100
link_mbps = {link_mbps}
first_start = true

[store]
address = {ip}:8344
writes_per_s = 600
reads_per_s = 2000
change_ms = 5.0
part_changes_per_s = 200
row_bytes = 65536

[fleet]
address = {fleet}
reads_per_s = 64
orders_per_s = 64
move_s = 1.5
upkeep_s = 2
holder_ttl_ms = 3000

[recommendation]
address =

[workers]
report_ms = 1500
orders = invocation
max_lease_ms = 6000
stop_ms = 900
notice_ms = 4500

[bounds]
config_apply_ms = 2000
revoke_ms = 5000
strict_revocation = true
grace_s = {grace}
state_kept_s = 120
"""


def free_slot():
    """Second number of loopback addresses that nobody uses."""
    for _ in range(100):
        slot = random.randint(40, 250)
        try:
            for address in ((f"127.{slot}.1.1", 8344), (f"127.{slot}.3.1", 8340), (f"127.{slot}.4.1", 8000)):
                with socket.socket() as probe:
                    probe.bind(address)
            return slot
        except OSError:
            continue
    raise OSError("no free addresses")


# Of one answer of the store to a range of rows.
MOST_ROWS, MOST_BYTES = 500, 1_000_000


def read_rows(store, query):
    """A range of rows with the bounds of the pages: `limit`, 500 rows and 1 MB, as the store's stand-in has no bytes."""
    first, last = query.get("from", ""), query.get("to")
    places = sorted(place for place in store.rows
                    if place[:2] == (query["table"], query.get("part", "")) and place[2] >= first
                    and (last is None or place[2] < last))
    most_rows = min(MOST_ROWS, int(query.get("limit", MOST_ROWS)))
    rows, size = [], 0
    for place in places:
        size += len(store.rows[place][0])
        if len(rows) == most_rows or (rows and size > MOST_BYTES):
            break
        rows.append(store._shown(place))
    return {"rows": rows, "has_more": len(rows) < len(places)}


class Record:
    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w")
        self._began = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


class Rig:
    """A site with a record, and what a case does to it."""

    def __init__(self, case_folder, node_count=3, vm_count=6):
        self.record = Record(case_folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._folder = tempfile.TemporaryDirectory(prefix="review-4-")
        self.logs = pathlib.Path(self._folder.name)
        nodes.PROGRAM = PROGRAM
        nodes.SETTINGS = SETTINGS
        seed = random.getrandbits(32)
        self.record(f"seed {seed} trouble {int(self.has_trouble)}")
        self.site = site_module.Site(seed, pathlib.Path(self._folder.name), free_slot(), node_count, vm_count)
        self.site.store._read = lambda query: read_rows(self.site.store, query)
        self._processes = []
        for node in self.site.nodes:
            self._count_processes(node)
        started = self.site.promises.run_started
        ended = self.site.promises.run_ended
        # Starts and ends as the workers see them: time, task, run, worker.
        self.starts, self.ends = [], []

        def run_started(task, number, worker, pool, spec):
            self.record(f"run starts: {task} run {number} on {worker} of {pool}, spec {spec[:24]!r}")
            self.starts.append((time.monotonic(), task, number, worker))
            started(task, number, worker, pool, spec)

        def run_ended(task, number, worker, how):
            self.record(f"run ends: {task} run {number} on {worker}: {how}")
            self.ends.append((time.monotonic(), task, number, worker, how))
            ended(task, number, worker, how)

        self.site.promises.run_started = run_started
        self.site.promises.run_ended = run_ended

    def _count_processes(self, node):
        """Has each process that the node starts end with the case, also one that was started beside another."""
        start = node.start

        def counted_start():
            start()
            self._processes.append(node.process)

        node.start = counted_start

    def owner(self):
        row = self.site.store.rows.get(("filbertspar_owner", "0", "owner"))
        name = None if row is None else self.site.store.decoded(row[0])["vm"]
        return next((node for node in self.site.nodes if node.name == name), None)

    async def start(self):
        await self.site.start()
        for node in self.site.nodes:
            await self.until_ready(node)

    async def until_ready(self, node, longest_s=15):
        deadline = time.monotonic() + longest_s
        while time.monotonic() < deadline:
            try:
                status, _ = await asyncio.wait_for(
                    Connection(node.ip, 8343).call("GET", "/readiness", {"Host": node.ip}), 1)
                if status == 200:
                    return
            except (ConnectionError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{node.name} is not ready")

    async def call(self, node, method, queue, job, workspace, value=None, deadline_s=CALL_S):
        """Status and answer of one call of a consumer; status 0 without an answer."""
        headers = {"Host": queue.host, "Authorization": f"Bearer {self.site.config.keys[workspace][0]}",
                   "Content-Type": "application/json", "X-Request-Deadline": str(int(deadline_s * 1000))}
        self.record(f"{workspace} sends {method} {queue.prefix}{job} to {node.name}")
        connection = Connection(node.ip, node.CALLER_PORT)
        try:
            status, answer = await asyncio.wait_for(
                connection.call(method, queue.prefix + job, headers, value), max(ANSWER_S, deadline_s + 1))
        except (ConnectionError, asyncio.TimeoutError) as error:
            status, answer = 0, str(error)
        connection.close()
        self.record(f"{workspace} gets {status} {str(answer)[:120]} for {method} {queue.prefix}{job}")
        return status, answer

    async def kill_owner(self, down_s=0.5):
        """Kills the process that last wrote to the store under a condition; the platform starts it again."""
        node = self.owner()
        self.record(f"SIGKILL {node.name}, which owns the jobs")
        node.kill()
        await asyncio.sleep(down_s)
        node.start()
        self.record(f"{node.name} is started again")
        return node

    async def stop(self):
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for node in self.site.nodes:
            await node.store_path.stop()
        await self.site.stop_stand_ins()


def run(case_folder, play, prepare=lambda rig: None, **options):
    """Plays a case, after `prepare` has changed the site; the exit status."""
    if not PROGRAM.exists():
        print(f"{PROGRAM.relative_to(ROOT)} is not built")
        return NOT_RUN

    async def whole():
        # Connections that a kill cuts are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        rig = Rig(case_folder, **options)
        prepare(rig)

        async def start_and_play():
            await rig.start()
            return await play(rig)

        playing = asyncio.ensure_future(start_and_play())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            return await asyncio.wait_for(playing, LONGEST_S)
        except (Exception, asyncio.CancelledError) as error:  # An error of the script is no verdict.
            rig.record(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await rig.stop()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(rig.logs, os.environ["KEEP_LOGS"], dirs_exist_ok=True)

    try:
        status = asyncio.run(whole())
    except Exception as error:
        print(f"could not run: {error!r}")
        return NOT_RUN
    print({BROKEN: "broken", HELD: "held", NOT_RUN: "could not run"}[status])
    return status
