"""The store turns the owner away, then answers nobody for some seconds, then is
back while a claim of the ownership waits for its answer."""

import asyncio
import pathlib
import time

from rig import config, main, route, service
from worker import Worker

LEAST_SILENCE_S = 4.6
MOST_SILENCE_S = 6.3
WORKERS = 8
SLOW_ANSWER_S = 0.14
SLOW_FOR_S = 4.0
CASE = pathlib.Path(__file__).resolve().parent


class Outage:
    """What the store does with calls of the system from the outage on."""

    def __init__(self, rig, owner):
        self.rig = rig
        self.owner = owner
        self.silent_since = None
        self.is_over = False

    def is_claim(self, node, kind, body):
        return kind == "rows-tx" and node != self.owner and any(
            entry["table"] == "filbertspar_owner" for entry in body["set_keys"])

    def gate(self, node, kind, body):
        now = time.monotonic()
        if self.is_over:
            return None
        if self.silent_since is None:
            if self.is_claim(node, kind, body):
                self.silent_since = now
                self.rig.record("store", state="silent", dropped_claim_of=node)
                return "silent"
            return "busy" if node == self.owner else None
        silence = now - self.silent_since
        if silence > MOST_SILENCE_S or (
                silence > LEAST_SILENCE_S and self.is_claim(node, kind, body)):
            self.is_over = True
            self.rig.record("store", state="back", after_s=round(silence, 2),
                            first_answer=f"{node} {kind}")
            return None
        return "silent"


async def run(rig):
    rig.configure(config([route("r-jobs", "/jobs/", "pool")], [service("pool")]))
    await rig.start_cloud()
    for i in range(WORKERS):
        worker = Worker(f"w{i:02}", "pool", rig.store, "127.0.0.1", rig.record,
                        lambda task: 40.0, rack=f"r1-{i % 5}")
        rig.workers.append(await worker.start())
    for i in range(3):
        await rig.add_node(f"n{i}", f"z{i}")
    for node in rig.nodes:
        if not await rig.until_ready(node):
            return None
    # Workers that have only just started are waited for longer.
    await asyncio.sleep(22.0)
    owner = rig.owner()
    rig.record("owner", vm=owner)
    status, _ = await rig.submit(
        rig.node(owner), "/jobs/00000000000000a1",
        {"spec": "x", "steps": [{"count": 12, "cpu": 7000, "mem_mb": 64,
                                 "est_duration_ms": 40000, "anti_affinity": 2}]})
    if status != 200:
        return None
    if not await rig.until(lambda: len(rig.starts()) == 12):
        return None
    await asyncio.sleep(3.0)

    if rig.trouble:
        outage = Outage(rig, owner)
        rig.record("store", state=f"turns {owner} away")
        rig.store.gate = outage.gate
        if not await rig.until(lambda: outage.silent_since is not None, 10):
            return None
        await asyncio.sleep(LEAST_SILENCE_S - 1)
        rig.workers[0].answer_delay_s = SLOW_ANSWER_S
        rig.record("slow", worker=rig.workers[0].name)
        slow_until = time.monotonic() + SLOW_FOR_S
        if not await rig.until(lambda: outage.is_over, 10):
            return None
        await asyncio.sleep(max(0, slow_until - time.monotonic()))
        rig.workers[0].answer_delay_s = 0.0
    await asyncio.sleep(10.0)
    broken = rig.twice()
    for at, why, start, others in broken:
        rig.record("TWICE", at=round(at, 3), why=why, **start, others=others)
    rig.record("result", owner=rig.owner(), starts=len(rig.starts()), breaches=len(broken))
    return not broken


main(CASE, run)
