"""Clients that break the protocol or its limits, against a real filbertspar-node on loopback.

One process a test, with a low memory setting and a low descriptor limit. Each test checks that the process
lives, that its peak memory and its open descriptors stay under the bounds, and that one ordinary submission is
answered while the hostile connections are still open. No verdict depends on how long something takes. Prints
one line per test and "N passed, N failed" at the end; a failed test that KNOWN-RED.txt lists is printed and
counts as neither.

python3 scripts/hostile_test.py [NAME ...] [--program PATH]
"""

import argparse
import asyncio
import os
import pathlib
import random
import resource
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
os.chdir(ROOT)

from process_test import known_red
from soak import nodes
from soak.callers import Caller, Job
from soak.site import Site

# The crowd, and what each of its members sends at most.
CLIENTS = 12
BYTES_PER_CLIENT = 16 << 20
# Memory of the process, as its settings say; the bound of its peak.
MEMORY_MB = 48
# Limit of the process's open files; the bound of those that are open.
DESCRIPTORS = 256
# More clients than the process may have descriptors, and than it may hold in memory with a body half sent.
MANY_CLIENTS = 400
HALF_BODY = 200_000
# Guard against a hang of the test itself.
HANG_S = 60.0

HEAD = b"POST /fast/0123456789abcdef HTTP/1.1\r\nHost: fast.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 64 << 10


def repeated(text):
    return text * max(1, BLOCK // len(text))


def frame_length(length):
    return length.to_bytes(4, "big")


# What is sent once, and what follows without end.
ENDLESS = {
    "endless_trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", repeated(b"a: b\r\n")),
    "one_endless_trailer": (CHUNKED + b"1\r\nx\r\n0\r\na: ", repeated(b"b")),
    "endless_chunk_extension": (CHUNKED + b"1;a=", repeated(b"b")),
    "endless_chunked_body": (CHUNKED, b"%x\r\n" % BLOCK + b"x" * BLOCK + b"\r\n"),
    "tiny_chunks": (CHUNKED, repeated(b"1;a=b\r\nx\r\n")),
    "announced_body": (HEAD + b"Content-Length: 4000000000\r\n\r\n", repeated(b"x")),
    "endless_head": (HEAD, repeated(b"a: b\r\n")),
    "one_endless_header": (HEAD + b"a: ", repeated(b"b")),
    "endless_target": (b"GET /", repeated(b"x")),
    "empty_lines": (b"", repeated(b"\r\n")),
    "pipelined_calls": (b"", repeated(HEAD + b"Content-Length: 2\r\n\r\n{}")),
}


async def connect(site, port):
    return await asyncio.open_connection(site.nodes[0].ip, port)


