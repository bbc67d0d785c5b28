"""Runs work of several teams through a cluster with a surge, a key revocation
and a drain, and checks what came out."""

import argparse
import json
import os
import signal
import sys
import threading
import time

import cluster as clusters


def parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hold", action="store_true",
                        help="keep the cluster until interrupted")
    parser.add_argument("--profile", default="flowline", choices=["flowline", "agency"])
    parser.add_argument("--duration-ms", type=int, default=9000)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def write_endpoints(cluster):
    path = os.path.join(cluster.folder, "endpoints.ini")
    with open(path, "w") as file:
        file.write("[platform]\nurl = http://%s\n" % cluster.platform)
        for name, entry in cluster.entries.items():
            file.write("[%s]\nurl = http://%s\nadmin = http://%s\nzone = %s\n" % (
                name, entry["caller"], entry["admin"], entry["zone"]))
        file.write("[operator]\nkey = %s\n[keys]\n" % cluster.operator_key)
        for team, key in cluster.keys.items():
            file.write("%s = %s\n" % (team, key))
    return path


def hold(cluster):
    print("endpoints: " + write_endpoints(cluster), flush=True)
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    stop.wait()


def check(cluster, summary, revoked):
    """Faults found in what callers saw and in what workers did."""
    faults = []
    if summary["missing"] or summary["foreign_answers"]:
        faults.append("%d calls without an answer, %d answers not the caller's own" % (
            summary["missing"], summary["foreign_answers"]))
    path, _, cut_off = cluster.write_history(
        os.path.join(cluster.folder, "load.jsonl"), [{
            "event": "key_revoked", "team": revoked["team"],
            "key": revoked["team"] + "-1", "time_us": revoked["time_us"]}])
    if cut_off:
        faults.append("a reboot cut off %d tasks" % cut_off)
    return faults + cluster.check_history(path)


def print_shares(cluster, events):
    ends = {}
    time_by_team = {}
    for event in events:
        if event["event"] == "end":
            ends[event["attempt"]] = event["time_us"]
    for event in events:
        if event["event"] == "start" and event["attempt"] in ends:
            used = ends[event["attempt"]] - event["time_us"]
            time_by_team[event["team"]] = time_by_team.get(event["team"], 0) + used
    total = sum(time_by_team.values()) or 1
    for team in cluster.catalogue["teams"]:
        used = time_by_team.get(team["name"], 0)
        print("  share %-20s weight %-4s slot seconds %8.1f  %5.1f%%" % (
            team["name"], team["weight"], used / 1e6, 100.0 * used / total))


def run(cluster, options):
    settings = cluster.load_settings("load", options.duration_ms)
    load = cluster.start_load(settings)
    time.sleep(options.duration_ms / 1000 * 0.6)
    team = cluster.catalogue["teams"][1]["name"]
    answer = cluster.admin_ok("DELETE", "keys/%s-1" % team, entry="entry-2")
    revoked = {"team": team, "time_us": int(time.time() * 1e6)}
    print("revoked the key of %s in version %d" % (team, answer["version"]))
    drained = next(iter(cluster.vms))
    cluster.admin_ok("POST", "drains/" + drained, {"purpose": "hold"}, entry="entry-3")
    maintained = list(cluster.vms)[-1]
    cluster.admin_ok("POST", "drains/" + maintained, {}, entry="entry-1")
    drain_us = int(time.time() * 1e6)
    print("drained %s for good and %s for maintenance" % (drained, maintained))
    output, _ = load.communicate()
    summary = json.loads(output.strip().splitlines()[-1])
    faults = check(cluster, summary, revoked)
    events, _ = cluster.worker_history()
    late = [e for e in events if e["worker"] == drained and e["event"] == "start"
            and e["time_us"] > drain_us + 3_000_000]
    if late:
        faults.append("%d tasks started at %s after its drain" % (len(late), drained))
    print("submitted %(submitted)d, ended %(ended)d, missing %(missing)d" % summary)
    for outcome, count in sorted(summary["outcomes"].items()):
        print("  %-8s %d" % (outcome, count))
    refused = sum(n for c, n in summary["codes"].items() if 200 <= int(c) < 300)
    print("answered %d, refused %d, unknown %d" % (
        summary["codes"].get("0", 0), refused, summary["outcomes"].get("unknown", 0)))
    print("codes %s, p50 %d us, p99 %d us" % (
        json.dumps(summary["codes"]), summary["p50_us"], summary["p99_us"]))
    print_shares(cluster, events)
    return faults


def main():
    options = parse()
    cluster = clusters.Cluster("build/demo", options.profile, seed=options.seed)
    faults = []
    try:
        cluster.start()
        print("cluster of %d entry processes and %d workers is up" % (
            len(cluster.entries), len(cluster.vms)), flush=True)
        if options.hold:
            hold(cluster)
        else:
            faults = run(cluster, options)
    finally:
        codes = cluster.stop()
    faults += ["%s ended with exit code %d" % (n, c) for n, c in codes.items() if c]
    for fault in faults:
        print("FAULT: " + fault)
    if not options.hold:
        print("everything held" if not faults else "%d faults" % len(faults))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
