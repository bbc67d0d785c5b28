"""Take-overs after which the next owner sees old or cut lists: VMs as they were, and ends beyond the first answer.

python3 -m soak.takeovers [--seed N] [--seconds S] [--lag S] [--plant NAME]
Exit code 0 when no promise was broken, 1 otherwise.
"""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

from soak import faults, plants
from soak.callers import Caller
from soak.site import Site

LIST_LAGS_S = (0.0, 0.8, 1.5, 2.5)
# Of a team that asks for jobs of its own and of others.
JOBS_PER_S, ASKS_PER_S = 2, 10
GAP_S = 2.0


async def disrupt(site, rng, until):
    """Take-overs one after the other; returns how many there were."""
    count = 0
    while time.monotonic() < until:
        await asyncio.sleep(rng.expovariate(1 / GAP_S))
        fault = rng.choice([faults.kill_owner_in_wave, faults.kill_all_amid_ends])
        site.note(f"fault {fault.__name__}")
        await fault(site, rng)
        count += 1
    return count


async def play(seed, seconds, slot, folder, lag_s, plant):
    rng = random.Random(f"{seed} takeovers")
    site = Site(seed, folder, slot, nodes=3, vms=9)
    site.fleet.lag_s = rng.choice(LIST_LAGS_S) if lag_s is None else lag_s
    # Tasks that crash their workers are the plain soak's: with thousands of suspects they meet the finding RECOVERY.
    site.jobs.crashes_after = lambda task: None
    plants.before(plant, site)
    try:
        await site.start()
        await asyncio.sleep(3)
        until = time.monotonic() + seconds
        caller = Caller(site, "team-2", rng.random())
        count, *_ = await asyncio.gather(disrupt(site, rng, until), plants.during(plant, site),
                                         caller.run(until, JOBS_PER_S), caller.ask(until, ASKS_PER_S))
        await asyncio.sleep(6)
        await site.settle()
        await site.stop()
    finally:
        site.kill_nodes()
    print(f"takeovers seed={seed} lag={site.fleet.lag_s} jobs={len(site.jobs.by_id)} takeovers={count} "
          f"checks={sum(site.promises.checks.values())} broken={len(site.promises.violations)}")
    return plants.judge(plant, site, folder)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--slot", type=int, default=30, help="second number of the loopback addresses")
    parser.add_argument("--lag", type=float, help="age of the lists of VMs in seconds; drawn from the seed without it")
    parser.add_argument("--plant", choices=["restart", "stranger", "wave"], help="break a promise on purpose")
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"takeovers-{arguments.seed}-"))
    held = asyncio.run(play(arguments.seed, arguments.seconds, arguments.slot, folder, arguments.lag, arguments.plant))
    print("1 passed, 0 failed" if held else "0 passed, 1 failed")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
