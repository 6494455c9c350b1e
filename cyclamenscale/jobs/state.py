"""The state of one term, shared by the components of a coordinator."""

from collections.abc import Callable
from math import inf
from statistics import median_low
from typing import NamedTuple, Protocol

from cyclamenscale.jobs.demand import Arrivals
from cyclamenscale.jobs.estimates import EstimateBias
from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.model import Machine, Manifest, Queue, WorkerRecord
from cyclamenscale.jobs.queue_history import QueueHistory
from cyclamenscale.jobs.worker import (
    LEASE_EXPIRY_MARGIN_S,
    MAX_CALL_DELAY_S,
    MIN_CLOCK_RATE,
    REPEATED_CALL_DELAY_S,
    Worker,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.events import EventLog

#: A worker that has written to the registry within this time counts as
#: alive; workers write about every 1.5 s.
REGISTRATION_ALIVE_S = 4.0

#: A registration expires within this time after its worker has ended: three
#: missed writes, and some time for the watch.
REGISTRATION_EXPIRY_S = 6.0

#: Time within which a superseded leader stops: polls that were sent earlier
#: are no evidence that it still leads. It polls each worker about twice a
#: second.
SUPERSEDED_NOTICE_S = 1.5

#: Time after the expiry of a task lease for which the report of a worker that
#: is alive but does not respond is awaited. Jobs of a few seconds are worth
#: nothing after it.
REPORT_WAIT_S = 10.0

#: A time before all others.
NEVER_S = -1e9


#: Workers that a coordinator finds this soon after its election were there
#: before.
INHERITED_WITHIN_S = 2.0

#: Largest step of a wall clock that the age of a worker allows for; the
#: platform's bound for timed jobs on days on which clocks jump.
WALL_CLOCK_STEP_S = 5.0

#: Time after a worker's start within which an earlier leader may have called
#: it as its former incarnation: it learns of the restart with the next poll.
FORMER_CALLS_S = 2 * REPEATED_CALL_DELAY_S


class LeaseCheck(Protocol):
    """Checks whether this entry holds the leader lease."""

    def __call__(self, slack_s: float = 0.0) -> bool:
        """Return whether this entry certainly holds the lease.

        :param slack_s: accept a lease that ended at most this long ago.
        """


class Term(NamedTuple):
    """A period in which this entry is the leader.

    :ivar node: name of this entry.
    :ivar fence: fencing token: the revision of the leader's key.
    :ivar began_s: when the election was won.
    """

    node: str
    fence: int
    began_s: float


class EndedIncarnation(NamedTuple):
    """An incarnation of a worker that the registry may still name.

    :ivar started_ms: its start.
    :ivar until_s: when its registration has certainly expired.
    """

    started_ms: int
    until_s: float


class FormerIncarnation(NamedTuple):
    """What may still reach the next incarnation under a worker's id.

    :ivar started_ms: start of the former incarnation.
    :ivar lease_until_s: until when a call meant for it may have given the
        next one a lease.
    :ivar late_starts: starts that may still be carried out, with the times
        at which they were sent.
    """

    started_ms: int
    lease_until_s: float
    late_starts: dict[tuple[str, int], float]


class State:
    """Jobs, workers and the manifest during one term.

    :param settings: all settings.
    :param term: the term.
    :param manifest: the operators' configuration.
    :param clock: monotonic seconds, including time in suspension.
    :param wall: wall-clock seconds.
    :param lease_confirmed: checks whether this entry holds the leader
        lease.
    :param queue_history: the queues of earlier manifests.
    :param manifest_revision: returns the store's revision up to which this
        entry knows all manifests.
    """

    def __init__(
        self,
        settings: Settings,
        term: Term,
        manifest: Manifest,
        clock: Clock,
        wall: Clock,
        lease_confirmed: LeaseCheck,
        events: EventLog,
        metrics: Metrics,
        queue_history: QueueHistory | None = None,
        manifest_revision: Callable[[], float] = lambda: inf,
    ):
        """Initialise with no jobs and no workers."""
        self.queue_history = queue_history or QueueHistory(manifest)
        self.manifest_revision = manifest_revision
        self.settings = settings
        self.term = term
        self.manifest = manifest
        self.clock = clock
        self.wall = wall
        self.lease_confirmed = lease_confirmed
        self.events = events
        self.metrics = metrics
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.estimate_bias = EstimateBias()
        #: Work of the jobs that were accepted in this term.
        self.arrivals = Arrivals()
        #: Registrations of workers by worker id.
        self.registry: dict[str, WorkerRecord] = {}
        #: Incarnations that have certainly ended, by worker id.
        self.ended: dict[str, EndedIncarnation] = {}
        #: Incarnations that were removed, by worker id, for as long as calls
        #: to them may matter.
        self.former: dict[str, FormerIncarnation] = {}
        self.registry_read = False
        #: Machines that are up in the latest list, None before the first.
        self.up_machines: list[Machine] | None = None
        #: Whether a placement may have become possible since the last pass.
        self.changed = True
        #: Evidence of a later leader (a higher fencing token or a changed
        #: leader key), empty if there is none.
        self.superseded = ""
        #: When the leader lease was last unconfirmed. Until then workers may
        #: have been unable to write to the registry.
        self.unconfirmed_s = -1e9

    def queue_of(self, stored: Queue, version: int) -> Queue:
        """Return the queue settings that apply to a job.

        :param stored: the queue when the job was accepted.
        :param version: version of the manifest that it is from.
        """
        return self.queue_history.find(stored, version)

    def pools_of(self, job: Job) -> frozenset[str] | None:
        """Return the pools in which tasks of a job may have been started.

        :returns: names of the pools; None if it may be any pool, because an
            earlier leader may have known a manifest that this entry has not.
        """
        if self.manifest_revision() < self.term.fence:
            return None
        record = job.record
        pools = self.queue_history.pools_since(
            record.queue, record.manifest_version
        )
        return pools if pools is None else pools | {job.queue.pool}

    def may_start(self) -> bool:
        """Return whether tasks may be started.

        While the store is unavailable the lease can't be confirmed, but no
        other entry can take over either. If the store serves other entries,
        a successor polls the workers, which refuse this term from then on,
        and it waits for those that it has not polled.
        """
        grace_s = self.settings.jobs.grace_s
        return self.lease_confirmed(grace_s) and self.is_current()

    def is_current(self) -> bool:
        """Return whether the lease or a majority of workers confirm the term.

        Any majority includes a worker that a successor has polled, unless
        it reaches only a minority. Polls count from when they were sent,
        since a response may be read long after it was given, for example
        after a pause of this process.
        """
        if self.superseded:
            return False
        if self.lease_confirmed():
            return True
        # A later incarnation of a terminated worker confirms nothing by
        # itself: it has seen no fence.
        confirmed_s = [
            NEVER_S if worker.terminated else worker.fence_confirmed_s
            for worker in self.workers.values()
        ]
        if not confirmed_s:
            return False
        # A majority has confirmed the term at the low median or later.
        return self.clock() < median_low(confirmed_s) + SUPERSEDED_NOTICE_S

    def record_ended(self, worker: Worker) -> None:
        """Record that an incarnation of a worker has certainly ended."""
        until_s = self.clock() + REGISTRATION_EXPIRY_S
        started_ms = worker.record.started_ms
        if started_ms:
            self.ended[worker.id] = EndedIncarnation(started_ms, until_s)

    def record_former(self, worker: Worker) -> None:
        """Record what may reach the next incarnation of a worker."""
        now_s = self.clock()
        late_starts = worker.late_starts(now_s)
        arrival_s = max(
            [
                now_s + REPEATED_CALL_DELAY_S,
                *(sent + MAX_CALL_DELAY_S for sent in late_starts.values()),
            ]
        )
        self.former = {
            name: former
            for name, former in self.former.items()
            if former.lease_until_s > now_s
        }
        self.former[worker.id] = FormerIncarnation(
            worker.record.started_ms,
            arrival_s + self.longest_lease_s,
            late_starts,
        )

    def former_of(self, record: WorkerRecord) -> FormerIncarnation | None:
        """Return the incarnation before that of a registration."""
        former = self.former.get(record.id)
        if former and former.started_ms != record.started_ms:
            return former
        return None

    def foreign_lease_until_s(self, record: WorkerRecord) -> float:
        """Return until when a new worker may hold a lease meant for another.

        A worker that an earlier leader has used may have restarted under its
        id lately. Its age is only known by wall clocks, which may jump.
        """
        now_s = self.clock()
        former = self.former_of(record)
        until_s = former.lease_until_s if former else 0.0
        if record.started_ms and (
            now_s - self.term.began_s < INHERITED_WITHIN_S
        ):
            age_s = self.wall() - record.started_ms / 1000
            arrival_s = min(
                FORMER_CALLS_S + WALL_CLOCK_STEP_S - age_s,
                REPEATED_CALL_DELAY_S,
            )
            until_s = max(until_s, now_s + arrival_s + self.longest_lease_s)
        return until_s if until_s > now_s else 0.0

    def has_ended(self, record: WorkerRecord) -> bool:
        """Return whether a registration is that of an ended incarnation."""
        ended = self.ended.get(record.id)
        return bool(
            ended
            and ended.started_ms == record.started_ms
            and self.clock() < ended.until_s
        )

    def mark_changed(self) -> None:
        """Record that a placement may have become possible."""
        self.changed = True

    @property
    def task_lease_s(self) -> float:
        """Return the duration of a task lease."""
        jobs = self.settings.jobs
        return min(jobs.hold_s, jobs.max_hold_ms / 1000)

    @property
    def longest_lease_s(self) -> float:
        """Return how long a lease can hold, whatever deadline it was given."""
        longest_s = self.settings.jobs.max_hold_ms / 1000 / MIN_CLOCK_RATE
        return longest_s + LEASE_EXPIRY_MARGIN_S

    @property
    def takeover_end_s(self) -> float:
        """Return when task leases of earlier terms have certainly expired."""
        longest_s = self.task_lease_s / MIN_CLOCK_RATE
        return self.term.began_s + longest_s + LEASE_EXPIRY_MARGIN_S

    def is_alive(self, worker: Worker) -> bool:
        """Return whether a worker has recently written to the registry.

        Time in which the store may have been unavailable does not count.
        """
        since_s = max(worker.registered_s, self.unconfirmed_s)
        silent_s = self.clock() - since_s
        return not worker.terminated and silent_s < REGISTRATION_ALIVE_S

    def is_taken_over(self, worker: Worker) -> bool:
        """Return whether a worker has reported all its runs and ends.

        One report lists only the first of many ends; the others follow once
        those are acknowledged, which needs the store.
        """
        return worker.fence == self.term.fence and not worker.ends_truncated

    def has_unknown_runs(self, pools: frozenset[str] | None) -> bool:
        """Return whether workers of some pools may have more to report.

        :param pools: names of the pools, None for all.

        That is so while a worker has more ends than it has listed, and until
        the lease of one that was not polled yet has certainly expired. A
        worker that has become silent is waited for as long as the reports of
        its own runs are.
        """
        return any(
            (pools is None or worker.record.pool in pools)
            and not worker.terminated
            and (
                self.may_hold_foreign_lease(worker)
                if worker.fence != self.term.fence
                else worker.ends_truncated
                and (not worker.failed_polls or self.awaits_report(worker))
            )
            for worker in self.workers.values()
        )

    def has_expired(self, worker: Worker) -> bool:
        """Return whether the lease of a silent worker's runs has expired."""
        now_s = self.clock()
        if not worker.failed_polls or now_s > worker.lease_expiry_s():
            return bool(worker.failed_polls)
        gone = now_s > worker.own_lease_expiry_s()
        return gone and not self.is_listed(worker)

    def is_listed(self, worker: Worker) -> bool:
        """Return whether a worker is registered or that of a machine.

        One that is neither has ended.
        """
        return worker.in_registry or any(
            machine.worker == worker.id for machine in self.up_machines or ()
        )

    def may_hold_foreign_lease(self, worker: Worker) -> bool:
        """Return whether a worker may hold a lease meant for another."""
        held = self.clock() < worker.foreign_lease_until_s
        return held and self.is_listed(worker)

    def awaits_report(self, worker: Worker) -> bool:
        """Return whether a silent worker may still report ends."""
        until_s = worker.lease_expiry_s() + REPORT_WAIT_S
        return self.is_alive(worker) and self.clock() < until_s

    def unreached_live_workers(self, pools: frozenset[str] | None) -> bool:
        """Return whether a live worker of some pools was not polled yet.

        :param pools: names of the pools, None for all.

        The previous leader may still reach it and start tasks on it, and it
        may have done tasks whose ends nobody has read.
        """
        return self.has_unknown_runs(pools) or any(
            (pools is None or worker.record.pool in pools)
            and not self.is_taken_over(worker)
            and self.is_alive(worker)
            for worker in self.workers.values()
        )

    def unpolled_workers(self, pools: frozenset[str] | None) -> bool:
        """Return whether some pools may have a worker not polled yet.

        :param pools: names of the pools, None for all.

        Registrations expire while the store is unavailable and return
        seconds later, so machines that are up are checked as well.
        """
        if not self.registry_read or self.up_machines is None:
            return True
        polled = set()
        for worker in self.workers.values():
            if worker.terminated or not (
                pools is None or worker.record.pool in pools
            ):
                continue
            if not self.is_taken_over(worker):
                return True
            polled.add(worker.record.machine)
            polled.add(worker.id)
        standby = {p.name for p in self.manifest.pools.values() if p.standby}
        return any(
            (
                machine.pool not in standby
                if pools is None
                else machine.pool in pools
            )
            and machine.name not in polled
            and machine.worker not in polled
            for machine in self.up_machines
        )
