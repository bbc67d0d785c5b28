"""Process tests on loopback: real entry, planner and stand-in processes.

No verdict depends on how long something takes; waits end on a condition, with a
bound that only guards against a hang. Prints one line per test and
"N passed, N failed" at the end; a failed test that KNOWN-RED.txt lists is
printed and counts as neither. `--pairs` also runs each pair of worker faults.
"""

import argparse
import itertools
import json
import os
import socket
import subprocess
import sys
import time

import cluster as clusters
from cluster import call, wait_for

WORKER_FAULTS = {
    "down": {"down": True},
    "silent": {"silent": True},
    "fail_all": {"fail_all": True},
    "lapse_leases": {"lapse_leases": True},
    "slow": {"slow_ms": 300},
    "lose_answers": {"lose_answers": 0.5},
    "cross_answers": {"cross_answers": 0.5},
    "truncate_answers": {"truncate_answers": 0.5},
}
PLATFORM_FAULTS = {
    "platform_down": {"down": True},
    "platform_slow": {"slow_ms": 200},
    "platform_silent": {"silent": True},
    "platform_lose_answers": {"lose_answers": 0.5},
}
NO_FAULTS = {"down": False, "silent": False, "slow_ms": 0, "lose_answers": 0}
STREAMS = """
[quotes]
entry = price-quote
team = counter-north
rate = 40
work_ms = 40
deadline_ms = 2000
cancel_at_ms = 700
cancel_share = 0.5

[invoices]
entry = invoice-run
team = billing
rate = 20
work_ms = 40
deadline_ms = 2000
request_keys = true
repeat_share = 0.3
"""


def expect(condition, what):
    if not condition:
        raise AssertionError(what)


def known_red():
    """Names of the tests that may fail: lines "test: NAME" of KNOWN-RED.txt."""
    with open(os.path.join(clusters.ROOT, "KNOWN-RED.txt")) as file:
        return {line.split(":", 1)[1].strip() for line in file if line.startswith("test: ")}


def submit(cluster, entry="entry-1", team="counter-north", job="price-quote", **fields):
    body = {"entry": job, "body": json.dumps({"work_ms": fields.pop("work_ms", 5)})}
    body.update(fields)
    headers = {"x-filbertspar-key": cluster.keys[team]} if team else {}
    return call(cluster.entries[entry]["caller"], "POST", "/v1/jobs", body, headers)


def check_program(cluster, text):
    path = os.path.join(cluster.folder, "bad.ini")
    with open(path, "w") as file:
        file.write(text)
    done = subprocess.run([os.path.join(cluster.build, "programs/filbertspar-entry"),
                           "--settings", path, "--check"], capture_output=True, text=True)
    return done.returncode, done.stderr.strip()


def test_bad_settings(cluster):
    """Guards against settings that are wrong and ignored."""
    with open(os.path.join(cluster.folder, "entry-1.ini")) as file:
        good = file.read()
    expect(check_program(cluster, good)[0] == 0, "good settings are refused")
    code, text = check_program(cluster, good + "colour = red\n")
    expect(code == 3 and "entry.colour: no such key" in text, text)
    code, text = check_program(cluster, good + "max_requests = 0\n")
    expect(code == 3 and "entry.max_requests: expected an integer" in text, text)
    done = subprocess.run([os.path.join(cluster.build, "programs/filbertspar-entry"),
                           "--settings", "/nonexistent.ini"], capture_output=True, text=True)
    expect(done.returncode == 3 and done.stderr.count("\n") == 1, done.stderr)


def test_bad_requests(cluster):
    """Guards against a bad request that harms the process or gets no code."""
    address = cluster.entries["entry-1"]["caller"]
    key = {"x-filbertspar-key": cluster.keys["counter-north"]}
    expect(call(address, "POST", "/v1/jobs", "{", key)[1]["code"] == 200, "bad JSON")
    expect(call(address, "POST", "/v1/jobs", "{\"entri\":1}", key)[1]["code"] == 201, "field")
    big = json.dumps({"entry": "price-quote", "body": "x" * (2 << 20)})
    status, answer = call(address, "POST", "/v1/jobs", big, key)
    expect(status == 413 and answer["code"] == 202, "oversize body: %s" % status)
    expect(submit(cluster, team=None)[1]["code"] == 203, "no key")
    expect(submit(cluster, job="no-such-entry")[1]["code"] in (206, 207), "no entry")
    expect(submit(cluster, team="finance")[1]["code"] == 207, "entry of another team")
    expect(submit(cluster, job="invoice-run", team="billing")[1]["code"] == 218, "request key")
    expect(call(address, "GET", "/healthz")[0] == 200, "the process does not serve any more")


