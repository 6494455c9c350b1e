"""Coordinates all jobs while this entry is the leader.

All input and output goes through its ports: the entry passes in jobs,
cancellations, workers and manifests from the store's watches, and calls
:meth:`Coordinator.run_once` after each event and at least every ``TICK_S``.
"""

from typing import NamedTuple

from cyclamenscale.jobs.advice import Tickets
from cyclamenscale.jobs.job import TAKEOVER_RUN_GAP, Job
from cyclamenscale.jobs.ledger import Ledger, OnStored
from cyclamenscale.jobs.machines import MachineOperations
from cyclamenscale.jobs.model import (
    FINAL_STATES,
    JobRecord,
    Manifest,
    ProgressRecord,
    WorkerRecord,
)
from cyclamenscale.jobs.orders import WorkerOrders
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.polling import WorkerPoller
from cyclamenscale.jobs.ports import MachineCalls, StoreCalls, WorkerCalls
from cyclamenscale.jobs.speeds import SpeedMonitor
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.throttling import Throttling
from cyclamenscale.jobs.waiting import WaitingReport

#: Interval of the work that depends on time alone.
TICK_S = 0.05

#: A worker that has left the registry stays in use for this time if it
#: responds: its registration may have expired while the store was
#: unavailable, and returns within 2 s.
UNREGISTERED_USE_S = 3.0


class Ports(NamedTuple):
    """The ports of a coordinator.

    :ivar workers: calls to workers.
    :ivar machines: calls to the platform about machines.
    :ivar store: calls to the key-value store.
    """

    workers: WorkerCalls
    machines: MachineCalls
    store: StoreCalls


