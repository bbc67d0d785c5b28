"""Randomized fault soak: real nodes, stand-ins, a proxy before the store, and checks while it runs.

python3 -m soak --seed N --seconds S [--runs K] [--plant NAME]
Exit code 0 when no promise was broken, 1 otherwise.
"""

import argparse
import asyncio
import pathlib
import random
import re
import resource
import sys
import tempfile
import time

from soak import faults, plants
from soak.callers import Caller
from soak.site import Site


# Ages of the lists of VMs, for which the protocol has no bound.
LIST_LAGS_S = (0.0, 0.3, 0.8, 1.5, 2.5)
# A caller of each workspace asks so often.
ASKS_PER_S = 10


async def play(seed, seconds, slot, folder, plant, nodes, vms, link_mbps):
    rng = random.Random(seed)
    site = Site(seed, folder, slot, nodes, vms, link_mbps)
    # Numbers of their own: what the seed draws otherwise stays as it was.
    site.fleet.lag_s = random.Random(f"{seed} lag").choice(LIST_LAGS_S)
    plants.before(plant, site)
    try:
        await site.start()
        await asyncio.sleep(2)
        until = time.monotonic() + seconds
        callers = [Caller(site, workspace, rng.random()).run(until, 4) for workspace in sorted(site.config.keys)]
        # Numbers of their own: what the seed draws for faults and jobs stays as it was.
        callers += [Caller(site, workspace, f"{seed} {workspace}").ask(until, ASKS_PER_S)
                    for workspace in sorted(site.config.keys)]
        injected, restarts, *_ = await asyncio.gather(
            faults.inject(site, rng, until, 1.5),
            faults.restart_workers(site, random.Random(f"{seed} restarts"), until), plants.during(plant, site), *callers)
        injected |= restarts
        await asyncio.sleep(6)
        await site.settle()
        await site.stop()
    finally:
        # Also after an error of the soak itself no process stays.
        site.kill_nodes()
    return site, injected


def known_red():
    """Pairs of seed and promise that KNOWN-RED.txt lists as "test: soak seed=N PROMISE"."""
    page = (pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt").read_text()
    return {(int(seed), promise) for seed, promise in re.findall(r"^test: soak seed=(\d+) (\S+)$", page, re.MULTILINE)}


def unexpected(seed, site):
    """Violations that are not listed; the others are printed and pass."""
    listed = known_red()
    found = []
    for violation in site.promises.violations:
        if (seed, violation[1]) in listed:
            print(f"known red: soak seed={seed} {violation[1]}: {violation[2]}")
        else:
            found.append(violation)
    return found


def report(seed, site, injected, folder):
    accepted = sum(job.accepted_at is not None for job in site.jobs.by_id.values())
    print(f"seed={seed} jobs={len(site.jobs.by_id)} accepted={accepted} faults={sum(injected.values())} "
          f"checks={sum(site.promises.checks.values())} broken={len(site.promises.violations)}")
    for at, promise, detail in site.promises.violations[:10]:
        print(f"  BROKEN {promise}: {detail} (at {at - site.began:.1f} s, logs in {folder})")
    sys.stdout.flush()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--runs", type=int, default=1, help="seeds one after the other")
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--link-mbps", type=float, default=1000,
                        help="bandwidth that the nodes are told; with 0.1 they relay starts and offer jobs")
    parser.add_argument("--slot", type=int, default=20, help="second number of the loopback addresses")
    parser.add_argument("--plant", choices=plants.NAMES, help="break a promise on purpose")
    arguments = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        site, injected = asyncio.run(play(seed, arguments.seconds, arguments.slot, folder, arguments.plant,
                                          arguments.nodes, arguments.vms, arguments.link_mbps))
        report(seed, site, injected, folder)
        if arguments.plant:
            found = {promise for _, promise, _ in site.promises.violations}
            broken += plants.BREAKS[arguments.plant] not in found
        else:
            broken += bool(unexpected(seed, site))
    if arguments.plant:
        print(f"{arguments.plant}: {'missed' if broken else 'found'}")
    print(f"{arguments.runs - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