def raw_request(cluster, key):
    body = json.dumps({"entry": "price-quote", "body": "{\"work_ms\":5}"})
    return ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nx-filbertspar-key: %s\r\n"
            "Content-Length: %d\r\nConnection: close\r\n\r\n%s" % (key, len(body), body)).encode()


def read_all(connection):
    data = b""
    while True:
        part = connection.recv(65536)
        if not part:
            return data.decode()
        data += part


def test_slow_and_half_closed_clients(cluster):
    """Guards against clients that stop sending, or close their sending side."""
    host, port = cluster.entries["entry-1"]["caller"].split(":")
    data = raw_request(cluster, cluster.keys["counter-north"])
    with socket.create_connection((host, int(port)), timeout=30) as client:
        client.sendall(data[:-5])
        answer = read_all(client)
        expect("408" in answer.split("\r\n")[0] and '"code":225' in answer, answer)
    with socket.create_connection((host, int(port)), timeout=30) as client:
        client.sendall(data)
        client.shutdown(socket.SHUT_WR)
        answer = read_all(client)
        expect("200" in answer.split("\r\n")[0] and '"code":0' in answer, answer)
    expect(submit(cluster)[1]["code"] == 0, "the process does not serve any more")


def run_load(cluster, name, during=None, duration_ms=1500):
    path = cluster.load_settings(name, duration_ms)
    with open(path) as file:
        head = file.read().split("\n\n")[0]
    with open(path, "w") as file:
        file.write(head + "\n" + STREAMS)
    load = cluster.start_load(path)
    if during:
        during()
    output, _ = load.communicate(timeout=120)
    summary = json.loads(output.strip().splitlines()[-1])
    expect(summary["foreign_answers"] == 0, "an answer was not the caller's own")
    return path.replace(".ini", ".jsonl"), summary


def check_load(cluster, name, during=None, may_lack_answers=False):
    history, summary = run_load(cluster, name, during)
    expect(summary["missing"] == 0 or may_lack_answers, "calls without an answer")
    path, _, _ = cluster.write_history(history, [])
    found = cluster.check_history(path, ["--spread-ms", "4000"])
    expect(not found, "; ".join(found[:5]))


def run_faults(cluster, names):
    workers = [vm for vm in cluster.vms.values() if vm["pool"] in ("quotes", "invoices")]
    for name in names:
        if name in WORKER_FAULTS:
            for worker in workers[::2]:
                cluster.fault(worker["address"], WORKER_FAULTS[name])
        else:
            cluster.fault(cluster.platform, PLATFORM_FAULTS[name])
    try:
        check_load(cluster, "load-" + "-".join(names))
    finally:
        for worker in workers:
            cluster.fault(worker["address"], dict(
                NO_FAULTS, fail_all=False, lapse_leases=False, cross_answers=0,
                truncate_answers=0))
        cluster.fault(cluster.platform, NO_FAULTS)
    wait_for(lambda: all(cluster.admin("GET", "status", entry=e)[1].get("store_reachable")
                         for e in cluster.entries), "store reachable")
    wait_for(lambda: submit(cluster)[1]["code"] == 0, "recovery after " + str(names))


def test_revoked_key(cluster):
    """Guards against a revoked key that goes on working at another entry VM."""
    key = cluster.admin_ok("POST", "keys", {"name": "spare", "team": "counter-north"})["key"]
    header = {"x-filbertspar-key": key}
    body = {"entry": "price-quote", "body": "{\"work_ms\":5}"}
    address = cluster.entries["entry-2"]["caller"]
    wait_for(lambda: call(address, "POST", "/v1/jobs", body, header)[1]["code"] == 0, "key")
    cluster.admin_ok("DELETE", "keys/spare")
    wait_for(lambda: call(address, "POST", "/v1/jobs", body, header)[1]["code"] == 205, "205")


