"""Workers that start again under their ids and are cut off soon after, beside one other kind of fault.

python3 -m soak.restarts [VARIATION ...] [--seed N] [--seconds S] [--slot N] [--program PATH] [--plant unfenced]
Variations that begin with "kept" or "late" have calls under way reach the next life, see Server. Tasks run for longer
than a lease, so that one that goes on while it is started elsewhere is seen. Exit code 0 when no promise was broken in
any variation, with --plant when the promise that it breaks was broken in each.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

from soak import faults, nodes, plants
from soak.callers import Caller
from soak.largest import GivenJob, hand_in, kill_owner
from soak.site import Site

JOBS_PER_S, TASKS, CPU, TASK_S = 8.0, 4, 100, 4.5
LASTING_SHARE = 0.05


async def freeze_owner(site, rng):
    row = site.store.rows.get(("filbertspar_owner", "0", "owner"))
    name = None if row is None else site.store.decoded(row[0])["vm"]
    for node in site.nodes:
        if node.name == name:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.5, 6))
            node.signal(signal.SIGCONT)
            site.paused_at[node.name] = time.monotonic()


async def kill(site, _):
    await kill_owner(site)


async def hand_over(site, rng):
    """The owner stops while a worker restarts."""
    row = site.store.rows.get(("filbertspar_owner", "0", "owner"))
    name = None if row is None else site.store.decoded(row[0])["vm"]
    restart = asyncio.ensure_future(faults.restart_worker(site, rng))
    for node in site.nodes:
        if node.name == name and node.is_listening():
            site.promises.check(await node.stop(), "graceful-stop", f"{node.name} did not end in time")
            node.start()
    await restart


class Variation:
    """Mean time between two restarts, the longest delays of each, and what else happens how often.

    `calls` are drawn from, see Server; `moment` is when the power is lost; a worker restarts `in_a_row` before its cut.
    """

    def __init__(self, gap_s, delays, other=None, other_gap_s=5.0, link_mbps=1000, calls=("lost",), moment=None,
                 in_a_row=1, shortest=(0.05, 0.05, 0.05), vms=9):
        self.gap_s, self.delays, self.link_mbps = gap_s, delays, link_mbps
        self.other, self.other_gap_s = other, other_gap_s
        self.calls, self.moment, self.in_a_row = calls, moment, in_a_row
        self.shortest, self.vms = shortest, vms

    def apply(self, site):
        site.restart_gap_s, site.restart_delays, site.restart_shortest = self.gap_s, self.delays, self.shortest
        site.restart_calls, site.restart_moment, site.restarts_in_a_row = self.calls, self.moment, self.in_a_row


ANY = ("lost", "kept", "late")
# Of review/9, for one worker in eight.
LAB = (0.9, 0.5, 5.5)


def with_calls(name, calls):
    """Variations whose calls under way become that."""
    return {
        f"{name}several": Variation(0.8, (2.6, 1.5, 6.0), calls=calls),
        f"{name}owner-killed": Variation(2.0, (2.6, 1.5, 6.0), kill, calls=calls),
        f"{name}owner-frozen": Variation(2.0, (2.6, 1.5, 6.0), freeze_owner, calls=calls),
        f"{name}store-away": Variation(2.0, (2.6, 1.5, 6.0), faults.harm_store, calls=calls),
        f"{name}relayed": Variation(2.0, (2.6, 1.5, 6.0), link_mbps=0.1, calls=calls),
        f"{name}lab": Variation(6.0, LAB, shortest=LAB, vms=24, calls=calls),
    }


VARIATIONS = {
    "one": Variation(8.0, (2.6, 1.5, 6.0)),
    "quick": Variation(2.0, (0.3, 0.6, 6.0)),
    "long": Variation(2.0, (6.0, 1.5, 6.0)),
    "kept-twice": Variation(2.0, (0.3, 0.6, 6.0), calls=("kept",), in_a_row=2),
    "late-twice": Variation(2.0, (0.3, 0.6, 6.0), calls=("late",), in_a_row=2),
    "opened": Variation(2.0, (2.6, 1.5, 6.0), calls=ANY, moment="opened"),
    "mid-answer": Variation(2.0, (2.6, 1.5, 6.0), calls=ANY, moment="answer"),
    "hand-over": Variation(4.0, (2.6, 1.5, 6.0), hand_over, calls=ANY),
} | with_calls("", ("lost",)) | with_calls("kept-", ("kept",)) | with_calls("late-", ("late",))


def restart_busy_workers(site):
    """Has the worker restart that got the last start: the next ones are on their way to it."""
    last = []
    started = site.promises.run_started

    def run_started(task, number, worker, pool, spec):
        last[:] = [worker]
        started(task, number, worker, pool, spec)

    site.promises.run_started = run_started
    any_worker = site.worker_to_restart
    site.worker_to_restart = lambda rng: next(
        (vm.worker for vm in site.fleet.vms.values() if vm.worker.name in last), any_worker(rng))


async def repeat(fault, site, rng, gap_s, until):
    while time.monotonic() < until:
        await asyncio.sleep(rng.expovariate(1 / gap_s))
        await fault(site, rng)


async def hand_in_jobs(site, rng, until, task_s=TASK_S):
    step = {"count": TASKS, "cpu": CPU, "mem_mb": 64, "est_duration_ms": int(task_s * 1000)}
    caller = Caller(site, "team-1", rng.random())
    under_way = []
    while time.monotonic() < until:
        await asyncio.sleep(rng.expovariate(JOBS_PER_S))
        lasting = {"long_running": True} if rng.random() < LASTING_SHARE else {}
        job = GivenJob(site.next_number(), rng.choice(site.config.queues), "team-1",
                       {"steps": [step | lasting]}, task_s, CPU)
        under_way.append(asyncio.ensure_future(hand_in(site, caller, job)))
    await asyncio.gather(*under_way)
    # Lasting jobs would hold the ceiling while the others end.
    for job in site.jobs.by_id.values():
        if job.lasts and job.accepted_at:
            await caller.cancel(job)


async def play(name, seed, seconds, slot, folder, plant):
    variation = VARIATIONS[name]
    rng = random.Random(f"{seed} {name}")
    site = Site(seed, folder, slot, nodes=3, vms=variation.vms, link_mbps=variation.link_mbps)
    variation.apply(site)
    plants.before(plant, site)
    restart_busy_workers(site)
    try:
        await site.start()
        await asyncio.sleep(3)
        until = time.monotonic() + seconds
        work = [faults.restart_workers(site, rng, until), hand_in_jobs(site, rng, until)]
        if variation.other:
            work.append(repeat(variation.other, site, rng, variation.other_gap_s, until))
        counts, *_ = await asyncio.gather(*work)
        await asyncio.sleep(6)
        await site.settle()
        await site.stop()
    finally:
        site.kill_nodes()
    accepted = sum(job.accepted_at is not None for job in site.jobs.by_id.values())
    print(f"{name} seed={seed} jobs={len(site.jobs.by_id)} accepted={accepted} restarts={counts['restart_worker']} "
          f"checks={sum(site.promises.checks.values())} broken={len(site.promises.violations)}")
    for at, promise, detail in site.promises.violations[:5]:
        print(f"  BROKEN {promise}: {detail} (at {at - site.began:.1f} s, logs in {folder})")
    sys.stdout.flush()
    broken = {promise for _, promise, _ in site.promises.violations}
    return plants.BREAKS[plant] in broken if plant else not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("variations", nargs="*", choices=[[], *VARIATIONS], default=[],
                        help="all, if none is named")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--slot", type=int, default=28, help="second number of the loopback addresses")
    parser.add_argument("--program", type=pathlib.Path, default=nodes.PROGRAM)
    parser.add_argument("--plant", choices=["unfenced"], help="break a promise on purpose")
    arguments = parser.parse_args()
    nodes.PROGRAM = arguments.program
    held = 0
    names = arguments.variations or list(VARIATIONS)
    for name in names:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"restarts-{name}-"))
        held += asyncio.run(play(name, arguments.seed, arguments.seconds, arguments.slot, folder, arguments.plant))
    print(f"{held} passed, {len(names) - held} failed")
    return 0 if held == len(names) else 1


if __name__ == "__main__":
    sys.exit(main())
