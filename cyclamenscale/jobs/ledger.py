"""Stores the progress of jobs, then acknowledges the ends of their runs.

Each transaction compares the leader's key, so that a superseded leader
can't write, and the revision of each record, so that a transaction that is
executed late changes nothing.
"""

from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple

from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.keys import LEADER, cancel_key, job_key, progress_key
from cyclamenscale.jobs.model import FINAL_STATES, ProgressRecord
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.worker import Worker
from cyclamenscale.store.port import Compare, Delete, Put, TxnResult
from cyclamenscale.util.codec import decode_record, encode_record

#: The platform allows 32 operations in a transaction: two for each job, and
#: the comparison of the leader's key.
JOBS_PER_TXN = 15

#: Finished jobs removed in one transaction, with three keys each.
REMOVED_PER_TXN = 10

#: Delay before retrying a failed transaction.
RETRY_DELAY_S = 0.1

#: Longest delay of writes that only record started jobs, to batch them.
START_DEFER_S = 0.15

OnStored = Callable[[str, ProgressRecord, int], None]


class Batch(NamedTuple):
    """One transaction in flight.

    :ivar records: the new progress record of each job.
    :ivar acknowledged: by worker id, the worker and the number of its last
        end that may be acknowledged after the transaction.
    """

    records: dict[Job, ProgressRecord]
    acknowledged: dict[str, tuple[Worker, int]]


class Ledger:
    """Writes the progress of jobs in batches, one transaction at a time.

    :param state: state of the term.
    :param store: the store.
    :param on_stored: called with a job's id, its stored progress and the
        revision of the record, since a watch may be seconds behind.
    """

    def __init__(self, state: State, store: StoreCalls, on_stored: OnStored):
        """Initialise with no transaction in flight."""
        self.on_stored = on_stored
        self.state = state
        self.store = store
        self.batch: Batch | None = None
        self.next_attempt_s = 0.0
        self.deferred_since_s = 0.0
        self.failing = False

    def flush(self, now_s: float) -> None:
        """Store what has changed, unless a transaction is in flight."""
        if (
            self.batch
            or now_s < self.next_attempt_s
            or not self.state.lease_confirmed()
        ):
            return
        dirty = [job for job in self.state.jobs.values() if job.dirty]
        ends = self.unacknowledged()
        if not dirty and not ends:
            return
        if (
            dirty
            and not ends
            and not any(j.state in FINAL_STATES for j in dirty)
        ):
            # Records of started jobs alone can wait for other changes.
            self.deferred_since_s = self.deferred_since_s or now_s
            if now_s - self.deferred_since_s < START_DEFER_S:
                return
        self.deferred_since_s = 0.0
        dirty.sort(key=lambda job: job.state not in FINAL_STATES)
        records = {}
        for job in dirty[:JOBS_PER_TXN]:
            record = job.progress_record()
            job.dirty = False
            if record != job.stored:
                records[job] = record
        # The ends so far are all covered only if every changed job is in
        # the transaction.
        acknowledged = ends if len(dirty) <= JOBS_PER_TXN else {}
        batch = Batch(records, acknowledged)
        if records:
            self.batch = batch
            self.send(batch)
        else:
            self.finish(batch)

    def unacknowledged(self) -> dict[str, tuple[Worker, int]]:
        """Return the workers with ends applied in memory but not stored."""
        return {
            worker.id: (worker, worker.last_applied_end)
            for worker in self.state.workers.values()
            if worker.last_applied_end > worker.last_acknowledged_end
            and not worker.terminated
        }

    def send(self, batch: Batch) -> None:
        """Send a transaction, or send it again."""
        fence = self.state.term.fence
        compares = [Compare(LEADER, fence)]
        writes = []
        for job, record in batch.records.items():
            key = progress_key(job.record.id)
            compares.append(Compare(key, job.stored_revision))
            writes.append(Put(key, encode_record(record)))
        call = self.store.txn(compares, writes)
        call.add_done_callback(lambda done: self.handle_result(batch, done))

    def handle_result(self, batch: Batch, done: Future) -> None:
        """Process the result of a transaction."""
        state = self.state
        if done.exception():
            # The transaction is repeated: if the first was executed, the
            # comparisons fail and return the records that it wrote.
            self.record_failure(done.exception())
            self.next_attempt_s = state.clock() + RETRY_DELAY_S
            self.batch = None
            for job in batch.records:
                job.dirty = True
            return
        self.batch = None
        if self.failing:
            self.failing = False
            state.events.note("ledger.store_back")
        result: TxnResult = done.result()
        if result.succeeded:
            for job, record in batch.records.items():
                job.stored = record
                job.stored_revision = result.revision
                self.on_stored(job.record.id, record, result.revision)
            self.finish(batch)
            return
        leader = result.current.get(LEADER)
        if not leader or leader.mod_revision != state.term.fence:
            state.superseded = "the leader's key has changed"
            return
        self.load_current(batch, result)

    def load_current(self, batch: Batch, result: TxnResult) -> None:
        """Load the records that a transaction without a response wrote."""
        for job in batch.records:
            found = result.current.get(progress_key(job.record.id))
            job.stored_revision = found.mod_revision if found else 0
            if found:
                job.stored = decode_record(
                    found.value, ProgressRecord, found.key
                )
                self.on_stored(job.record.id, job.stored, found.mod_revision)
            job.dirty = True

    def record_failure(self, error: BaseException) -> None:
        """Count a failure, and log the first of several in a row."""
        self.state.metrics.incr("jobs.ledger_failed")
        if not self.failing:
            self.failing = True
            self.state.events.note("ledger.store_failed", reason=str(error))

    def finish(self, batch: Batch) -> None:
        """Acknowledge ends, and drop final jobs that have no runs."""
        state = self.state
        now_s = state.clock()
        for worker, number in batch.acknowledged.values():
            worker.last_acknowledged_end = max(
                worker.last_acknowledged_end, number
            )
            worker.poll_due_s = now_s
        for job, record in batch.records.items():
            idle = not any(task.runs for task in job.tasks())
            if record.state in FINAL_STATES and idle:
                state.jobs.pop(job.record.id, None)

    def drop_idle(self) -> None:
        """Drop final jobs whose last runs have ended since."""
        for job in list(self.state.jobs.values()):
            if (
                job.stored.state in FINAL_STATES
                and not job.dirty
                and not any(task.runs for task in job.tasks())
            ):
                self.state.jobs.pop(job.record.id, None)

    def remove(self, jobs: list[str]) -> Future:
        """Remove the records of finished jobs.

        :param jobs: ids, at most ``REMOVED_PER_TXN``.
        """
        writes = []
        for job in jobs:
            for name in (job_key, progress_key, cancel_key):
                writes.append(Delete(name(job)))
        compares = [Compare(LEADER, self.state.term.fence)]
        return self.store.txn(compares, writes)
