"""Coordinates all jobs while this entry leads.

Pure but for its ports: the entry feeds it jobs, cancellations, workers and
manifests from the store's watches, and calls :meth:`Coordinator.turn` after
each event and at least every ``TICK_S``.
"""

from typing import NamedTuple

from cyclamenscale.jobs.advice import Tickets
from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.ledger import Ledger, OnStored
from cyclamenscale.jobs.looks import Looks
from cyclamenscale.jobs.machines import Machines
from cyclamenscale.jobs.model import (
    FINAL_STATES,
    JobRecord,
    Manifest,
    ProgressRecord,
    WorkerRecord,
)
from cyclamenscale.jobs.orders import Orders
from cyclamenscale.jobs.pacing import Pacing
from cyclamenscale.jobs.placement import Placement
from cyclamenscale.jobs.ports import MachineCalls, StoreCalls, WorkerCalls
from cyclamenscale.jobs.speeds import Speeds
from cyclamenscale.jobs.state import State
from cyclamenscale.jobs.worker import Worker

#: Time between looks at everything that has a time.
TICK_S = 0.05

#: A worker that has left the registry is used this long if it answers: its
#: entry may have lapsed while the store was away, and is back in 2 s.
UNLISTED_USE_S = 3.0


class Ports(NamedTuple):
    """The ports of a coordinator.

    :ivar workers: orders to workers.
    :ivar machines: orders about machines.
    :ivar store: the store.
    """

    workers: WorkerCalls
    machines: MachineCalls
    store: StoreCalls


class Coordinator:
    """All decisions of one term.

    :param state: knowledge of the term, without jobs and workers yet.
    :param ports: the ports.
    :param on_stored: told of each progress that is stored.
    """

    def __init__(
        self,
        state: State,
        ports: Ports,
        on_stored: OnStored = lambda job, record, revision: None,
    ):
        """Make the parts."""
        self.state = state
        self.orders = Orders(state, ports.workers)
        self.tickets = Tickets(state, ports.workers)
        self.placement = Placement(state, self.orders, self.tickets)
        self.speeds = Speeds(state, self.orders, self.placement)
        self.looks = Looks(state, ports.workers, self.orders, self.speeds)
        self.ledger = Ledger(state, ports.store, on_stored)
        self.pacing = Pacing(state, self.orders)
        self.machines = Machines(
            state, ports.machines, ports.store, self.orders, self.placement
        )
        self.next_tick_s = 0.0

    def add_job(
        self, record: JobRecord, revision: int, restored: bool = False
    ) -> None:
        """Take a job on.

        :param record: the job as stored.
        :param revision: revision of its acceptance.
        :param restored: whether it was accepted before this term.
        """
        state = self.state
        if record.id in state.jobs:
            return
        queue = state.queue_of(record.queue, record.manifest_version)
        age_s = state.wall() - record.accepted_ms / 1000
        # Clocks of entries differ and may jump.
        age_s = min(max(age_s, 0.0), 60.0) if restored else 0.0
        job = Job(record, queue, state.clock() - age_s)
        job.needs_confirmed_lease = not state.proven()
        if restored:
            job.unpolled_until_s = state.takeover_end_s
        state.jobs[record.id] = job
        job.open_due_occurrences(state.wall() * 1000, state.clock())
        self.looks.attach(job)
        state.touch()

    def restore_progress(
        self, job: str, record: ProgressRecord, revision: int
    ) -> None:
        """Take stored progress over at the beginning of a term."""
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
        self.looks.clear_cancelled(found)

    def set_manifest(self, manifest: Manifest) -> None:
        """Apply a newer manifest to all jobs."""
        state = self.state
        state.manifest = manifest
        for job in state.jobs.values():
            record = job.record
            job.queue = state.queue_of(record.queue, record.manifest_version)
        state.touch()

    def list_worker(self, entry: WorkerRecord) -> None:
        """Note a worker's registration, new or changed."""
        state = self.state
        state.registry[entry.id] = entry
        worker = state.workers.get(entry.id)
        if worker and worker.entry.started_ms == entry.started_ms:
            if entry.leaving and not worker.entry.leaving:
                state.events.note("worker.leaving", worker=entry.id)
            worker.entry = entry
            worker.registered_s = state.clock()
            worker.listed = True
            worker.unlisted_s = 0.0
        elif worker:
            worker.gone = True
        state.touch()

    def unlist_worker(self, worker: str) -> None:
        """Note that a worker has left the registry."""
        state = self.state
        state.registry.pop(worker, None)
        found = state.workers.get(worker)
        if found and not found.unlisted_s:
            found.unlisted_s = state.clock()

    def turn(self) -> None:
        """Decide on everything that has changed."""
        state = self.state
        now_s = state.clock()
        if now_s >= self.next_tick_s:
            self.next_tick_s = now_s + TICK_S
            self.tick(now_s)
        if state.deposed:
            return
        self.looks.due(now_s)
        if state.changed:
            self.placement.run()
        self.ledger.flush(now_s)

    def tick(self, now_s: float) -> None:
        """Decide on what has a time."""
        state = self.state
        for entry in state.registry.values():
            if entry.id not in state.workers:
                state.workers[entry.id] = Worker(entry, now_s)
        for worker in state.workers.values():
            if worker.unlisted_s:
                worker.listed = now_s < worker.unlisted_s + UNLISTED_USE_S
        self.looks.lapse(now_s)
        self.orders.repeat(now_s)
        self.placement.copy_doubtful(now_s)
        self.speeds.run(now_s)
        self.leave_draining()
        wall_ms = state.wall() * 1000
        for job in state.jobs.values():
            job.open_due_occurrences(wall_ms, now_s)
            if job.cancelled and job.state not in FINAL_STATES:
                self.looks.clear_cancelled(job)
        self.ledger.drop_idle()
        self.pacing.run(now_s)
        self.machines.run(now_s)
        # Blocks and holds have times of their own.
        state.touch()

    def leave_draining(self) -> None:
        """Move lasting tasks off workers that are about to stop."""
        for worker in self.state.workers.values():
            if not worker.entry.leaving or worker.failed_looks:
                continue
            for run in list(worker.runs.values()):
                if run.task and run.task.step.spec.long_running:
                    self.orders.stop(run, "its worker is leaving")
