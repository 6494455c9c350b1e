"""What a coordinator knows, shared by the parts that decide."""

from typing import NamedTuple, Protocol

from cyclamenscale.jobs.job import Job
from cyclamenscale.jobs.model import Machine, Manifest, Queue, WorkerRecord
from cyclamenscale.jobs.worker import (
    CLOCK_SLOWNESS,
    LAPSE_MARGIN_S,
    Worker,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock
from cyclamenscale.util.events import EventLog

#: A worker that has written to the registry within this time is alive; it
#: writes every 1.5 s or so.
ALIVE_S = 4.0


class Proof(Protocol):
    """Tells whether this entry leads."""

    def __call__(self, slack_s: float = 0.0) -> bool:
        """Return whether it surely led up to some seconds ago."""


class Term(NamedTuple):
    """A period in which this entry coordinates.

    :ivar node: name of this entry.
    :ivar fence: revision of the leader's key, the fencing token.
    :ivar began_s: when it was won.
    """

    node: str
    fence: int
    began_s: float


class State:
    """Jobs, workers and the manifest during one term.

    :param settings: the whole settings.
    :param term: the term.
    :param manifest: the operators' configuration.
    :param clock: seconds that go on during a suspension.
    :param wall: wall-clock seconds.
    :param proven: whether this entry surely leads now.
    """

    def __init__(
        self,
        settings: Settings,
        term: Term,
        manifest: Manifest,
        clock: Clock,
        wall: Clock,
        proven: Proof,
        events: EventLog,
        metrics: Metrics,
    ):
        """Start without jobs and workers."""
        self.settings = settings
        self.term = term
        self.manifest = manifest
        self.clock = clock
        self.wall = wall
        self.proven = proven
        self.events = events
        self.metrics = metrics
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        #: Workers as they register themselves, by id.
        self.registry: dict[str, WorkerRecord] = {}
        self.registry_read = False
        #: Machines that are up as last listed, None before the first list.
        self.up_machines: list[Machine] | None = None
        #: Pools in which something may be placed.
        self.changed = True
        #: Set once the platform refused an order because of the fence.
        self.deposed = ""

    def queue_of(self, stored: Queue, version: int) -> Queue:
        """Return the queue that applies to a job.

        :param stored: the queue at its acceptance.
        :param version: version of the manifest that it is from.
        """
        if self.manifest.version < version:
            return stored
        return self.manifest.queues.get(stored.name, stored)

    def may_start(self) -> bool:
        """Return whether tasks may be started.

        While the store is away a lease can't be proved, and nobody else can
        take over either. A coordinator that has been replaced is told so by
        the fence of the first worker that its successor has reached, and
        the successor waits for workers that it does not reach.
        """
        return self.proven(self.settings.jobs.grace_s)

    def touch(self) -> None:
        """Note that a placement may have become possible."""
        self.changed = True

    @property
    def hold_s(self) -> float:
        """Return the length of a hold."""
        jobs = self.settings.jobs
        return min(jobs.hold_s, jobs.max_hold_ms / 1000)

    @property
    def takeover_end_s(self) -> float:
        """Return when holds of earlier terms have certainly run out."""
        slow_s = self.hold_s / CLOCK_SLOWNESS
        return self.term.began_s + slow_s + LAPSE_MARGIN_S

    def unreached_alive(self, pool: str) -> bool:
        """Return whether a live worker of a pool has not been reached.

        The coordinator before may still reach it, and start tasks there.
        """
        now_s = self.clock()
        return any(
            worker.entry.pool == pool
            and worker.fence != self.term.fence
            and not worker.gone
            and now_s - worker.registered_s < ALIVE_S
            for worker in self.workers.values()
        )

    def unseen_workers(self, pool: str) -> bool:
        """Return whether a pool may have a worker that was not looked at.

        Entries of the registry lapse while the store is away and are back
        seconds later, so the list of machines counts too.
        """
        if not self.registry_read or self.up_machines is None:
            return True
        seen = set()
        for worker in self.workers.values():
            if worker.gone or worker.entry.pool != pool:
                continue
            if worker.fence != self.term.fence:
                return True
            seen.add(worker.entry.machine)
            seen.add(worker.id)
        return any(
            machine.pool == pool
            and machine.name not in seen
            and machine.worker not in seen
            for machine in self.up_machines
        )
