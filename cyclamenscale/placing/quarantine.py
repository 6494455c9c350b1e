"""Distinguishes faulty workers from faulty jobs.

A worker is bad if tasks of several jobs of several teams have failed on it
and none has succeeded since. A job is bad if it has failed on several workers
that are not bad themselves. Nothing here reads or writes the store.
"""

from typing import NamedTuple

#: Factor on the number of failed jobs that make a worker bad, if all of them
#: are of one team. Otherwise a faulty release of one team would look like a
#: bad worker.
SINGLE_TEAM_FACTOR = 3
#: Failures kept for one worker.
MAX_FAILURES_PER_WORKER = 64


class Failure(NamedTuple):
    """A job of which a task failed.

    :ivar job: id of the job.
    :ivar team: team of the job.
    """

    job: str
    team: str


class FailureTracker:
    """Failures since the latest success, by worker.

    :param min_failed_jobs: number of distinct failed jobs, of two teams or
        more, that make a worker bad.
    :param min_failed_workers: number of distinct workers, not bad themselves,
        whose failures make a job bad.
    :param max_quarantined_share: share of the workers that may be in
        quarantine.
    """

    def __init__(
        self,
        min_failed_jobs: int,
        min_failed_workers: int,
        max_quarantined_share: float,
    ):
        """Initialise with no failures."""
        self.min_failed_jobs = min_failed_jobs
        self.min_failed_workers = min_failed_workers
        self.max_quarantined_share = max_quarantined_share
        self.by_worker: dict[str, set[Failure]] = {}

    def record_success(self, worker: str) -> None:
        """Record that a worker completed a task."""
        self.by_worker.pop(worker, None)

    def record_failure(self, worker: str, job: str, team: str) -> None:
        """Record that a task failed on a worker."""
        found = self.by_worker.setdefault(worker, set())
        if len(found) < MAX_FAILURES_PER_WORKER:
            found.add(Failure(job, team))

    def discard_job(self, job: str) -> None:
        """Remove the failures of a bad job from all workers."""
        for worker in list(self.by_worker):
            self.by_worker[worker] = {
                each for each in self.by_worker[worker] if each.job != job
            }
            if not self.by_worker[worker]:
                del self.by_worker[worker]

    def discard_worker(self, worker: str) -> None:
        """Remove the failures of a worker that is quarantined or removed."""
        self.by_worker.pop(worker, None)

    def is_bad_worker(self, worker: str) -> bool:
        """Return whether enough distinct jobs have failed on a worker."""
        found = self.by_worker.get(worker, ())
        teams = {each.team for each in found}
        needed = self.min_failed_jobs
        if len(teams) < 2:
            needed *= SINGLE_TEAM_FACTOR
        return len(found) >= needed

    def is_bad_job(
        self, failed_on: tuple[str, ...], bad_workers: set[str]
    ) -> bool:
        """Return whether a job failed on enough workers that are not bad.

        :param failed_on: workers on which the job failed.
        :param bad_workers: workers that are quarantined or found bad.
        """
        good = set(failed_on) - bad_workers
        return len(good) >= self.min_failed_workers

    def may_quarantine(self, quarantined: int, workers: int) -> bool:
        """Return whether one more worker may be quarantined.

        :param quarantined: number of workers in quarantine.
        :param workers: number of workers in the pool.
        """
        return quarantined + 1 <= max(
            1, int(workers * self.max_quarantined_share)
        )
