"""Planted violations, each at the edge of the system, to show that its check finds it."""

import asyncio
import time

LONG_AGO_S = 10

BREAKS = {"copy": "one-run", "refusal": "true-refusal", "ceiling": "ceiling", "revoked": "revocation",
          "route": "configuration", "attempts": "attempts", "lost": "kept", "holder": "one-holder",
          "cut": "graceful-stop", "payload": "payload", "crashes": "crashes", "capacity": "capacity", "limits": "store-limits",
          "torn-state": "state-whole", "phantom": "state-own", "early": "state-completed",
          "unfenced": "one-run", "changed": "state-final", "torn-length": "length-whole", "short": "length-low", "long": "length-high",
          "stranger": "state-foreign", "restart": "no-restart", "wave": "wave-ceiling", "longer-lease": "one-run"}
NAMES = sorted(BREAKS)


def judge(plant, site, folder):
    """Prints which promises were broken; whether none was, or with a plant the one that it breaks."""
    broken = {}
    for violation in site.promises.violations:
        broken.setdefault(violation[1], []).append(violation)
    for promise, violations in broken.items():
        at, _, detail = violations[0]
        print(f"  BROKEN {promise}, {len(violations)} times, first: {detail} (at {at - site.began:.1f} s, logs in {folder})")
    return BREAKS[plant] in broken if plant else not broken


def before(plant, site):
    if plant == "ceiling":
        site.config.stated_ceiling_factor = 10
        site.promises.ceilings = {name: 1000 for name in site.config.ceiling_cpu}
    elif plant == "attempts":
        for queue in site.config.queues:
            queue.attempts = 30
    elif plant == "limits":
        site.store.row_bytes = 400
    elif plant == "refusal":
        submitted = site.promises.submitted
        site.promises.submitted = lambda job, outcome: submitted(job, "refused" if outcome == "accepted" else outcome)
    elif plant == "unfenced":
        # Late calls are executed whatever their fencing number.
        site.fences_late = False
        site.restart_gap_s, site.restart_delays, site.restart_calls = 0.15, (1.0, 3.0, 0.1), ("late",)
    elif plant == "longer-lease":
        # Workers go on for longer than their leases.
        site.lease_slack_s = 6.0
    elif plant == "restart":
        # Each task seems to have been started again just before its end was noted.
        noted = site.promises.end_noted

        def end_noted(task, *ended):
            site.promises._started_at[task].append(time.monotonic())
            noted(task, *ended)

        site.promises.end_noted = end_noted
    elif plant == "wave":
        # The platform counts a VM as down that is up.
        site.fleet.ceiling_slack = 10
    elif plant in REWRITES:
        rewrite_answers(site.answers, REWRITES[plant])


# Answers as a caller could have got them: the call whose answers are changed, and how.
REWRITES = {
    # Half of the time, so that the run can see its jobs end.
    "torn-state": ("state", lambda status, answer: (
        status, {"stat": "running"} if time.monotonic() % 1 < 0.5 else answer)),
    "phantom": ("never_sent", lambda status, answer: (200, {"state": "running"})),
    "stranger": ("foreign", lambda status, answer: (200, {"state": "completed"})),
    "early": ("state", lambda status, answer: (status, {"state": "completed"})),
    "changed": ("state", lambda status, answer: (
        status, {"state": "cancelled" if time.monotonic() % 2 < 1 else "failed"})),
    "torn-length": ("length", lambda status, answer: (status, {"pending": -1})),
    "short": ("length", lambda status, answer: (status, {"pending": 0})),
    "long": ("length", lambda status, answer: (status, {"pending": 100_000})),
}


def rewrite_answers(answers, rewrite):
    name, changed = rewrite
    checked = getattr(answers, name)
    setattr(answers, name, lambda *seen: checked(*seen[:-2], *changed(*seen[-2:])))


async def during(plant, site):
    if plant is None:
        return
    await asyncio.sleep(8)
    if plant == "copy":
        for vm in site.fleet.vms.values():
            for run in list(vm.worker.running.values()):
                site.promises.run_started(run.task, run.number + 1, "phantom", vm.pool,
                                           site.jobs.of_task(run.task).spec)
    elif plant == "revoked":
        key = site.config.keys["team-1"][0]
        await site.probe_revoked(key, 0)
    elif plant == "route":
        queue = type(site.config.queues[0])("unknown", "pool-a", 0)
        for node in site.nodes:
            node.calm_since = -1e9
        site.store_calm_since, site.paused_at = -1e9, {}
        await site.probe_queue(queue, time.monotonic() - LONG_AGO_S)
    elif plant == "attempts":
        for _ in range(100):
            for job in site.jobs.by_id.values():
                job.attempts = 1
            await asyncio.sleep(0.1)
    elif plant == "payload":
        for _ in range(100):
            for job in site.jobs.by_id.values():
                job.spec = "another payload"
            await asyncio.sleep(0.1)
    elif plant == "crashes":
        # The workers that a task crashes are counted double and threefold.
        crashed = site.promises.worker_crashed
        site.promises.worker_crashed = lambda task: [crashed(task) for _ in range(3)]
        for job in site.jobs.by_id.values():
            job.crashes_after = 0.1
    elif plant == "capacity":
        for vm in site.fleet.vms.values():
            vm.most_cpu_since = lambda since: 1000
    elif plant == "lost":
        places = [place for place in site.store.rows if place[0] == "filbertspar_jobs"]
        site.store.write([(place, None) for place in places])
        for node in site.nodes:
            node.kill()
        for node in site.nodes:
            node.start()
    elif plant == "holder":
        vm = next(iter(site.fleet.vms))
        site.promises.vm_ordered(vm, "one", 900)
        site.promises.vm_ordered(vm, "two", 900)
    elif plant == "cut":
        site.nodes[0].is_stopping = True
        site.connection_broke(site.nodes[0], "cut in the answer", 0)
        site.nodes[0].is_stopping = False
