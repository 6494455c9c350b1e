"""Tells workers that fail every task from jobs that fail on every worker.

Pure. A worker is suspect if tasks of several jobs of several teams failed on
it and none succeeded since; a job is bad if it failed on several workers
that are not suspect.
"""

from typing import NamedTuple

#: Distinct jobs that decide against a worker if all are of one team, as a
#: multiple of what decides with several teams: one team's faulty release
#: looks like a bad worker otherwise.
ONE_TEAM_FACTOR = 3
#: Failed jobs that are kept for one worker.
KEPT_LIMIT = 64


class Failure(NamedTuple):
    """A task that failed.

    :ivar job: id of the job.
    :ivar team: its team.
    """

    job: str
    team: str


class Failures:
    """Failures since the last success, by worker.

    :param jobs_limit: distinct jobs, of two teams or more, that put a
        worker into quarantine.
    :param workers_limit: distinct good workers that make a job bad.
    :param max_share: share of the workers that may be in quarantine.
    """

    def __init__(self, jobs_limit: int, workers_limit: int, max_share: float):
        """Start without failures."""
        self.jobs_limit = jobs_limit
        self.workers_limit = workers_limit
        self.max_share = max_share
        self.failed: dict[str, set[Failure]] = {}

    def succeeded(self, worker: str) -> None:
        """Note that a worker completed a task."""
        self.failed.pop(worker, None)

    def add(self, worker: str, job: str, team: str) -> None:
        """Note that a task failed on a worker."""
        found = self.failed.setdefault(worker, set())
        if len(found) < KEPT_LIMIT:
            found.add(Failure(job, team))

    def forget_job(self, job: str) -> None:
        """Take back what a bad job counted against its workers."""
        for worker in list(self.failed):
            self.failed[worker] = {
                each for each in self.failed[worker] if each.job != job
            }
            if not self.failed[worker]:
                del self.failed[worker]

    def forget_worker(self, worker: str) -> None:
        """Forget a worker that is quarantined or gone."""
        self.failed.pop(worker, None)

    def is_bad_worker(self, worker: str) -> bool:
        """Return whether a worker fails what it starts."""
        found = self.failed.get(worker, ())
        teams = {each.team for each in found}
        needed = self.jobs_limit
        if len(teams) < 2:
            needed *= ONE_TEAM_FACTOR
        return len(found) >= needed

    def is_bad_job(
        self, failed_on: tuple[str, ...], quarantined: set[str]
    ) -> bool:
        """Return whether a job failed on several good workers."""
        good = set(failed_on) - quarantined
        return len(good) >= self.workers_limit

    def may_quarantine(self, quarantined: int, workers: int) -> bool:
        """Return whether one more worker may be in quarantine."""
        return quarantined + 1 <= max(1, int(workers * self.max_share))
