"""Runs the examples of the documentation against a small cluster.

    scripts/check_api_docs.py [PAGE...]

A block "http" is a request; the block "answer" after it holds the status and
the body to expect. A block "console" holds commands ("$ ...") and the output
to expect. In an expectation "..." stands for any text, a JSON object may leave
fields out and a list that ends with "..." may leave items out. <NAME> takes
the value found there and stands for it from then on. Every page gets a cluster
of its own.
"""

import argparse
import glob
import json
import os
import re
import shutil
import subprocess
import sys

import cluster as clusters

PAGES = ["docs/api.md", "docs/operators/*.md"]
COMMAND_GUARD_S = 120


def blocks(path):
    """(line number, language, text) of each fenced block."""
    found, language, start, lines = [], None, 0, []
    with open(path) as file:
        for number, line in enumerate(file, 1):
            if not line.startswith("```"):
                lines.append(line)
            elif language is None:
                language, start, lines = line[3:].strip(), number, []
            else:
                found.append((start, language, "".join(lines)))
                language = None
    return found


class Page:
    """Runs one page; collects faults as text."""

    def __init__(self, path, cluster):
        self.path, self.cluster = path, cluster
        self.faults, self.ran = [], 0
        first = next(iter(cluster.entries.values()))
        self.first = first
        self.names = {
            "OPERATOR_KEY": cluster.operator_key,
            "NORTH_KEY": cluster.keys["counter-north"],
            "BILLING_KEY": cluster.keys["billing"],
            "ADMIN": first["admin"], "CALLER": first["caller"],
            "PLATFORM": cluster.platform,
            "WORKER": next(iter(cluster.vms.values()))["address"],
        }
        self.folder = os.path.join(cluster.folder, "shell")
        shutil.rmtree(self.folder, ignore_errors=True)
        os.makedirs(self.folder)
        with open(os.path.join(self.folder, "operator.key"), "w") as file:
            file.write(cluster.operator_key + "\n")
        self.environment = dict(
            os.environ, PATH=os.path.join(cluster.build, "programs") + ":" + os.environ["PATH"],
            FILBERTSPAR_ADDRESSES=",".join(e["admin"] for e in cluster.entries.values()),
            FILBERTSPAR_OPERATOR_KEY=cluster.operator_key,
            CALLER=first["caller"], PLATFORM=cluster.platform,
            ENTRY_PID=str(cluster.processes["entry-1"].pid),
            ENTRY_SETTINGS=os.path.join(cluster.folder, "entry-1.ini"))

    def fill(self, text):
        return re.sub(r"<([A-Z_]+)>", lambda m: self.names.get(m[1], m[0]), text)

    def fault(self, line, text):
        self.faults.append("%s:%d: %s" % (self.path, line, text))

    def matches_text(self, expected, found):
        pattern, names = "", []
        for part in re.split(r"(\.\.\.|<[A-Z_]+>)", self.fill(expected)):
            name = re.fullmatch(r"<([A-Z_]+)>", part)
            if name:
                pattern += "(.+?)"
                names.append(name[1])
            else:
                pattern += ".*" if part == "..." else re.escape(part)
        match = re.fullmatch(pattern, found)
        if match:
            self.names.update(zip(names, match.groups()))
        return match is not None

    def matches(self, expected, found):
        if isinstance(expected, str):
            return expected == "..." or (
                isinstance(found, str) and self.matches_text(expected, found))
        if isinstance(expected, dict):
            return isinstance(found, dict) and all(
                k in found and self.matches(v, found[k]) for k, v in expected.items())
        if isinstance(expected, list):
            if not isinstance(found, list):
                return False
            if expected and expected[-1] == "...":
                return all(any(self.matches(e, f) for f in found) for e in expected[:-1])
            return len(expected) == len(found) and all(map(self.matches, expected, found))
        return expected == found and isinstance(expected, bool) == isinstance(found, bool)

    def lines_match(self, expected, found):
        """Lines in order; a line "..." stands for any number of lines."""
        if not expected:
            return not found
        if expected[0].strip() == "...":
            return any(self.lines_match(expected[1:], found[i:])
                       for i in range(len(found) + 1))
        return bool(found) and self.matches_text(expected[0].rstrip(), found[0].rstrip()) \
            and self.lines_match(expected[1:], found[1:])

    def http(self, line, text, expected_line, expected):
        head, _, body = self.fill(text).partition("\n\n")
        method, path = head.splitlines()[0].split(" ", 1)
        headers = dict(h.split(": ", 1) for h in head.splitlines()[1:])
        address = self.first["admin" if path.startswith("/admin/") else "caller"]
        status, answer = clusters.call(address, method, path, body.strip() or None, headers)
        want_status, _, want = expected.partition("\n")
        good = int(want_status) == status
        if good and isinstance(answer, str):
            good = self.lines_match(want.strip().splitlines(), answer.strip().splitlines())
        elif good:
            good = self.matches(json.loads(want), answer)
        if not good:
            shown = answer if isinstance(answer, str) else json.dumps(answer)
            self.fault(expected_line, "%s %s answered %d %s" % (method, path, status, shown))

    def console(self, line, text):
        command, expected, number = None, [], line
        for offset, row in enumerate(text.splitlines() + ["$ "], 1):
            if row.startswith("$ "):
                if command:
                    self.command(number, command, expected)
                command, expected, number = row[2:], [], line + offset
            elif command and command.endswith("\\"):
                command += "\n" + row
            else:
                expected.append(row)

    def command(self, line, command, expected):
        result = subprocess.run(
            ["bash", "-c", self.fill(command)], cwd=self.folder, env=self.environment,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            timeout=COMMAND_GUARD_S)
        if not self.lines_match(expected, result.stdout.splitlines()):
            self.fault(line, "%s\nprinted:\n%s" % (command, result.stdout))

    def run(self):
        pending = None
        for line, language, text in blocks(self.path):
            if language == "answer":
                if pending is None:
                    self.fault(line, "an answer without a request")
                else:
                    self.http(*pending, line, text)
                    self.ran += 1
                pending = None
            elif language == "http":
                pending = (line, text)
            elif language == "console":
                self.console(line, text)
                self.ran += 1


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("pages", nargs="*")
    parser.add_argument("--build", default="build/release")
    options = parser.parse_args()
    os.chdir(clusters.ROOT)
    pages = options.pages or [p for pattern in PAGES for p in sorted(glob.glob(pattern))]
    faults, ran = [], 0
    for path in pages:
        if not any(language in ("console", "answer") for _, language, _ in blocks(path)):
            continue
        cluster = clusters.Cluster("build/docs", workers_per_pool=2, entries=2,
                                   build=options.build)
        try:
            cluster.start()
            page = Page(path, cluster)
            page.run()
            faults += page.faults
            ran += page.ran
            print("%s: %d examples, %d faults" % (path, page.ran, len(page.faults)),
                  flush=True)
        finally:
            cluster.stop()
    for fault in faults:
        print("FAULT: " + fault)
    print("%d examples of %d pages, %d faults" % (ran, len(pages), len(faults)))
    return 1 if faults or not ran else 0


if __name__ == "__main__":
    sys.exit(main())
