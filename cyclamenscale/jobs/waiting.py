"""Logs why jobs wait although their turn has come.

A job that has nothing running may wait for workers, for room, for a ticket,
or for runs of an earlier term to end. The line ``job.waiting`` counts the
workers of its pool by what keeps the job from them.
"""

from collections import Counter
from itertools import islice

from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.steps import StepState

#: A job that has nothing running is reported after this time, and again
#: after each such time.
REPORT_AFTER_S = 2.0

#: Interval of reports, and maximum number of jobs in each.
INTERVAL_S = 0.5
JOBS_PER_REPORT = 3

#: A job can start on a worker, and will in the next pass.
STARTS_NEXT = "none"


class WaitingReport:
    """Reports the oldest jobs that have nothing running.

    :param state: state of the term.
    :param placement: tells what keeps a task from a worker.
    """

    def __init__(self, state: State, placement: Placement):
        """Initialise with no report made."""
        self.state = state
        self.placement = placement
        self.next_report_s = 0.0
        #: When each waiting job was last reported.
        self.reported_s: dict[str, float] = {}

    def run(self, now_s: float) -> None:
        """Report the oldest jobs that are due, if a report is due."""
        if now_s < self.next_report_s:
            return
        self.next_report_s = now_s + INTERVAL_S
        jobs = self.state.jobs
        self.reported_s = {
            job: at_s for job, at_s in self.reported_s.items() if job in jobs
        }
        # Jobs are in the order in which they were added; a backlog is not
        # walked to its end.
        due = (job for job in jobs.values() if self.is_due(job, now_s))
        for job in islice(due, JOBS_PER_REPORT):
            self.reported_s[job.record.id] = now_s
            self.report(job, now_s)

    def is_due(self, job: Job, now_s: float) -> bool:
        """Return whether a job has nothing running and is to be reported."""
        since_s = self.reported_s.get(job.record.id, job.accepted_s)
        return (
            now_s - since_s > REPORT_AFTER_S
            and bool(job.open_steps())
            and not any(task.runs for task in job.tasks())
        )

    def report(self, job: Job, now_s: float) -> None:
        """Log what keeps the first open step of a job from each worker."""
        step = job.open_steps()[0]
        self.state.metrics.incr("jobs.waiting_reports")
        self.state.events.note(
            "job.waiting",
            job=job.record.id,
            pool=job.queue.pool,
            step=step.number,
            tasks=len(step.waiting),
            waited_s=round(now_s - job.accepted_s, 2),
            held_by=self.placement.hold_reason(step, now_s),
            deferred=job.deferred,
            workers=dict(self.count_reasons(step, now_s)),
        )

    def count_reasons(self, step: StepState, now_s: float) -> Counter[str]:
        """Count the workers of a step's pool by what keeps it from them."""
        pool = step.job.queue.pool
        return Counter(
            self.placement.obstacle(step, worker, now_s) or STARTS_NEXT
            for worker in self.state.workers.values()
            if worker.record.pool == pool
        )
