"""Jobs in the platform's store, changed by grouped compare-and-swap.

Each change compares the revision of the job it was decided on, so it has
one effect however often it is sent. A lost answer is resolved by reading
the jobs again.
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

#: Operations and, separately, comparisons of one transaction of the store.
MAX_TXN_OPERATIONS = 128
#: Keys in one read; values are a few hundred bytes.
PAGE_SIZE = 2000
#: Tries of a group whose answer was lost or in which a job had changed.
MAX_TRIES = 5


class StoredJob(NamedTuple):
    """A job as read.

    :ivar key: its store key.
    :ivar revision: its ``mod_revision``.
    :ivar record: its content.
    """

    key: str
    revision: int
    record: JobRecord


class JobChange(NamedTuple):
    """A change of one job.

    :ivar before: the job that the change was decided on.
    :ivar after: the new record, or None to delete it.
    :ivar compares: what else it was decided on.
    """

    before: StoredJob
    after: JobRecord | None
    compares: tuple[Compare, ...] = ()

    @property
    def all_compares(self) -> tuple[Compare, ...]:
        """Return all comparisons of this change."""
        own = Compare(self.before.key, self.before.revision)
        return (own, *self.compares)

    @property
    def write(self) -> Put | Delete:
        """Return the write of this change."""
        if self.after is None:
            return Delete(self.before.key)
        return Put(self.before.key, encode_record(self.after))


class PoolRecords(NamedTuple):
    """What the store holds for one pool.

    :ivar jobs: the jobs by id.
    :ivar quotas: limits by team.
    :ivar quarantine: the quarantined workers.
    :ivar quarantine_revision: revision of that record, 0 for none.
    """

    jobs: dict[str, StoredJob]
    quotas: dict[str, Resources]
    quarantine: QuarantineRecord
    quarantine_revision: int


def batch_changes(
    changes: Iterable[JobChange], fixed: int
) -> Iterable[list[JobChange]]:
    """Split changes into groups that fit one transaction each.

    :param fixed: comparisons that every transaction carries besides.
    """
    group: list[JobChange] = []
    compared: set[str] = set()
    for change in changes:
        keys = {each.key for each in change.all_compares}
        full = (
            len(group) == MAX_TXN_OPERATIONS
            or len(compared | keys) + fixed > MAX_TXN_OPERATIONS
        )
        if group and full:
            yield group
            group, compared = [], set()
        group.append(change)
        compared |= keys
    if group:
        yield group


class JobStore:
    """Reads and changes the jobs of pools.

    Not safe for threads: each component has its own.

    :param store: the store.
    :param metrics: counters.
    :param wall_clock: seconds since the epoch.
    """

    def __init__(self, store: Store, metrics: Metrics, wall_clock: Clock):
        """Start without decoded records."""
        self.store = store
        self.metrics = metrics
        self.wall_clock = wall_clock
        #: Decoded jobs of the last read, by pool and key.
        self.decoded_jobs: dict[str, dict[str, StoredJob]] = {}
        #: Transactions that were sent.
        self.transaction_count = 0

    def submit(self, spec: JobSpec) -> None:
        """Add a job; adding the same one again changes nothing.

        :raises ConflictError: if another job has its id.
        :raises OutcomeUnknownError: if it may or may not have been added.
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
        """Cancel jobs; those that have ended stay as they are.

        A job with a task keeps it, and its quota, until the pool's placer
        has stopped the task. Costs one transaction for each 128 jobs.

        :param pool: name of the pool.
        :param jobs: ids of the jobs; unknown ones are ignored.
        :returns: how many jobs are cancelled.
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
            left = False
            for group in batch_changes(changes, 0):
                try:
                    left |= len(self.commit(group)) < len(group)
                except StoreAnswerLostError:
                    self.metrics.incr("jobs.answers_lost")
                    left = True
            if not left:
                found = self.read_jobs(pool)
                return sum(
                    found[job].record.state == CANCELLED
                    for job in wanted & found.keys()
                )
        raise OutcomeUnknownError(
            f"{JOB_PREFIX}{pool}", "some cancellations were not confirmed"
        )

    def cancelled_record(self, record: JobRecord) -> JobRecord:
        """Return the record of a job that is cancelled."""
        return record.transition(
            CANCELLED, reason="cancelled", ended_s=self.wall_clock()
        )

    def set_quota(self, pool: str, team: str, limit: Resources) -> None:
        """Set what a team's tasks in a pool may be allocated."""
        put = Put(quota_key(pool, team), encode_record(QuotaRecord(limit)))
        self.store.txn([], [put])

    def read_prefix(self, prefix: str) -> list:
        """Read all keys under a prefix, page by page.

        The pages are of different revisions; each change compares the
        revision of what it was decided on.
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
        """Read the jobs of a pool; only changed ones are decoded."""
        known = self.decoded_jobs.get(pool, {})
        now = {}
        prefix = f"{JOB_PREFIX}{pool}/"
        for item in self.read_prefix(prefix):
            stored = known.get(item.key)
            if stored is None or stored.revision != item.mod_revision:
                record = decode_record(item.value, JobRecord, item.key)
                stored = StoredJob(item.key, item.mod_revision, record)
            now[item.key] = stored
        self.decoded_jobs[pool] = now
        return {key.removeprefix(prefix): each for key, each in now.items()}

    def load(self, pool: str) -> PoolRecords:
        """Read everything that the store holds for a pool."""
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
        """Make a group of changes in one transaction.

        If some of them were decided on something that has changed, the
        others are made in a second transaction.

        :param group: as :func:`groups` makes them.
        :param pool: pool whose control must be held, empty for none.
        :param fence: fencing token of that control.
        :returns: the changes that were made.
        :raises ControlLostError: if the control has moved on.
        """
        control = CONTROL_PREFIX + pool
        fixed = [Compare(control, fence)] if pool else []
        for _ in range(2):
            if not batch:
                return []
            compares = {
                each.key: each for one in batch for each in one.all_compares
            }
            self.transaction_count += 1
            result = self.store.txn(
                [*fixed, *compares.values()], [one.write for one in batch]
            )
            self.metrics.incr("jobs.transactions")
            if result.succeeded:
                self.metrics.incr("jobs.changes", len(batch))
                return batch
            now = {
                key: found.mod_revision
                for key, found in result.current.items()
            }
            if pool and now.get(control, 0) != fence:
                raise ControlLostError(pool, fence)
            fresh = [
                one
                for one in batch
                if all(
                    now.get(each.key, 0) == each.mod_revision
                    for each in one.all_compares
                )
            ]
            self.metrics.incr("jobs.conflicts", len(batch) - len(fresh))
            batch = fresh
        return []


def sum_allocations(
    jobs: Iterable[StoredJob],
) -> tuple[dict[str, Resources], dict[str, Resources]]:
    """Add up what tasks are allocated, by team and by worker."""
    teams: dict[str, Resources] = {}
    workers: dict[str, Resources] = {}
    nothing = Resources()
    for _, _, record in jobs:
        task = record.task
        if task is None:
            continue
        team = record.spec.team
        teams[team] = teams.get(team, nothing).plus(task.allocated)
        workers[task.worker] = workers.get(task.worker, nothing).plus(
            task.allocated
        )
    return teams, workers


def waiting_jobs(jobs: Iterable[StoredJob]) -> list[StoredJob]:
    """Return the jobs that wait for a worker."""
    return [each for each in jobs if each.record.state in WAITING_STATES]
