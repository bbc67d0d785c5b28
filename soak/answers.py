"""What GET answers must show, checked against what callers and workers have seen by themselves."""

import time

STATES = ("queued", "running", "completed", "failed", "cancelled")
FINAL_STATES = ("completed", "failed", "cancelled")
# The protocol allows the length of a queue to be this old.
LENGTH_AGE_S = 2.0


class Answers:
    def __init__(self, promises, jobs):
        self._promises, self._jobs = promises, jobs
        # Job -> final state, and when a caller first had it.
        self._finals = {}

    def state(self, job, sent_at, status, answer):
        """An answer about a job that was sent. Returns the state, or the status of an error."""
        if status != 200:
            return status
        check = self._promises.check
        state = answer.get("state") if isinstance(answer, dict) else None
        check(state in STATES, "state-whole", f"{job.id}: {str(answer)[:200]}")
        if state not in STATES:
            return status
        final, shown_at = self._finals.get(job.id, (state, sent_at))
        overlaps = sent_at < shown_at and state not in FINAL_STATES
        check(state == final or overlaps, "state-final", f"{job.id} is {state}, it was {final}")
        if state in FINAL_STATES:
            self._finals.setdefault(job.id, (state, time.monotonic()))
        if state == "completed":
            done = len(self._promises.done_tasks[job.id])
            check(done == job.tasks(), "state-completed",
                  f"{job.id} is completed, {done} of {job.tasks()} tasks have ended done")
        check(state != "cancelled" or job.is_cancelled, "state-own", f"{job.id} is cancelled, by nobody")
        return state

    def never_sent(self, job_id, status, answer):
        self._promises.check(status in (0, 410) or status >= 400, "state-own",
                             f"{job_id} was never sent: {status} {str(answer)[:200]}")

    def foreign(self, job, queue, method, status, answer):
        """An answer about an accepted job's id under another queue."""
        self._promises.check(not 200 <= status < 300, "state-foreign",
                             f"{method} {job.id} of {job.queue.name} under {queue.name}: {status} {str(answer)[:200]}")

    def length(self, queue, node, sent_at, status, answer):
        if status != 200:
            return
        check = self._promises.check
        pending = answer.get("pending") if isinstance(answer, dict) else None
        whole = type(pending) is int and pending >= 0
        check(whole, "length-whole", f"{queue.name} at {node.name}: {str(answer)[:200]}")
        if not whole:
            return
        as_of = sent_at - LENGTH_AGE_S
        jobs = [job for job in self._jobs.by_id.values() if job.queue.name == queue.name]
        least = [job for job in jobs if self._must_wait(job, as_of)]
        most = sum(self._may_wait(job, as_of) for job in jobs)
        oldest_s = sent_at - min((job.accepted_at for job in least), default=sent_at)
        check(pending >= len(least), "length-low",
              f"{queue.name} at {node.name}: {pending} wait, {len(least)} have begun nothing, "
              f"accepted up to {oldest_s:.1f} s before: {' '.join(job.id for job in least[:5])}")
        check(pending <= most, "length-high", f"{queue.name} at {node.name}: {pending} wait, at most {most} can")

    def _must_wait(self, job, as_of):
        """Accepted before `as_of`; nobody has cancelled it and no worker has begun it up to now."""
        return (not job.times and job.accepted_at is not None and job.accepted_at < as_of and
                not job.is_cancelled and job.id not in self._promises.began_at)

    def _may_wait(self, job, as_of):
        """Perhaps accepted up to now; false once an owner had noted an end of it, or shown its final
        state, before `as_of`: each later owner reads that from the store. A run that only its worker
        knows does not count, a new owner has yet to learn of it."""
        noted_at = self._promises.first_noted_at.get(job.id)
        _, final_at = self._finals.get(job.id, (None, None))
        return not (self._promises.was_refused(job.id) or (noted_at is not None and noted_at < as_of) or
                    (final_at is not None and final_at < as_of))
