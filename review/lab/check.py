"""What callers, workers and the platform have seen, written to record.txt, and the rules that a case checks."""

import time


class Check:
    def __init__(self, lab):
        self._lab = lab
        self.running = {}
        self.done_noted = {}
        self.broken = []
        self.starts = 0
        self.last_worker = None
        self.stops = 0

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self._lab.note(f"BROKEN {rule}: {text}")

    def run_started(self, run, worker):
        self.starts += 1
        self.last_worker = worker
        self._lab.note(f"run {run.task} {run.number} starts on {worker.name}")
        others = self.running.setdefault(run.task, {})
        if others:
            self.break_rule("TWICE", f"{run.task} run {run.number} starts on {worker.name} while it runs as "
                            + ", ".join(f"run {number} on {name}" for number, name in others))
        if run.task in self.done_noted:
            self.break_rule("TWICE", f"{run.task} run {run.number} starts on {worker.name} after {self.done_noted[run.task]}")
        others[(run.number, worker.name)] = time.monotonic()

    def run_ended(self, run, worker, how):
        self._lab.note(f"run {run.task} {run.number} on {worker.name} ends: {how}")
        self.running.get(run.task, {}).pop((run.number, worker.name), None)

    def end_noted(self, end, worker, cursor):
        if end[3] == "done":
            self.done_noted.setdefault(end[1], f"run {end[2]} had ended done on {worker.name}, which ack_cursor {cursor} took note of")

    def stop_ordered(self, run, worker):
        self.stops += 1
        self._lab.note(f"run {run.task} {run.number} on {worker.name} is ordered to stop")
