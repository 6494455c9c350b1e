"""Tells workers that fail every task from jobs that fail on every worker.

Pure. A worker is suspect if tasks of several jobs of several teams failed on
it and none succeeded since; a job is bad if it failed on several workers
that are not suspect.
"""

from typing import NamedTuple

#: Distinct jobs that decide against a worker if all are of one team, as a
#: multiple of what decides with several teams: one team's faulty release
#: looks like a bad worker otherwise.
SINGLE_TEAM_FACTOR = 3
#: Failed jobs that are kept for one worker.
MAX_FAILURES_PER_WORKER = 64


class Failure(NamedTuple):
    """A task that failed.

    :ivar job: id of the job.
    :ivar team: its team.
    """

    job: str
    team: str


class FailureTracker:
    """Failures since the last success, by worker.

    :param jobs_limit: distinct jobs, of two teams or more, that put a
        worker into quarantine.
    :param workers_limit: distinct good workers that make a job bad.
    :param max_share: share of the workers that may be in quarantine.
    """

    def __init__(
        self,
        min_failed_jobs: int,
        min_failed_workers: int,
        max_quarantined_share: float,
    ):
        """Start without failures."""
        self.min_failed_jobs = min_failed_jobs
        self.min_failed_workers = min_failed_workers
        self.max_quarantined_share = max_quarantined_share
        self.by_worker: dict[str, set[Failure]] = {}

    def record_success(self, worker: str) -> None:
        """Note that a worker completed a task."""
        self.by_worker.pop(worker, None)

    def record_failure(self, worker: str, job: str, team: str) -> None:
        """Note that a task failed on a worker."""
        found = self.by_worker.setdefault(worker, set())
        if len(found) < MAX_FAILURES_PER_WORKER:
            found.add(Failure(job, team))

    def discard_job(self, job: str) -> None:
        """Take back what a bad job counted against its workers."""
        for worker in list(self.by_worker):
            self.by_worker[worker] = {
                each for each in self.by_worker[worker] if each.job != job
            }
            if not self.by_worker[worker]:
                del self.by_worker[worker]

    def discard_worker(self, worker: str) -> None:
        """Forget a worker that is quarantined or gone."""
        self.by_worker.pop(worker, None)

    def is_bad_worker(self, worker: str) -> bool:
        """Return whether a worker fails what it starts."""
        found = self.by_worker.get(worker, ())
        teams = {each.team for each in found}
        needed = self.min_failed_jobs
        if len(teams) < 2:
            needed *= SINGLE_TEAM_FACTOR
        return len(found) >= needed

    def is_bad_job(
        self, failed_on: tuple[str, ...], quarantined: set[str]
    ) -> bool:
        """Return whether a job failed on several good workers."""
        good = set(failed_on) - quarantined
        return len(good) >= self.min_failed_workers

    def may_quarantine(self, quarantined: int, workers: int) -> bool:
        """Return whether one more worker may be in quarantine."""
        return quarantined + 1 <= max(
            1, int(workers * self.max_quarantined_share)
        )