def test_store_outage(cluster):
    """Guards against a store outage that stops work, or that runs a
    non-repeatable request without its claim."""
    cluster.fault(cluster.platform, {"down": True})
    try:
        wait_for(lambda: not any(cluster.admin("GET", "status", entry=e)[1]["store_reachable"]
                                 for e in cluster.entries), "store unreachable")
        # Longer than the freshness bound of 4 s: only peers' reports keep it fresh.
        time.sleep(6)
        codes = [submit(cluster, entry=e)[1]["code"] for e in cluster.entries]
        expect(codes == [0] * len(codes), "codes in the outage: %s" % codes)
        code = submit(cluster, job="invoice-run", team="billing", request_key="outage-1",
                      deadline_ms=3000)[1]["code"]
        expect(code == 217, "invoice run without store: %d" % code)
    finally:
        cluster.fault(cluster.platform, NO_FAULTS)
    wait_for(lambda: submit(cluster, job="invoice-run", team="billing",
                            request_key="outage-2")[1]["code"] == 0, "recovery")


def test_killed_entry(cluster):
    """Guards against a lost entry VM that loses or doubles others' work."""
    check_load(cluster, "load-kill", lambda: (time.sleep(0.7), cluster.processes[
        "entry-3"].kill()), may_lack_answers=True)
    cluster.start_entry("entry-3")
    wait_for(lambda: call(cluster.entries["entry-3"]["caller"], "GET", "/readyz")[0] == 200,
             "entry-3 ready")
    wait_for(lambda: submit(cluster, entry="entry-3")[1]["code"] == 0, "entry-3 serves")


def listed_as(cluster, vm, by):
    """Names under which an entry process lists a VM as live."""
    live = cluster.admin("GET", "peers", entry=by)[1]["live"]
    return [peer["node"] for peer in live if peer["node"].startswith(vm + "#")]


def test_restarted_entry(cluster):
    """Guards against a restarted entry process that its peers take for an earlier one."""
    others = ("entry-1", "entry-2")
    for _ in range(4):
        wait_for(lambda: all(listed_as(cluster, "entry-3", by) for by in others), "entry-3 listed")
        before = listed_as(cluster, "entry-3", "entry-1")
        cluster.processes["entry-3"].terminate()
        expect(cluster.processes["entry-3"].wait(60) == 0, "exit code of entry-3")
        cluster.start_entry("entry-3")
        wait_for(lambda: all(listed_as(cluster, "entry-3", by) not in ([], before) for by in others),
                 "restarted entry-3 listed by " + " and ".join(others))


def test_graceful_stop(cluster):
    """Guards against a stop that cuts off running work."""
    caller = subprocess.Popen(
        ["curl", "-s", "-m", "60", "-H", "x-filbertspar-key: " + cluster.keys["counter-north"],
         "-d", json.dumps({"entry": "price-quote", "body": "{\"work_ms\":1500}"}),
         "http://%s/v1/jobs" % cluster.entries["entry-2"]["caller"]],
        stdout=subprocess.PIPE, text=True)
    try:
        wait_for(lambda: any(u["running"] for u in cluster.admin(
            "GET", "status", entry="entry-2")[1]["uses"]), "running work")
    except RuntimeError as error:
        caller.kill()
        raise AssertionError("%s; the call was answered %r; status of entry-2: %s" % (
            error, caller.communicate()[0], cluster.admin("GET", "status", entry="entry-2")))
    cluster.processes["entry-2"].terminate()
    answer = json.loads(caller.communicate(timeout=60)[0])
    expect(answer["code"] == 0, "running work was answered %s" % answer)
    expect(cluster.processes["entry-2"].wait(60) == 0, "exit code of a graceful stop")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pairs", action="store_true")
    options = parser.parse_args()
    cluster = clusters.Cluster("build/process-test", workers_per_pool=4, entries=3)
    cluster.entry_settings = {"read_time_ms": 500}
    cases = [(t.__name__, t) for t in (
        test_bad_settings, test_bad_requests, test_slow_and_half_closed_clients,
        test_revoked_key, test_store_outage)]
    faults = list(WORKER_FAULTS) + list(PLATFORM_FAULTS)
    sets = [(name,) for name in faults]
    if options.pairs:
        sets += list(itertools.combinations(faults, 2))
    cases += [("test_fault_" + "_and_".join(s), lambda c, s=s: run_faults(c, s)) for s in sets]
    cases += [(t.__name__, t) for t in (test_killed_entry, test_restarted_entry, test_graceful_stop)]
    red = known_red()
    passed, failed = 0, 0
    try:
        cluster.start()
        for name, test in cases:
            try:
                test(cluster)
                passed += 1
                print("passed " + name, flush=True)
            except Exception as error:  # a failed test must not end the others
                if name in red:
                    print("known red: %s: %s" % (name, error), flush=True)
                else:
                    failed += 1
                    print("FAILED %s: %s" % (name, error), flush=True)
    finally:
        cluster.stop()
    print("%d passed, %d failed" % (passed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