class Coordinator:
    """Makes all decisions of one term.

    :param state: state of the term, without jobs and workers yet.
    :param ports: the ports.
    :param on_stored: called with each progress record that is stored.
    """

    def __init__(
        self,
        state: State,
        ports: Ports,
        on_stored: OnStored = lambda job, record, revision: None,
    ):
        """Create the components of the coordinator."""
        self.state = state
        self.orders = WorkerOrders(state, ports.workers)
        self.tickets = Tickets(state, ports.workers)
        self.orders.discard_ticket = lambda task, worker: self.tickets.discard(
            task.step, worker
        )
        self.placement = Placement(state, self.orders, self.tickets)
        self.speeds = SpeedMonitor(state, self.orders, self.placement)
        self.poller = WorkerPoller(
            state, ports.workers, self.orders, self.speeds
        )
        self.ledger = Ledger(state, ports.store, on_stored)
        self.throttling = Throttling(state, self.orders)
        self.machines = MachineOperations(
            state, ports.machines, ports.store, self.orders, self.placement
        )
        self.waiting = WaitingReport(state, self.placement)
        self.next_tick_s = 0.0

    def add_job(
        self, record: JobRecord, revision: int, restored: bool = False
    ) -> None:
        """Add an accepted job.

        :param record: the job as stored.
        :param revision: revision of its acceptance.
        :param restored: whether it was accepted before this term.
        """
        state = self.state
        if record.id in state.jobs:
            return
        queue = state.queue_of(record.queue, record.manifest_version)
        age_s = state.wall() - record.accepted_ms / 1000
        # Wall clocks of entries differ and may jump.
        age_s = min(max(age_s, 0.0), 60.0) if restored else 0.0
        job = Job(record, queue, state.clock() - age_s)
        job.needs_confirmed_lease = not state.lease_confirmed()
        if restored:
            job.unpolled_until_s = state.takeover_end_s
            # Starts of earlier terms may not be stored yet.
            job.highest_run = TAKEOVER_RUN_GAP
        elif not job.long_running:
            state.arrivals.record(
                queue.pool, job.estimated_work, state.clock()
            )
        state.jobs[record.id] = job
        job.open_due_occurrences(state.wall() * 1000, state.clock())
        self.poller.link_runs(job)
        state.mark_changed()

    def restore_progress(
        self, job: str, record: ProgressRecord, revision: int
    ) -> None:
        """Restore the stored progress of a job at the start of a term."""
        found = self.state.jobs.get(job)
        if found:
            now_s = self.state.clock()
            found.restore(record, revision, now_s)
            found.open_due_occurrences(self.state.wall() * 1000, now_s)

    def cancel_job(self, job: str) -> None:
        """Stop a job that its caller has cancelled."""
        found = self.state.jobs.get(job)
        if not found or found.ended:
            return
        found.cancel()
        self.state.events.note("job.cancel", job=job)
        for task in found.tasks():
            for run in list(task.runs):
                self.orders.stop(run, "the job was cancelled")
        self.poller.finish_cancelled(found)

    def set_manifest(self, manifest: Manifest) -> None:
        """Apply a newer manifest to all jobs."""
        state = self.state
        state.manifest = manifest
        state.queue_history.observe(manifest)
        for job in state.jobs.values():
            record = job.record
            job.queue = state.queue_of(record.queue, record.manifest_version)
        state.mark_changed()

    def register_worker(self, record: WorkerRecord) -> None:
        """Record a new or changed registration of a worker.

        One of an earlier incarnation, which a poll may have shown to be over
        before the watch delivers it, changes nothing. Wall clocks may jump
        back, so it counts if the known incarnation does not respond.
        """
        state = self.state
        known = state.registry.get(record.id)
        worker = state.workers.get(record.id)
        if known and record.started_ms < known.started_ms:
            if worker and not worker.failed_polls:
                worker.request_immediate_poll(state.clock())
                return
        state.registry[record.id] = record
        if worker and worker.record.started_ms == record.started_ms:
            if record.leaving and not worker.record.leaving:
                state.events.note("worker.leaving", worker=record.id)
            worker.record = record
            worker.registered_s = state.clock()
            worker.in_registry = True
            worker.left_registry_s = 0.0
        elif worker:
            worker.terminated = True
        state.mark_changed()

    def unregister_worker(self, worker: str) -> None:
        """Record that a worker has left the registry."""
        state = self.state
        state.registry.pop(worker, None)
        state.ended.pop(worker, None)
        found = state.workers.get(worker)
        if found and not found.left_registry_s:
            found.left_registry_s = state.clock()

    def run_once(self) -> None:
        """Make all decisions that are due and store the progress."""
        state = self.state
        if state.superseded:
            return
        now_s = state.clock()
        if now_s >= self.next_tick_s:
            self.next_tick_s = now_s + TICK_S
            self.tick(now_s)
        self.poller.poll_due(now_s)
        if state.changed:
            self.placement.run()
        self.ledger.flush(now_s)

    def tick(self, now_s: float) -> None:
        """Do the periodic work."""
        state = self.state
        if not state.lease_confirmed():
            state.unconfirmed_s = now_s
        for record in state.registry.values():
            known = record.id in state.workers
            if not known and not state.has_ended(record):
                self.poller.add_worker(record, now_s)
        for worker in state.workers.values():
            if worker.left_registry_s:
                worker.in_registry = (
                    now_s < worker.left_registry_s + UNREGISTERED_USE_S
                )
        self.poller.expire_leases(now_s)
        self.orders.resend_unanswered(now_s)
        self.placement.copy_unconfirmed(now_s)
        self.speeds.run(now_s)
        self.drain_leaving_workers()
        wall_ms = state.wall() * 1000
        for job in state.jobs.values():
            job.open_due_occurrences(wall_ms, now_s)
            if job.cancelled and job.state not in FINAL_STATES:
                self.poller.finish_cancelled(job)
        self.ledger.drop_idle()
        self.throttling.run(now_s)
        self.machines.run(now_s)
        self.waiting.run(now_s)
        # Placement also depends on time, such as the end of a worker's block.
        state.mark_changed()

    def drain_leaving_workers(self) -> None:
        """Stop long-running tasks on leaving workers; they move elsewhere."""
        for worker in self.state.workers.values():
            if not worker.record.leaving or worker.failed_polls:
                continue
            for run in list(worker.runs.values()):
                if run.task and run.task.step.spec.long_running:
                    self.orders.stop(run, "its worker is leaving")