async def send_without_end(site, port, begin, rest):
    """Sends until the bound, or until the process closes or no longer reads. Never reads an answer."""
    reader, writer = await connect(site, port)
    try:
        writer.write(begin)
        for _ in range(BYTES_PER_CLIENT // len(rest)):
            writer.write(rest)
            await asyncio.wait_for(writer.drain(), 2)
    except (OSError, asyncio.TimeoutError):
        pass
    return writer


async def send_once(site, port, text):
    reader, writer = await connect(site, port)
    try:
        writer.write(text)
        await asyncio.wait_for(writer.drain(), 2)
    except (OSError, asyncio.TimeoutError):
        pass
    return writer


async def crowd(count, member):
    results = await asyncio.gather(*[member() for _ in range(count)], return_exceptions=True)
    return [result for result in results if not isinstance(result, Exception)]


def endless(name):
    begin, rest = ENDLESS[name]
    return lambda site: crowd(CLIENTS, lambda: send_without_end(site, 8340, begin, rest))


def half_bodies(site):
    text = HEAD + b"Content-Length: 262144\r\n\r\n" + b"x" * HALF_BODY
    return crowd(MANY_CLIENTS, lambda: send_once(site, 8340, text))


def idle_connections(site):
    return crowd(MANY_CLIENTS, lambda: send_once(site, 8340, b""))


def idle_links(site):
    return crowd(MANY_CLIENTS, lambda: send_once(site, 7000, b""))


def large_frames(site):
    return crowd(CLIENTS, lambda: send_without_end(site, 7000, frame_length(4_000_000_000), repeated(b"x")))


def unfinished_frames(site):
    return crowd(MANY_CLIENTS, lambda: send_once(site, 7000, frame_length(4000) + b"x" * 2000))


async def metrics_and_ready(site):
    """The ready and the metrics address read by the same code."""
    begin, rest = ENDLESS["endless_trailers"]
    opened = []
    for port in (8343, 9464):
        opened += await crowd(CLIENTS, lambda: send_without_end(site, port, begin, rest))
    return opened


async def all_kinds(site):
    kinds = [endless(name)(site) for name in ENDLESS] + [half_bodies(site), large_frames(site)]
    return [writer for opened in await asyncio.gather(*kinds) for writer in opened]


TESTS = {name: endless(name) for name in ENDLESS} | {
    "half_bodies": half_bodies,
    "idle_connections": idle_connections,
    "idle_links": idle_links,
    "large_frames": large_frames,
    "unfinished_frames": unfinished_frames,
    "metrics_and_ready": metrics_and_ready,
    "all_kinds": all_kinds,
}


def peak_memory_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(text.split("VmHWM:")[1].split()[0]) / 1024


def open_descriptors(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


async def submit(site):
    """Submits one job, as a caller that repeats calls which were refused or not answered."""
    caller = Caller(site, "team-1", 0.5)
    queue = site.config.queues[0]
    job = Job(site.next_number(), queue, "team-1", random.Random(1))
    site.jobs.by_id[job.id] = job
    until = time.monotonic() + HANG_S / 2
    while time.monotonic() < until:
        status, _ = await caller.call(site.nodes[0], "POST", queue.prefix + job.id, queue.host,
                                      site.config.keys["team-1"][0], job.body())
        if status == 200:
            return True
        await asyncio.sleep(0.1)
    return False


async def watch(site, seen, stopped):
    while not stopped.is_set() and site.nodes[0].is_alive():
        seen["descriptors"] = max(seen["descriptors"], open_descriptors(site.nodes[0].process))
        seen["memory_mb"] = peak_memory_mb(site.nodes[0].process)
        await asyncio.sleep(0.05)


async def play(test, folder, slot):
    site = Site(1, folder, slot, nodes=1, vms=3)
    settings = folder / "node-0.ini"
    settings.write_text(settings.read_text().replace("[store]", f"memory_mb = {MEMORY_MB}\n\n[store]", 1))
    seen, stopped = {"descriptors": 0, "memory_mb": 0.0}, asyncio.Event()
    opened = []
    try:
        await site.start()
        process = site.nodes[0].process
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
        assert await submit(site), "not answered before the hostile clients came"
        watcher = asyncio.ensure_future(watch(site, seen, stopped))
        opened = await test(site)
        answered = await submit(site)
        stopped.set()
        await watcher
        assert process.poll() is None, f"the process ended with {process.poll()}, {seen}"
        assert seen["memory_mb"] <= MEMORY_MB, f"peak memory {seen['memory_mb']:.0f} MB, bound {MEMORY_MB}"
        assert seen["descriptors"] <= DESCRIPTORS, f"{seen['descriptors']} descriptors"
        assert answered, f"no answer to an ordinary caller, {seen}"
    finally:
        stopped.set()
        for writer in opened:
            writer.transport.abort()
        site.kill_nodes()
        await site.store.server.stop()
        await site.fleet.server.stop()
    return seen


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("names", nargs="*", choices=[[], *TESTS], help="tests to run; all without a name")
    parser.add_argument("--program", type=pathlib.Path, default=nodes.PROGRAM)
    arguments = parser.parse_args()
    nodes.PROGRAM = arguments.program
    # The crowd needs descriptors of its own.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    passed, failed, red = 0, 0, known_red()
    for slot, name in enumerate(arguments.names or TESTS):
        with tempfile.TemporaryDirectory() as folder:
            try:
                seen = asyncio.run(asyncio.wait_for(play(TESTS[name], pathlib.Path(folder), 40 + slot), 2 * HANG_S))
            except Exception as error:
                if f"hostile_{name}" in red:
                    print(f"known red: hostile_{name}: {error}")
                    continue
                failed += 1
                print(f"FAILED hostile_{name}: {type(error).__name__} {error}")
                continue
            passed += 1
            print(f"ok hostile_{name}: {seen['memory_mb']:.0f} MB, {seen['descriptors']} descriptors")
        sys.stdout.flush()
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
