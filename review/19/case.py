"""The owner is killed just after it has taken a machine down for its wave; the platform's list of machines lags."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.rig4.rig import BROKEN, HELD, NOT_RUN, run  # noqa: E402

# lag_ms of the site file.
LAG_S = float(os.environ.get("LAG", "0.8"))
CEILING, DURATION_S = 1, 60
KILL_AFTER_S = 0.1
WATCHED_S = 12.0
PERIOD_S = 0.02


class Platform:
    """Shows the machines as they were a little earlier, and notes the upkeep that begins beyond the ceiling."""

    def __init__(self, rig):
        self._rig, self._fleet = rig, rig.site.fleet
        self._shown = []
        self._handle = self._fleet.server._handle
        self._fleet.server._handle = self.handle
        # Of the wave: machines whose upkeep has begun, and begins beyond the ceiling.
        self.begun, self.beyond = [], []

    async def look(self):
        while True:
            self._shown.append((time.monotonic(), [vm.shown() for vm in self._fleet.vms.values()]))
            del self._shown[:-int(3 / PERIOD_S)]
            await asyncio.sleep(PERIOD_S)

    async def handle(self, method, path, headers, body):
        if path.startswith("/machines"):
            at = time.monotonic() - LAG_S
            lists = [machines for shown_at, machines in self._shown if shown_at <= at]
            return 200, {"machines": lists[-1] if lists else self._shown[0][1], "next_token": ""}
        down = sorted(vm.name for vm in self._fleet.vms.values() if vm.state == "upkeep")
        was_up = path == "/machine-upkeep" and self._fleet.vms[body["machine"]].state == "up"
        status, answer = await self._handle(method, path, headers, body)
        self._rig.record(f"{headers.get('x-lease-holder')} with {headers.get('x-fencing-token')} orders {path} {body}: "
                         f"{status} {answer}, down before: {down}")
        if was_up and status == 200:
            self.begun.append(body["machine"])
            if len(down) >= CEILING:
                self.beyond.append(body["machine"])
                self._rig.record(f"BROKEN LIMIT: the upkeep of {body['machine']} begins while {down} are down")
        return status, answer


async def play(rig):
    platform = Platform(rig)
    look = asyncio.ensure_future(platform.look())
    await asyncio.sleep(3)
    wave = {"wave": 1, "machines": sorted(rig.site.fleet.vms), "duration_s": DURATION_S, "ceiling": CEILING}
    rig.site.fleet.waves[1] = wave
    rig.site.store.put("op", "wave/1", wave)
    rig.record(f"wave asked for: {wave}")
    deadline = time.monotonic() + 20
    while len(platform.begun) < 2 and time.monotonic() < deadline:
        await asyncio.sleep(0.005)
    if len(platform.begun) < 2:
        return NOT_RUN
    await asyncio.sleep(KILL_AFTER_S)
    if rig.has_trouble:
        await rig.kill_owner()
    await asyncio.sleep(WATCHED_S)
    look.cancel()
    rig.record(f"upkeep has begun of {platform.begun}, beyond the ceiling of {platform.beyond}")
    return BROKEN if platform.beyond else HELD


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(__file__).resolve().parent, play, vm_count=9))
