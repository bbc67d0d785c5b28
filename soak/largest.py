"""Jobs as large as a call may name, beside a sound job of another team.

python3 -m soak.largest [KIND ...] [--kill] [--slot N] [--program PATH]
Each kind is handed in while the sound job runs; with --kill the owner is killed twice. The sound job must end in
time, no promise may be broken, and without kills the owner must stay the same. Exit code 0 when all of it held.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import re
import sys
import tempfile
import time

from soak import nodes
from soak.callers import Caller
from soak.site import Site

SETTLE_S = 30.0
KILL_AT_S = (4.0, 9.0)
# After the last kill, time for the next owner to repeat what it must not.
WATCHED_S = 10.0
MOST_TASKS = 20000
MOST_TIMES = 1_000_000
TINY = {"cpu": 1, "mem_mb": 1}
STEP = {"count": 1, "cpu": 500, "mem_mb": 64, "est_duration_ms": 500}


def overdue(times, interval_ms, steps):
    return {"steps": steps, "times": times, "interval_ms": interval_ms,
            "start_at_ms": int(time.time() * 1000) - times * interval_ms}


KINDS = {
    "occurrences": lambda: [overdue(MOST_TIMES, 60000, [STEP])] * 3,
    "chains": lambda: [overdue(MOST_TIMES, 1, [STEP] + [STEP | {"after": [k]} for k in range(99)])] * 5,
    "steps": lambda: [overdue(500, 10, [{"count": 1, "cpu": 10, "mem_mb": 1}] * 900)] * 3,
    "wide": lambda: [{"steps": [TINY | {"count": MOST_TASKS, "est_duration_ms": 3000}]}] * 2,
    "memory": lambda: [{"steps": [TINY | {"count": MOST_TASKS, "est_duration_ms": 3000}]}] * 40,
    "no-demand": lambda: [{"steps": [{"count": MOST_TASKS}]}] * 2,
    "lasting": lambda: [{"steps": [TINY | {"count": MOST_TASKS, "long_running": True}]}] * 2,
    "gangs": lambda: [{"steps": [{"count": MOST_TASKS, "gang": True}]}] * 2,
    "apart": lambda: [{"steps": [TINY | {"count": MOST_TASKS, "anti_affinity": 5000, "est_duration_ms": 2000}]}] * 3,
    "after": lambda: [{"steps": [STEP | {"cpu": 10, "after": list(range(k))} for k in range(120)]}] * 30,
    "label": lambda: [{"steps": [TINY | {"count": MOST_TASKS, "requires": "no-worker-has-it"}]}] * 20,
    "numbers": lambda: [{"steps": [{"count": 3, "cpu": 2**63 - 1, "mem_mb": 2**63 - 1}]},
                        {"steps": [STEP | {"est_duration_ms": 10**9}]}, overdue(MOST_TIMES, 0, [STEP])] * 3,
    "flood": lambda: [{"spec": "x" * 4000, "steps": [{"count": 1}]}] * 2000,
}


class GivenJob:
    """A job with this body; all of its tasks are alike."""

    def __init__(self, number, queue, workspace, body, seconds, cpu):
        self.id = f"{number:016x}"
        self.queue, self.workspace, self.seconds, self.cpu = queue, workspace, seconds, cpu
        self.spec = body.get("spec", self.id)
        self._body = body | {"spec": self.spec}
        self.lasts = any(step.get("long_running") for step in body["steps"])
        self.is_poison, self.is_cancelled, self.crashes_after = False, False, None
        self.attempts, self.accepted_at = queue.attempts, None

    def tasks(self):
        return sum(step["count"] for step in self._body["steps"]) * max(1, self._body.get("times", 0))

    def body(self):
        return self._body


async def hand_in(site, caller, job):
    site.jobs.by_id[job.id] = job
    site.promises.submitted(job.id, "sent")
    key = site.config.keys[job.workspace][0]
    node = random.choice(site.nodes)
    status, _ = await caller.call(node, "POST", job.queue.prefix + job.id, job.queue.host, key, job.body())
    accepted = 200 <= status < 300
    site.promises.submitted(job.id, "accepted" if accepted else "refused" if status in (429, 503) else "unknown")
    if accepted:
        job.accepted_at = time.monotonic()
    return status


def claims(folder):
    """Each node that became the owner, in order of the epochs."""
    text = "".join(log.read_text(errors="replace") for log in folder.glob("node-*.log"))
    return sorted(int(epoch) for epoch in re.findall(r"event=claim_won epoch=(\d+)", text))


async def play(kind, kill, slot, folder):
    site = Site(1, folder, slot, nodes=3, vms=9)
    try:
        return await play_on(site, kind, kill, folder)
    finally:
        site.kill_nodes()


async def play_on(site, kind, kill, folder):
    await site.start()
    await asyncio.sleep(3)
    fast, slow = site.config.queues
    caller = Caller(site, "team-1", 1)
    step = {"count": 2, "cpu": 880, "mem_mb": 64, "est_duration_ms": 2000}
    sound = GivenJob(site.next_number(), fast, "team-1",
                     {"steps": [step] + [step | {"after": [k]} for k in range(3)]}, 2.0, 880)
    while not 200 <= await hand_in(site, caller, sound) < 300:
        await asyncio.sleep(0.3)
    await asyncio.sleep(1)
    statuses = collections.Counter()
    bodies = KINDS[kind]()
    for first in range(0, len(bodies), 50):
        jobs = [GivenJob(site.next_number(), slow, "team-2", body, 1.0, body["steps"][0].get("cpu", 0) % 2**31)
                for body in bodies[first:first + 50]]
        statuses.update(await asyncio.gather(*[hand_in(site, Caller(site, "team-2", 2), job) for job in jobs]))
    began = time.monotonic()
    kills, slowest, state = 0, 0.0, None
    watched_until = began + (KILL_AT_S[-1] + WATCHED_S if kill else 0)
    ended = None
    while (ended is None or time.monotonic() < watched_until) and time.monotonic() < began + SETTLE_S:
        if kill and kills < len(KILL_AT_S) and time.monotonic() > began + KILL_AT_S[kills]:
            kills += 1
            await kill_owner(site)
        asked = time.monotonic()
        state = await caller.state(sound, site.config.keys["team-1"][0])
        slowest = max(slowest, time.monotonic() - asked)
        if ended is None and state == "completed":
            ended = time.monotonic() - began
        await asyncio.sleep(0.3)
    terms = claims(folder)
    site.promises.check(ended is not None, "recovery", f"the sound job is {state} after {SETTLE_S:.0f} s")
    site.promises.check(kill or len(terms) == 1, "one-owner", f"terms {terms}")
    for node in site.nodes:
        site.promises.check(node.is_alive(), "alive", f"{node.name} ended by itself")
    site.kill_nodes()
    await site.stop_stand_ins()
    accepted = sum(job.accepted_at is not None for job in site.jobs.by_id.values())
    print(f"{kind}{' --kill' if kill else ''}: answers {dict(statuses)}, {accepted} jobs accepted, sound job "
          f"{'not ended' if ended is None else f'ended after {ended:.1f} s'}, slowest state {slowest:.2f} s, terms {len(terms)}, broken {len(site.promises.violations)}")
    for _, promise, detail in site.promises.violations[:5]:
        print(f"  BROKEN {promise}: {detail} (logs in {folder})")
    sys.stdout.flush()
    return not site.promises.violations


async def kill_owner(site):
    row = site.store.rows.get(("filbertspar_owner", "0", "owner"))
    name = None if row is None else site.store.decoded(row[0])["vm"]
    for node in site.nodes:
        if node.name == name:
            node.kill()
            await asyncio.sleep(0.5)
            node.start()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("kinds", nargs="*", choices=[[], *KINDS], default=list(KINDS))
    parser.add_argument("--kill", action="store_true")
    parser.add_argument("--slot", type=int, default=24, help="second number of the loopback addresses")
    parser.add_argument("--program", type=pathlib.Path, default=nodes.PROGRAM)
    arguments = parser.parse_args()
    nodes.PROGRAM = arguments.program
    held = 0
    for kind in arguments.kinds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"largest-{kind}-"))
        held += asyncio.run(play(kind, arguments.kill, arguments.slot, folder))
    print(f"{held} passed, {len(arguments.kinds) - held} failed")
    return 0 if held == len(arguments.kinds) else 1


if __name__ == "__main__":
    sys.exit(main())
