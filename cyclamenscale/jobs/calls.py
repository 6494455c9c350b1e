"""Callers' operations on jobs: submit, state, cancel and count.

All methods run in the event loop's thread, except :meth:`JobCalls.route`.
"""

import time
from concurrent.futures import Future

from cyclamenscale.errors import (
    JobError,
    NoJobError,
    NoQueueError,
    NotAcceptedNowError,
)
from cyclamenscale.jobs.acceptance import Stored
from cyclamenscale.jobs.entry import JobEntry
from cyclamenscale.jobs.keys import cancel_key, job_key
from cyclamenscale.jobs.model import FINAL_STATES, JobRecord, JobSpec, Queue
from cyclamenscale.jobs.relay import STATE_KIND
from cyclamenscale.util.codec import decode_record, encode_record
from cyclamenscale.util.loop import chain_future

#: Part of the caller's waiting time reserved for sending the response.
RESPONSE_MARGIN_S = 0.25


class JobCalls:
    """Executes callers' operations at one entry.

    :param entry: the entry with its job index, store and coordinator.
    """

    def __init__(self, entry: JobEntry):
        """Initialise for an entry."""
        self.entry = entry

    def route(self, host: str, path: str) -> Queue:
        """Return the queue that a host and path belong to.

        :raises NotAcceptedNowError: if no manifest is loaded yet.
        :raises NoQueueError: if no queue matches.
        """
        if not self.entry.manifest:
            raise NotAcceptedNowError("no_manifest", 1.0)
        queue = self.entry.manifest.route(host, path)
        if not queue:
            raise NoQueueError(f"no queue at {host}{path}")
        return queue

    def submit(
        self, queue: Queue, job: str, spec: JobSpec, wait_s: float
    ) -> Future:
        """Accept a job; the future completes once it is stored.

        :param wait_s: how long the caller waits.
        :returns: future of None; fails with a :class:`JobError`.
        """
        outcome: Future = Future()
        indexed = self.entry.job_index.jobs.get(job)
        if indexed and indexed.record:
            outcome.set_result(None)
            return outcome
        now_s = self.entry.loop.clock()
        record = JobRecord(
            job,
            queue,
            self.entry.manifest.version,
            int(time.time() * 1000),
            spec,
        )
        value = encode_record(record)
        end_s = now_s + max(wait_s - RESPONSE_MARGIN_S, 0.05)

        def handle_stored(done: Future) -> None:
            error = done.exception()
            self.entry.events.note(
                "job.submit",
                job=job,
                queue=queue.name,
                pool=queue.pool,
                version=self.entry.manifest.version,
                tasks=sum(step.count for step in spec.steps),
                took_s=round(self.entry.loop.clock() - now_s, 4),
                outcome=str(error) if error else "stored",
            )
            self.count_outcome("submit", error)
            took_ms = (self.entry.loop.clock() - now_s) * 1000
            self.entry.metrics.timing("jobs.accept_ms", took_ms)
            if error:
                outcome.set_exception(error)
                return
            self.index_stored_job(job, record, done.result())
            outcome.set_result(None)

        created = self.entry.acceptance.create(job_key(job), value, end_s)
        created.add_done_callback(handle_stored)
        return outcome

    def count_outcome(self, what: str, error: BaseException | None) -> None:
        """Count the outcome of an operation in the metrics."""
        code = error.code if isinstance(error, JobError) else "ok"
        self.entry.metrics.incr(f"jobs.{what}.{code}")

    def index_stored_job(
        self, job: str, record: JobRecord, stored: Stored
    ) -> None:
        """Index an accepted job before the watch delivers it."""
        indexed = self.entry.job_index.get_or_create(job)
        if indexed.record is None:
            if not stored.revision:
                record = decode_record(stored.value, JobRecord, job_key(job))
            indexed.record = record
            indexed.revision = stored.revision
        if stored.revision:
            # The answer may be late: the watch may have delivered the job,
            # and the coordinator may have finished it, before.
            self.entry.add_open_job(job)
            self.entry.schedule_decision()

    def state(self, queue: Queue, job: str) -> Future:
        """Return the state of a job, or fail with :class:`NoJobError`.

        An entry whose watch may be behind requests it from the leader.

        :param queue: the queue at the address of the request. The job may
            have been submitted to one of another name: an id names one job,
            whichever queue a request comes through.
        """
        entry = self.entry
        if (
            self.is_known_to_have_ended(job)
            or entry.coordinator
            or not (entry.is_watch_behind() or entry.is_watch_quiet())
            or not entry.relay.available(STATE_KIND)
        ):
            return self.local_state(job)
        outcome: Future = Future()

        def handle_peer_state(done: Future) -> None:
            indexed = entry.job_index.jobs.get(job)
            if done.exception() and not (indexed and indexed.record):
                outcome.set_exception(done.exception())
            elif not done.exception() and done.result():
                outcome.set_result(done.result())
            else:
                # A peer may not know a job that is stored.
                chain_future(self.local_state(job), outcome)

        entry.relay.state(queue.name, job).add_done_callback(handle_peer_state)
        return outcome

    def is_known_to_have_ended(self, job: str) -> bool:
        """Return whether this entry knows the final state of a job."""
        indexed = self.entry.job_index.jobs.get(job)
        return bool(
            indexed and indexed.record and indexed.state in FINAL_STATES
        )

    def state_for_peer(self, queue: str, job: str) -> Future:
        """Return the state of a job, unless this entry may not know it.

        :param queue: name of the queue in the caller's request; an id names
            one job in all queues, so that it changes nothing.
        :returns: future like that of :meth:`local_state`; fails with
            :class:`NotAcceptedNowError` if this entry's watch is behind.
        """
        if (
            self.entry.coordinator
            or self.is_known_to_have_ended(job)
            or not self.entry.is_watch_behind()
        ):
            return self.local_state(job)
        outcome: Future = Future()
        outcome.set_exception(NotAcceptedNowError("watch_behind", 0.5))
        return outcome

    def local_state(self, job: str) -> Future:
        """Return the state of a job according to this entry."""
        outcome: Future = Future()
        indexed = self.entry.job_index.jobs.get(job)
        if indexed and indexed.record:
            self.resolve_state(job, outcome)
            return outcome

        def handle_read(done: Future) -> None:
            if done.exception():
                error = NotAcceptedNowError("store_unavailable", 0.5)
                outcome.set_exception(error)
                return
            if done.result():
                self.entry.job_index.apply(
                    done.result(), self.entry.loop.clock()
                )
            self.resolve_state(job, outcome)

        # The watch may not have delivered the job yet.
        self.entry.ports.store.read(job_key(job)).add_done_callback(
            handle_read
        )
        return outcome

    def resolve_state(self, job: str, outcome: Future) -> None:
        """Resolve a future with the indexed state of a job."""
        indexed = self.entry.job_index.jobs.get(job)
        if indexed and indexed.record:
            outcome.set_result(indexed.state)
            return
        self.entry.events.note(
            "job.unknown", job=job, revision=self.entry.job_index.revision
        )
        self.entry.metrics.incr("jobs.unknown")
        outcome.set_exception(NoJobError(f"no job {job}"))

    def cancel(self, queue: Queue, job: str, wait_s: float) -> Future:
        """Cancel a job; the future completes once that is stored."""
        outcome: Future = Future()
        end_s = self.entry.loop.clock() + max(wait_s - RESPONSE_MARGIN_S, 0.05)

        def handle_state(done: Future) -> None:
            if done.exception():
                outcome.set_exception(done.exception())
            elif done.result() in FINAL_STATES:
                outcome.set_result(None)
            else:
                created = self.entry.acceptance.create(
                    cancel_key(job), b"1", end_s
                )
                created.add_done_callback(handle_stored)

        def handle_stored(done: Future) -> None:
            error = done.exception()
            self.entry.events.note(
                "job.cancel_asked",
                job=job,
                outcome=str(error) if error else "stored",
            )
            self.count_outcome("cancel", error)
            if error:
                outcome.set_exception(error)
                return
            self.entry.job_index.get_or_create(job).cancelled = True
            if self.entry.coordinator:
                self.entry.coordinator.cancel_job(job)
                self.entry.schedule_decision()
            outcome.set_result(None)

        self.state(queue, job).add_done_callback(handle_state)
        return outcome

    def count_pending(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not started a task."""
        return self.entry.job_index.count_pending(
            queue.name, self.entry.queue_history.find
        )
