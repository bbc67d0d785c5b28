"""Faults that the soak injects from outside, in series that overlap."""

import asyncio
import signal
import time


async def kill(site, rng):
    node = rng.choice(site.nodes)
    node.kill()
    await asyncio.sleep(rng.uniform(0.3, 2))
    if not node.is_alive():
        node.start()


async def kill_all(site, rng):
    for node in site.nodes:
        node.kill()
    await asyncio.sleep(rng.uniform(0.5, 1.5))
    for node in site.nodes:
        if not node.is_alive():
            node.start()


async def stop(site, rng):
    node = rng.choice(site.nodes)
    if not node.is_listening():
        return
    in_time = await node.stop()
    site.promises.check(in_time or node.was_paused_lately(site), "graceful-stop", f"{node.name} did not end in time")
    node.start()


async def pause(site, rng):
    node = rng.choice(site.nodes)
    if not node.is_listening():
        return
    node.is_paused = True
    node.signal(signal.SIGSTOP)
    site.paused_at[node.name] = time.monotonic()
    await asyncio.sleep(rng.uniform(0.5, 6))
    node.signal(signal.SIGCONT)
    node.is_paused = False
    site.paused_at[node.name] = time.monotonic()


async def reload(site, rng):
    rng.choice(site.nodes).signal(signal.SIGHUP)


async def cut_from_store(site, rng):
    node = rng.choice(site.nodes)
    node.store_path.set_mode(rng.choice(["silent", "reset", "one_way", "delay"]))
    await asyncio.sleep(rng.uniform(1, 6))
    node.store_path.set_mode("open")
    node.store_path.drop()
    node.calm_since = time.monotonic()


async def harm_store(site, rng):
    if site.store.fault is not None:
        return
    site.store.fault = rng.choice(["down", "silent", "slow", "lost", "rejects"])
    await asyncio.sleep(rng.uniform(1, 5))
    site.store.fault = None
    site.store_calm_since = time.monotonic()


async def forget_history(site, rng):
    site.store.forget_history()


async def harm_worker(site, rng):
    worker = rng.choice([vm.worker for vm in site.fleet.vms.values()])
    fault = rng.choice(["cut", "lose_answers", "fail_all", "late"])
    worker.faults.add(fault)
    await asyncio.sleep(rng.uniform(1, 8))
    worker.faults.discard(fault)


async def crash_worker(site, rng):
    vm = rng.choice([vm for vm in site.fleet.vms.values() if vm.state == "up"])
    vm.state = "down"
    vm.worker.end()
    vm.worker.unregister()
    await asyncio.sleep(rng.uniform(0.5, 2))
    vm.state = "up"
    await site.new_worker(vm)


async def restart_worker(site, rng):
    """A worker loses its power, starts again under its id and is cut off soon after."""
    worker = site.worker_to_restart(rng)
    off_s, on_s, cut_s = (rng.uniform(*limits) for limits in zip(site.restart_shortest, site.restart_delays))
    calls = rng.choice(site.restart_calls)
    for _ in range(site.restarts_in_a_row):
        site.note(f"{worker.name} is to lose its power, calls {calls}")
        if not (await worker.lose_power_at(site.restart_moment, calls) if site.restart_moment
                else worker.lose_power(calls)):
            return
        await asyncio.sleep(off_s)
        if not worker.boot():
            return
        site.note(f"{worker.name} has started again")
        await asyncio.sleep(on_s)
    worker.faults.add("cut")
    await asyncio.sleep(cut_s)
    worker.faults.discard("cut")


async def shrink_worker(site, rng):
    vm = rng.choice(list(site.fleet.vms.values()))
    whole = vm.capacity["cpu"]
    vm.set_cpu(rng.randrange(1000, whole, 1000) if whole > 1000 else whole)
    await asyncio.sleep(rng.uniform(2, 10))
    vm.set_cpu(whole)


async def revoke_key(site, rng):
    await site.revoke(rng.choice(sorted(site.config.keys)))


async def add_queue(site, rng):
    await site.add_queue()


async def wave(site, rng):
    await site.ask_for_wave([vm.name for vm in site.fleet.vms.values() if rng.random() < 0.4])


ALL = [kill, kill_all, stop, pause, reload, cut_from_store, harm_store, forget_history, harm_worker,
       crash_worker, shrink_worker, revoke_key, add_queue, wave]


async def kill_owner_in_wave(site, rng):
    """Kills the owner just after it has taken a VM down."""
    site.fleet.upkeep_began.clear()
    await site.ask_for_wave([vm.name for vm in site.fleet.vms.values() if rng.random() < 0.5])
    try:
        await asyncio.wait_for(site.fleet.upkeep_began.wait(), 6)
    except asyncio.TimeoutError:
        return
    await asyncio.sleep(rng.uniform(0, 0.4))
    node = site.owner()
    if node is not None and node.is_alive():
        node.kill()
        await asyncio.sleep(rng.uniform(0.3, 1))
        if not node.is_alive():
            node.start()


async def kill_all_amid_ends(site, rng):
    """Kills all nodes while workers hold more ends than one answer lists."""
    job = await site.submit_wide_job(rng)
    if job is None:
        return
    deadline = time.monotonic() + 8
    while time.monotonic() < deadline and not site.promises.done_tasks[job.id]:
        await asyncio.sleep(0.02)
    await kill_all(site, rng)
    site.note(f"ends that nobody has read: {[len(vm.worker.unread()) for vm in site.fleet.vms.values()]}")


async def restart_workers(site, rng, until):
    """Restarts beside the other faults. Returns how often they came."""
    under_way = []
    while time.monotonic() < until:
        await asyncio.sleep(rng.expovariate(1 / site.restart_gap_s))
        site.note("fault restart_worker")
        under_way.append(asyncio.ensure_future(restart_worker(site, rng)))
    await asyncio.gather(*under_way)
    return {"restart_worker": len(under_way)}


async def inject(site, rng, until, mean_gap_s):
    """Starts faults at random times; each runs beside the others. Returns how often each came."""
    counts = {}
    under_way = []
    while time.monotonic() < until:
        await asyncio.sleep(rng.expovariate(1 / mean_gap_s))
        fault = rng.choice(ALL)
        counts[fault.__name__] = counts.get(fault.__name__, 0) + 1
        site.note(f"fault {fault.__name__}")
        under_way.append(asyncio.ensure_future(fault(site, rng)))
    await asyncio.gather(*under_way)
    return counts
