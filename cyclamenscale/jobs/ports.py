"""Ports of the job subsystem: the store, the workers and the machines.

All calls are made from the event loop's thread and return futures. The
adapters are in :mod:`cyclamenscale.platform`; the tests use the doubles in
``test/jobs/world.py``.
"""

from abc import ABC, abstractmethod
from concurrent.futures import Future
from typing import NamedTuple

from cyclamenscale.jobs.model import WaveRecord, WorkerRecord
from cyclamenscale.store.port import Compare, Delete, Put


class StartOrder(NamedTuple):
    """An order to start a task.

    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar payload: the job's payload.
    :ivar deadline_ms: end of the task lease, on the worker's clock.
    :ivar fence: fencing token of the leader.
    :ivar checkpoint: checkpoint to resume from, or empty.
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
    :ivar fence: fencing token of the leader.
    """

    task: str
    run: int
    fence: int


class ThrottleOrder(NamedTuple):
    """An order to throttle a run to a share of its full speed.

    :ivar task: name of the task.
    :ivar run: number of the run.
    :ivar percent: share of the full speed, 0 to 100.
    :ivar fence: fencing token of the leader.
    """

    task: str
    run: int
    percent: int
    fence: int


class PollRequest(NamedTuple):
    """A poll of a worker's runs that may renew their task lease.

    :ivar fence: fencing token of the leader.
    :ivar acknowledged_end: number of the last reported end that is stored.
    :ivar deadline_ms: new end of the task lease, on the worker's clock; 0
        to leave the lease unchanged.
    :ivar wait_ms: how long the worker may delay its response until a run
        ends; 0 for an immediate poll.
    """

    fence: int
    acknowledged_end: int
    deadline_ms: int = 0
    wait_ms: int = 0


class OrderResponse(NamedTuple):
    """A worker's response to an order.

    :ivar accepted: whether the worker accepts the order.
    :ivar reason: reason of a refusal, one of ``fence``, ``old``, ``late``,
        ``room``, ``ticket``, ``other_life``, ``unhealthy``, ``bad``.
    :ivar clock_ms: time of the worker's clock, 0 if not reported.
    :ivar resent: whether the transport sent the order twice, so that the
        worker may have carried out another copy before.
    """

    accepted: bool
    reason: str = ""
    clock_ms: int = 0
    resent: bool = False


class WorkerCalls(ABC):
    """Calls to workers.

    Futures fail with :class:`cyclamenscale.errors.CallError`.
    """

    @abstractmethod
    def start(self, worker: WorkerRecord, order: StartOrder) -> Future:
        """Start a task; the result is an :class:`OrderResponse`."""

    @abstractmethod
    def stop(self, worker: WorkerRecord, order: StopOrder) -> Future:
        """Stop a run; the result is an :class:`OrderResponse`."""

    @abstractmethod
    def throttle(self, worker: WorkerRecord, order: ThrottleOrder) -> Future:
        """Throttle a run; the result is an :class:`OrderResponse`."""

    @abstractmethod
    def poll(
        self,
        worker: WorkerRecord,
        request: PollRequest,
        new_connection: bool = False,
    ) -> Future:
        """Read the state of a worker's runs and renew their lease.

        The future's result is a
        :class:`cyclamenscale.jobs.model.WorkerReport`, or an
        :class:`OrderResponse` with the reason of a refusal.

        :param new_connection: don't reuse an open connection.
        """

    @abstractmethod
    def advise(
        self, step: str, workers: list[str], expected_ms: int
    ) -> Future:
        """Request placement tickets for a step.

        The future's result is a dictionary of worker id to ticket, or None
        if the advice service is busy.

        :param expected_ms: time that an idle service takes for the call.
        """


class MachineCalls(ABC):
    """Calls to the platform's machine API.

    Futures fail with :class:`cyclamenscale.errors.CallError`.
    """

    @abstractmethod
    def list_machines(self) -> Future:
        """List the machines; the result is None if that is refused."""

    @abstractmethod
    def move(self, machine: str, pool: str, holder: str, fence: int) -> Future:
        """Move a machine to another pool.

        The future's result is the reason of a refusal, empty on success.
        """

    @abstractmethod
    def start_maintenance(
        self, machine: str, wave: int, holder: str, fence: int
    ) -> Future:
        """Take a machine down for maintenance.

        The future's result is the reason of a refusal, empty on success.
        """

    @abstractmethod
    def report_wave(
        self, wave: int, record: WaveRecord, fence: int, revision: int
    ) -> Future:
        """Report a wave's progress, if the fencing token is still valid.

        The future's result is a ``TxnResult``; it fails like those of
        :class:`StoreCalls`.

        :param revision: revision of the record that is replaced, 0 if there
            is none. A report that is stored late then replaces no newer one.
        """


class StoreCalls(ABC):
    """Non-blocking calls to the platform's key-value store.

    Futures fail with :class:`cyclamenscale.errors.StoreUnavailableError`
    if the call had no effect, and with :class:`StoreAnswerLostError` if it
    may have taken effect or may still do so.
    """

    @abstractmethod
    def read(self, key: str) -> Future:
        """Read one key linearizably; the result is a ``KeyValue`` or None."""

    @abstractmethod
    def read_range(self, prefix: str) -> Future:
        """Read all keys under a prefix.

        The future's result is a ``RangeResult`` with the revision of the
        first page, from which a watch can continue.
        """

    @abstractmethod
    def watch(self, prefix: str, after: int, wait_ms: int) -> Future:
        """Wait for changes after a revision.

        The future's result is a ``WatchEvent``. It may also fail with
        :class:`cyclamenscale.errors.CompactedError`.

        :param wait_ms: how long the store may wait for a change.
        """

    @abstractmethod
    def txn(self, compares: list[Compare], writes: list[Put | Delete]):
        """Apply all writes if all comparisons hold.

        The future's result is a ``TxnResult``.

        :param compares: comparisons; at most 32 together with the writes.
        """

    @abstractmethod
    def grant_lease(self, ttl_ms: int) -> Future:
        """Grant a lease; the result is its id."""

    @abstractmethod
    def renew_lease(self, lease: int) -> Future:
        """Renew a lease; the result is False if it has expired."""

    @abstractmethod
    def revoke_lease(self, lease: int) -> Future:
        """Revoke a lease; the keys attached to it are deleted."""
