"""Job records in the platform's store, updated by batched compare-and-swap.

Each change compares the revision of the job record it is based on, so that
sending it again has no further effect. After a lost response, the jobs are
read again to find out which changes were applied.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenscale.errors import (
    ConflictError,
    ControlLostError,
    OutcomeUnknownError,
    StoreAnswerLostError,
)
from cyclamenscale.fleet.budget import CONTROL_PREFIX
from cyclamenscale.fleet.ports import Resources
from cyclamenscale.metrics import Metrics
from cyclamenscale.placing.job_records import (
    CANCELLED,
    ENDED_STATES,
    JOB_PREFIX,
    QUARANTINE_PREFIX,
    QUOTA_PREFIX,
    WAITING_STATES,
    JobRecord,
    JobSpec,
    QuarantineRecord,
    QuotaRecord,
    job_key,
    quota_key,
)
from cyclamenscale.store.port import Compare, Delete, Put, Store
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.codec import decode_record, encode_record

#: Limit on the operations of one store transaction and, separately, on its
#: comparisons.
MAX_TXN_OPERATIONS = 128
#: Keys read by one range request; values are a few hundred bytes each.
PAGE_SIZE = 2000
#: Attempts to submit or cancel jobs after lost responses or conflicts.
MAX_TRIES = 5


class StoredJob(NamedTuple):
    """A job record as read from the store.

    :ivar key: store key of the job.
    :ivar revision: ``mod_revision`` of the key.
    :ivar record: the decoded record.
    """

    key: str
    revision: int
    record: JobRecord


class JobChange(NamedTuple):
    """An update or deletion of one job record.

    :ivar before: the stored job that the change is based on.
    :ivar after: the new record, or None to delete the job.
    :ivar compares: further comparisons that must hold.
    """

    before: StoredJob
    after: JobRecord | None
    compares: tuple[Compare, ...] = ()

    @property
    def all_compares(self) -> tuple[Compare, ...]:
        """Return all comparisons, including the one of the job."""
        own = Compare(self.before.key, self.before.revision)
        return (own, *self.compares)

    @property
    def write(self) -> Put | Delete:
        """Return the store operation that applies the change."""
        if self.after is None:
            return Delete(self.before.key)
        return Put(self.before.key, encode_record(self.after))


class PoolRecords(NamedTuple):
    """The records of one pool in the store.

    :ivar jobs: stored jobs by id.
    :ivar quotas: quota limits by team.
    :ivar quarantine: the quarantined workers.
    :ivar quarantine_revision: ``mod_revision`` of the quarantine record, 0
        if there is none.
    """

    jobs: dict[str, StoredJob]
    quotas: dict[str, Resources]
    quarantine: QuarantineRecord
    quarantine_revision: int


def batch_changes(
    changes: Iterable[JobChange], fixed_compares: int
) -> Iterable[list[JobChange]]:
    """Split changes into batches that fit into one transaction each.

    :param changes: the changes, in order.
    :param fixed_compares: number of comparisons that each transaction
        contains in addition to those of its changes.
    """
    batch: list[JobChange] = []
    compared: set[str] = set()
    for change in changes:
        keys = {each.key for each in change.all_compares}
        full = (
            len(batch) == MAX_TXN_OPERATIONS
            or len(compared | keys) + fixed_compares > MAX_TXN_OPERATIONS
        )
        if batch and full:
            yield batch
            batch, compared = [], set()
        batch.append(change)
        compared |= keys
    if batch:
        yield batch


class JobStore:
    """Reads and updates the job records of pools.

    Not thread-safe: each component has its own.

    :param store: the platform's store.
    :param metrics: counters.
    :param wall_clock: returns seconds since the epoch.
    """

    def __init__(self, store: Store, metrics: Metrics, wall_clock: Clock):
        """Initialise with an empty cache of decoded jobs."""
        self.store = store
        self.metrics = metrics
        self.wall_clock = wall_clock
        #: Decoded jobs of the latest read, by pool and key.
        self.decoded_jobs: dict[str, dict[str, StoredJob]] = {}
        #: Transactions sent by :meth:`commit`.
        self.transaction_count = 0

    def submit(self, spec: JobSpec) -> None:
        """Add a job; submitting the same job again has no effect.

        :raises ConflictError: if a different job has the same id.
        :raises OutcomeUnknownError: if the job may or may not have been
            added.
        """
        key = job_key(spec.pool, spec.id)
        record = JobRecord(spec, submitted_s=self.wall_clock())
        put = Put(key, encode_record(record))
        for _ in range(MAX_TRIES):
            try:
                result = self.store.txn([Compare(key, 0)], [put])
            except StoreAnswerLostError:
                self.metrics.incr("jobs.answers_lost")
                continue
            if not result.succeeded:
                found = result.current[key]
                current = decode_record(found.value, JobRecord, key)
                if current.spec != spec:
                    raise ConflictError(
                        key, spec, current.spec, found.mod_revision
                    )
            return
        raise OutcomeUnknownError(key, f"{MAX_TRIES} answers were lost")

    def cancel(self, pool: str, job_ids: Iterable[str]) -> int:
        """Cancel jobs; jobs that have ended are left unchanged.

        A job that has a task keeps it, and the quota that it uses, until
        the pool's placer has stopped the task. Sends one transaction for
        each 128 jobs.

        :param pool: name of the pool.
        :param job_ids: ids of the jobs; unknown ones are ignored.
        :returns: how many of the jobs are now cancelled.
        :raises OutcomeUnknownError: if some may not have been cancelled.
        """
        wanted = set(job_ids)
        for _ in range(MAX_TRIES):
            found = self.read_jobs(pool)
            changes = []
            for job in sorted(wanted & found.keys()):
                record = found[job].record
                if record.state in ENDED_STATES:
                    continue
                changes.append(
                    JobChange(found[job], self.cancelled_record(record))
                )
            incomplete = False
            for batch in batch_changes(changes, 0):
                try:
                    incomplete |= len(self.commit(batch)) < len(batch)
                except StoreAnswerLostError:
                    self.metrics.incr("jobs.answers_lost")
                    incomplete = True
            if not incomplete:
                found = self.read_jobs(pool)
                return sum(
                    found[job].record.state == CANCELLED
                    for job in wanted & found.keys()
                )
        raise OutcomeUnknownError(
            f"{JOB_PREFIX}{pool}", "some cancellations were not confirmed"
        )

    def cancelled_record(self, record: JobRecord) -> JobRecord:
        """Return the record of a job as cancelled now."""
        return record.transition(
            CANCELLED, reason="cancelled", ended_s=self.wall_clock()
        )

    def set_quota(self, pool: str, team: str, limit: Resources) -> None:
        """Set the quota of a team in a pool."""
        put = Put(quota_key(pool, team), encode_record(QuotaRecord(limit)))
        self.store.txn([], [put])

    def read_prefix(self, prefix: str) -> list:
        """Read all keys under a prefix, page by page.

        The pages may be of different store revisions. That is safe since
        each change compares the revision of the record it is based on.
        """
        items = []
        start = ""
        while True:
            page = self.store.range(prefix, PAGE_SIZE, start)
            items += page.items
            if not page.more:
                return items
            start = page.items[-1].key + "\0"

    def read_jobs(self, pool: str) -> dict[str, StoredJob]:
        """Read the jobs of a pool, decoding only those that have changed."""
        cached = self.decoded_jobs.get(pool, {})
        current = {}
        prefix = f"{JOB_PREFIX}{pool}/"
        for item in self.read_prefix(prefix):
            stored = cached.get(item.key)
            if stored is None or stored.revision != item.mod_revision:
                record = decode_record(item.value, JobRecord, item.key)
                stored = StoredJob(item.key, item.mod_revision, record)
            current[item.key] = stored
        self.decoded_jobs[pool] = current
        return {
            key.removeprefix(prefix): each for key, each in current.items()
        }

    def load(self, pool: str) -> PoolRecords:
        """Read the jobs, quotas and quarantine of a pool."""
        jobs = self.read_jobs(pool)
        prefix = f"{QUOTA_PREFIX}{pool}/"
        quotas = {
            item.key.removeprefix(prefix): decode_record(
                item.value, QuotaRecord, item.key
            ).limit
            for item in self.read_prefix(prefix)
        }
        key = QUARANTINE_PREFIX + pool
        _, found = self.store.get(key)
        if found is None:
            return PoolRecords(jobs, quotas, QuarantineRecord(), 0)
        record = decode_record(found.value, QuarantineRecord, key)
        return PoolRecords(jobs, quotas, record, found.mod_revision)

    def commit(
        self, batch: list[JobChange], pool: str = "", fence: int = 0
    ) -> list[JobChange]:
        """Apply a batch of changes in one transaction.

        If some of the compared records have changed, the changes that do
        not depend on them are applied in a second transaction.

        :param batch: changes, as batched by :func:`batch_changes`.
        :param pool: pool whose control must be held, empty for none.
        :param fence: fencing token of that control.
        :returns: the changes that were applied.
        :raises ControlLostError: if the control is no longer held with that
            token.
        """
        control_key = CONTROL_PREFIX + pool
        fixed_compares = [Compare(control_key, fence)] if pool else []
        for _ in range(2):
            if not batch:
                return []
            compares = {
                each.key: each
                for change in batch
                for each in change.all_compares
            }
            self.transaction_count += 1
            result = self.store.txn(
                [*fixed_compares, *compares.values()],
                [change.write for change in batch],
            )
            self.metrics.incr("jobs.transactions")
            if result.succeeded:
                self.metrics.incr("jobs.changes", len(batch))
                return batch
            revisions = {
                key: found.mod_revision
                for key, found in result.current.items()
            }
            if pool and revisions.get(control_key, 0) != fence:
                raise ControlLostError(pool, fence)
            unchanged = [
                change
                for change in batch
                if all(
                    revisions.get(each.key, 0) == each.mod_revision
                    for each in change.all_compares
                )
            ]
            self.metrics.incr("jobs.conflicts", len(batch) - len(unchanged))
            batch = unchanged
        return []


def sum_allocations(
    jobs: Iterable[StoredJob],
) -> tuple[dict[str, Resources], dict[str, Resources]]:
    """Sum the allocations of all tasks, by team and by worker."""
    teams: dict[str, Resources] = {}
    workers: dict[str, Resources] = {}
    zero = Resources()
    for _, _, record in jobs:
        task = record.task
        if task is None:
            continue
        team = record.spec.team
        teams[team] = teams.get(team, zero).plus(task.allocated)
        workers[task.worker] = workers.get(task.worker, zero).plus(
            task.allocated
        )
    return teams, workers


def waiting_jobs(jobs: Iterable[StoredJob]) -> list[StoredJob]:
    """Return the jobs that wait to be placed on a worker."""
    return [each for each in jobs if each.record.state in WAITING_STATES]
