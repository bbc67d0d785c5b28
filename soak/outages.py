"""Outages of the store in which another node claims: the owner is rejected first, then nobody is answered, and the first
call that is answered may be the claim; claims may be performed without an answer; workers are cut off around the end.

python3 -m soak.outages [--seed N] [--seconds S] [--slot N] [--program PATH] [--plant longer-lease]
Exit code 0 when no promise was broken, with --plant when the promise that it breaks was broken.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

from soak import nodes, plants
from soak.restarts import hand_in_jobs
from soak.site import Site

GAP_S = 4.0
SILENCE_S = (0.5, 8.0)
# Longer than an outage, so that runs go on when it ends.
TASK_S = 14.0
# Longer than the next owner waits for a worker that does not answer.
CUT_S = 9.0
# Before the store may be back: the owner renews the leases of these workers until then.
CUT_AHEAD_S = 0.2


class Outage:
    """What the store does with calls from the first claim of another node than the owner on."""

    def __init__(self, site, owner, silence_s, claims_are_performed):
        self._site, self._owner, self.silence_s = site, owner, silence_s
        self._claims_are_performed = claims_are_performed
        self.silent_since = None
        self.is_over = False

    def _is_claim(self, path, body):
        return path == "/rows-tx" and any(
            row["table"] == "filbertspar_owner" and row["key"] == "owner" and
            self._site.store.decoded(row["value"])["vm"] != self._owner.name for row in body["set_keys"])

    def gate(self, path, body):
        is_claim = self._is_claim(path, body)
        if self.silent_since is None:
            if not is_claim:
                return None
            self.silent_since = time.monotonic()
        silence = time.monotonic() - self.silent_since
        if self.is_over or silence > self.silence_s + 2.5 or (silence > self.silence_s and is_claim):
            self.is_over = True
            return None
        return "lost" if is_claim and self._claims_are_performed else "silent"


async def harm_worker(site, rng, seen):
    if seen.silent_since is None:
        return
    await asyncio.sleep(max(0.0, seen.silent_since + seen.silence_s - CUT_AHEAD_S - time.monotonic()))
    workers = [vm.worker for vm in site.fleet.vms.values()]
    worker = rng.choice([each for each in workers if each.running] or workers)
    worker.faults.add("cut")
    await asyncio.sleep(CUT_S)
    worker.faults.discard("cut")


async def outage(site, rng):
    owner = site.owner()
    if owner is None or not owner.is_listening():
        return
    seen = Outage(site, owner, rng.uniform(*SILENCE_S), rng.random() < 0.3)
    site.note(f"outage, {owner.name} is rejected")
    site.store.fault = "gated"
    site.store.gate = seen.gate
    owner.store_path.set_mode("reset")
    deadline = time.monotonic() + 5
    while seen.silent_since is None and time.monotonic() < deadline:
        await asyncio.sleep(0.02)
    owner.store_path.set_mode("open")
    harmed = [asyncio.ensure_future(harm_worker(site, rng, seen)) for _ in range(rng.randrange(1, 4))]
    frozen = rng.random() < 0.2
    if frozen:
        owner.signal(signal.SIGSTOP)
        site.paused_at[owner.name] = time.monotonic()
    deadline = time.monotonic() + SILENCE_S[1] + 4
    while seen.silent_since is not None and not seen.is_over and time.monotonic() < deadline:
        await asyncio.sleep(0.02)
    if frozen:
        owner.signal(signal.SIGCONT)
        site.paused_at[owner.name] = time.monotonic()
    site.store.gate = lambda path, body: None
    site.store.fault = None
    owner.calm_since = site.store_calm_since = time.monotonic()
    site.note("outage is over")
    if rng.random() < 0.5:
        await asyncio.gather(*harmed)


async def disrupt(site, rng, until):
    count = 0
    while time.monotonic() < until:
        await outage(site, rng)
        count += 1
        # Two in a row, at times.
        await asyncio.sleep(rng.choice([0.3, GAP_S]))
    return count


async def play(seed, seconds, slot, folder, plant):
    rng = random.Random(f"{seed} outages")
    site = Site(seed, folder, slot, nodes=3, vms=9)
    site.jobs.crashes_after = lambda task: None
    site.worker_age_s = 60.0
    plants.before(plant, site)
    try:
        await site.start()
        await asyncio.sleep(5)
        until = time.monotonic() + seconds
        count, _ = await asyncio.gather(disrupt(site, rng, until), hand_in_jobs(site, rng, until, TASK_S))
        await asyncio.sleep(6)
        await site.settle()
        await site.stop()
    finally:
        site.kill_nodes()
    print(f"outages seed={seed} jobs={len(site.jobs.by_id)} outages={count} "
          f"checks={sum(site.promises.checks.values())} broken={len(site.promises.violations)}")
    return plants.judge(plant, site, folder)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--slot", type=int, default=31, help="second number of the loopback addresses")
    parser.add_argument("--program", type=pathlib.Path, default=nodes.PROGRAM)
    parser.add_argument("--plant", choices=["longer-lease"], help="break a promise on purpose")
    arguments = parser.parse_args()
    nodes.PROGRAM = arguments.program
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"outages-{arguments.seed}-"))
    held = asyncio.run(play(arguments.seed, arguments.seconds, arguments.slot, folder, arguments.plant))
    print("1 passed, 0 failed" if held else "0 passed, 1 failed")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
