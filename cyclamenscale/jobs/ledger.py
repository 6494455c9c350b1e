"""Stores the progress of jobs, then acknowledges the ends behind it.

Each transaction compares the leader's key, so that a coordinator that was
replaced can't write, and the revision of each record, so that one that is
carried out late changes nothing.
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

#: The platform takes 32 entries; one is the leader's key.
JOBS_PER_TXN = 15

#: Finished jobs removed in one transaction, of three keys each.
REMOVED_PER_TXN = 10

#: Pause after a transaction that failed.
RETRY_S = 0.1

#: A started job's state may wait this long for company.
LAZY_S = 0.15

OnStored = Callable[[str, ProgressRecord, int], None]


class Batch(NamedTuple):
    """One transaction on its way.

    :ivar records: what each job's record becomes.
    :ivar acknowledged: each worker with ends, by id, and the number up to
        which they may be acknowledged after the transaction.
    """

    records: dict[Job, ProgressRecord]
    acknowledged: dict[str, tuple[Worker, int]]


class Ledger:
    """Writes the progress of jobs in groups, one transaction at a time.

    :param state: shared knowledge.
    :param store: the store.
    :param on_stored: called with a job's id, its stored progress and the
        revision of that, since a watch may be seconds behind.
    """

    def __init__(self, state: State, store: StoreCalls, on_stored: OnStored):
        """Start with nothing on its way."""
        self.on_stored = on_stored
        self.state = state
        self.store = store
        self.batch: Batch | None = None
        self.retry_s = 0.0
        self.lazy_since_s = 0.0
        self.failing = False

    def flush(self, now_s: float) -> None:
        """Store what has changed, if nothing else is on its way."""
        if self.batch or now_s < self.retry_s or not self.state.proven():
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
            # Only that jobs have begun; that can wait for other changes.
            self.lazy_since_s = self.lazy_since_s or now_s
            if now_s - self.lazy_since_s < LAZY_S:
                return
        self.lazy_since_s = 0.0
        dirty.sort(key=lambda job: job.state not in FINAL_STATES)
        records = {}
        for job in dirty[:JOBS_PER_TXN]:
            record = job.progress_record()
            job.dirty = False
            if record != job.stored:
                records[job] = record
        # All ends up to now are covered only if no changed job is left out.
        acknowledged = ends if len(dirty) <= JOBS_PER_TXN else {}
        batch = Batch(records, acknowledged)
        if records:
            self.batch = batch
            self.send(batch)
        else:
            self.finish(batch)

    def unacknowledged(self) -> dict[str, tuple[Worker, int]]:
        """Return the workers with ends that were applied only in memory."""
        return {
            worker.id: (worker, worker.applied)
            for worker in self.state.workers.values()
            if worker.applied > worker.acknowledged and not worker.gone
        }

    def send(self, batch: Batch) -> None:
        """Send a transaction, the first time or again."""
        fence = self.state.term.fence
        compares = [Compare(LEADER, fence)]
        writes = []
        for job, record in batch.records.items():
            key = progress_key(job.record.id)
            compares.append(Compare(key, job.stored_revision))
            writes.append(Put(key, encode_record(record)))
        answer = self.store.txn(compares, writes)
        answer.add_done_callback(lambda done: self.answered(batch, done))

    def answered(self, batch: Batch, done: Future) -> None:
        """Take the outcome of a transaction."""
        state = self.state
        if done.exception():
            # The same transaction again: if the first was carried out, the
            # comparisons fail and show the records that it wrote.
            self.note_failure(done.exception())
            self.retry_s = state.clock() + RETRY_S
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
            state.deposed = "the leader's key has changed"
            return
        self.take_current(batch, result)

    def take_current(self, batch: Batch, result: TxnResult) -> None:
        """Take the stored records over after a lost answer."""
        for job in batch.records:
            found = result.current.get(progress_key(job.record.id))
            job.stored_revision = found.mod_revision if found else 0
            if found:
                job.stored = decode_record(
                    found.value, ProgressRecord, found.key
                )
            job.dirty = True

    def note_failure(self, error: BaseException) -> None:
        """Log the first of several failures in a row."""
        self.state.metrics.incr("jobs.ledger_failed")
        if not self.failing:
            self.failing = True
            self.state.events.note("ledger.store_failed", reason=str(error))

    def finish(self, batch: Batch) -> None:
        """Acknowledge ends and let go of jobs that are over."""
        state = self.state
        now_s = state.clock()
        for worker, number in batch.acknowledged.values():
            worker.acknowledged = max(worker.acknowledged, number)
            worker.look_due_s = now_s
        for job, record in batch.records.items():
            idle = not any(task.runs for task in job.tasks())
            if record.state in FINAL_STATES and idle:
                state.jobs.pop(job.record.id, None)

    def drop_idle(self) -> None:
        """Let go of ended jobs whose last runs have ended since."""
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
