"""Ports of the job subsystem: the store, the workers and the machines.

All calls are made by the event loop's thread and return futures; adapters
are in :mod:`cyclamenscale.platform` and, for tests, in
:mod:`cyclamenscale.standin`.
"""

from abc import ABC, abstractmethod
from concurrent.futures import Future
from typing import NamedTuple

from cyclamenscale.jobs.model import WaveRecord, WorkerEntry
from cyclamenscale.store.port import Compare, Delete, Put


class StartOrder(NamedTuple):
    """An order to start a task.

    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar payload: the job's payload.
    :ivar deadline_ms: on the worker's clock, end of the hold.
    :ivar fence: fencing token of the holder.
    :ivar checkpoint: progress to start from, or empty.
    :ivar ticket: placement ticket, or empty.
    """

    task: str
    run: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(NamedTuple):
    """An order to stop a run.

    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar fence: fencing token of the holder.
    """

    task: str
    run: int
    fence: int


class PaceOrder(NamedTuple):
    """An order to let a run work at a share of its speed.

    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar percent: the share, 0 to 100.
    :ivar fence: fencing token of the holder.
    """

    task: str
    run: int
    percent: int
    fence: int


class HoldOrder(NamedTuple):
    """An order to keep what runs, and to report.

    :ivar fence: fencing token of the holder.
    :ivar acknowledged: number of the last end that is stored.
    :ivar deadline_ms: on the worker's clock, new end of the hold; 0 to
        leave it.
    :ivar wait_ms: how long the worker may wait for an end.
    """

    fence: int
    acknowledged: int
    deadline_ms: int = 0
    wait_ms: int = 0


class OrderAnswer(NamedTuple):
    """A worker's answer to an order.

    :ivar accepted: whether it carries the order out.
    :ivar reason: if not, one of ``fence``, ``old``, ``late``, ``room``,
        ``ticket``, ``other_life``, ``unhealthy``, ``bad``.
    :ivar clock_ms: the worker's clock, 0 if not told.
    """

    accepted: bool
    reason: str = ""
    clock_ms: int = 0


class WorkerCalls(ABC):
    """Orders to workers.

    Futures fail with :class:`cyclamenscale.errors.CallError`.
    """

    @abstractmethod
    def start(self, worker: WorkerEntry, order: StartOrder) -> Future:
        """Start a task; an :class:`OrderAnswer`."""

    @abstractmethod
    def stop(self, worker: WorkerEntry, order: StopOrder) -> Future:
        """Stop a run; an :class:`OrderAnswer`."""

    @abstractmethod
    def pace(self, worker: WorkerEntry, order: PaceOrder) -> Future:
        """Pace a run; an :class:`OrderAnswer`."""

    @abstractmethod
    def hold(
        self, worker: WorkerEntry, order: HoldOrder, fresh: bool = False
    ) -> Future:
        """Hold what runs, and look.

        The future's result is a
        :class:`cyclamenscale.jobs.model.WorkerReport`, or an
        :class:`OrderAnswer` with the reason of a refusal.

        :param fresh: use a new connection.
        """

    @abstractmethod
    def advise(self, step: str, workers: list[str]) -> Future:
        """Ask for tickets.

        The future's result is a dictionary of worker id to ticket, or None
        if the service is busy.
        """


class MachineCalls(ABC):
    """Orders to the platform about machines.

    Futures fail with :class:`cyclamenscale.errors.CallError`.
    """

    @abstractmethod
    def list_machines(self) -> Future:
        """Read the list; a list of machines, or None if refused."""

    @abstractmethod
    def move(self, machine: str, pool: str, holder: str, fence: int) -> Future:
        """Move a machine; a reason, empty once it is carried out."""

    @abstractmethod
    def upkeep(
        self, machine: str, wave: int, holder: str, fence: int
    ) -> Future:
        """Take a machine down for upkeep; a reason, empty once done."""

    @abstractmethod
    def report_wave(self, wave: int, record: WaveRecord, fence: int) -> Future:
        """Tell of a wave's progress while the fence is in force.

        The future fails as calls of the store do.
        """


class StoreCalls(ABC):
    """The platform's key-value store without blocking.

    Futures fail with :class:`cyclamenscale.errors.StoreUnavailableError`
    if the call took no effect and :class:`StoreAnswerLostError` if it may
    have, now or later.
    """

    @abstractmethod
    def read(self, key: str) -> Future:
        """Read one key (linearizable); a ``KeyValue`` or None."""

    @abstractmethod
    def read_range(self, prefix: str) -> Future:
        """Read all keys under a prefix.

        The future's result is a ``RangeResult`` whose revision is that of
        the first page, to continue watching from.
        """

    @abstractmethod
    def watch(self, prefix: str, after: int, wait_ms: int) -> Future:
        """Wait for changes; a ``WatchEvent``.

        Fails with :class:`cyclamenscale.errors.CompactedError` too.
        """

    @abstractmethod
    def txn(self, compares: list[Compare], writes: list[Put | Delete]):
        """Make all writes if all comparisons hold; a ``TxnResult``.

        :param compares: with the writes, at most 32.
        """

    @abstractmethod
    def grant_lease(self, ttl_ms: int) -> Future:
        """Make a lease; its id."""

    @abstractmethod
    def keep_lease(self, lease: int) -> Future:
        """Renew a lease; False if it has ended."""

    @abstractmethod
    def end_lease(self, lease: int) -> Future:
        """End a lease; the keys that hang on it are removed."""
