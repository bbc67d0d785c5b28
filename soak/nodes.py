"""The real programs as processes of their own, each with a proxy of its own to the store."""

import asyncio
import os
import pathlib
import signal
import subprocess
import time

from soak.proxy import Proxy

PROGRAM = pathlib.Path("build/release/programs/filbertspar-node")
GRACE_S = 6.0

SETTINGS = """[node]
name = {name}
zone = {zone}
region = soak
address = {ip}
caller_listen = {ip}:8340
ready_listen = {ip}:8343
link_port = 7000
metrics_port = 9464
cpu_share = {cpu_share}
link_mbps = {link_mbps}

[store]
address = {ip}:8344
writes_per_s = 600
reads_per_s = 2000
part_changes_per_s = 200

[fleet]
address = {fleet}
reads_per_s = 64
orders_per_s = 64
move_s = 1.5
upkeep_s = 2
holder_ttl_ms = 3000

[workers]
report_ms = 1500
max_lease_ms = 6000
stop_ms = 900

[bounds]
config_apply_ms = 2000
revoke_ms = 5000
strict_revocation = true
grace_s = {grace}
state_kept_s = 120
"""


class Node:
    CALLER_PORT = 8340

    def __init__(self, name, zone, ip, cpu_share, link_mbps, store_address, fleet_address, folder):
        self.name, self.ip = name, ip
        self.store_path = Proxy(store_address)
        self._settings = folder / f"{name}.ini"
        self._settings.write_text(SETTINGS.format(
            name=name, zone=zone, ip=ip, cpu_share=cpu_share, link_mbps=link_mbps, grace=GRACE_S,
            fleet="%s:%d" % fleet_address))
        self._log = open(folder / f"{name}.log", "ab")
        self.process = None
        self.is_paused = False
        self.is_stopping = False
        # Since when nothing was done to the process or its path to the store.
        self.calm_since = time.monotonic()

    async def open_path(self):
        await self.store_path.start(self.ip, 8344)

    def start(self):
        self.is_stopping = False
        self.process = subprocess.Popen(
            [str(PROGRAM)], stdout=self._log, stderr=self._log, stdin=subprocess.DEVNULL,
            env=os.environ | {"FILBERTSPAR_CONFIG": str(self._settings)})
        self.calm_since = time.monotonic()

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def is_listening(self):
        return self.is_alive() and not self.is_paused and not self.is_stopping

    def signal(self, number):
        if self.is_alive():
            self.process.send_signal(number)
        self.calm_since = time.monotonic()

    def kill(self):
        if self.is_alive():
            self.process.kill()
            self.process.wait()

    async def stop(self):
        """Stops gracefully; whether the process ended by itself within the grace time."""
        self.is_stopping = True
        self.signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        while self.is_alive() and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        in_time = not self.is_alive()
        self.kill()
        return in_time
