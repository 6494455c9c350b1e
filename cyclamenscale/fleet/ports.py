"""Port of the platform's instance list and instance actions.

The list lags: an instance may have left, or be leaving, for some seconds
before the list shows it. Adapters implement :class:`Platform` and register
under a name with :func:`platform_adapter`.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from cyclamenscale.errors import FieldError


class PlatformInstance(NamedTuple):
    """An instance as the platform's list shows it.

    :ivar name: unique name.
    :ivar address: ``host:port`` of its HTTP server.
    :ivar data_centre: failure domain.
    :ivar rack: failure domain within the data centre.
    :ivar slots: how many requests it runs at once.
    :ivar leaving: whether it is about to stop.
    :ivar version: software version it runs.
    """

    name: str
    address: str
    data_centre: str
    rack: str
    slots: int = 8
    leaving: bool = False
    version: str = ""


class InstanceStatus(NamedTuple):
    """State of one instance, read from the platform without lag.

    :ivar name: name of the instance.
    :ivar running: whether its server is up.
    :ivar in_progress: requests that it is running now.
    :ivar version: software version it runs.
    :ivar last_action: id of the last action it completed, or empty.
    """

    name: str
    running: bool
    in_progress: int
    version: str = ""
    last_action: str = ""


class Platform(ABC):
    """The calls that the system uses of the platform."""

    @abstractmethod
    def list_instances(self) -> list[PlatformInstance]:
        """Read the lagging list.

        :raises PlatformUnavailableError: if there is no answer.
        """

    @abstractmethod
    def status(self, instance: str) -> InstanceStatus:
        """Read the state of one instance.

        :raises PlatformUnavailableError: if there is no answer.
        :raises NotFoundError: if the platform does not know it.
        """

    @abstractmethod
    def reboot(
        self, instance: str, version: str, action_id: str, fence: int
    ) -> None:
        """Reboot an instance, with another version if one is given.

        The same action id is carried out once, however often it is sent.

        :param instance: name of the instance.
        :param version: version to run from then on, empty for no change.
        :param action_id: unique id of the action.
        :param fence: fencing token of the pool's controller.
        :raises StaleFenceError: if the platform has seen a higher token for
            the instance's pool.
        :raises PlatformUnavailableError: if there is no answer; the action
            may have been taken and can be sent again.
        """


PLATFORM_ADAPTERS: dict[str, Callable[..., Platform]] = {}


def platform_adapter(name: str) -> Callable:
    """Register a platform adapter; it is called with the whole settings.

    :param name: value of ``[platform] adapter`` that selects it.
    """

    def register(factory: Callable[..., Platform]) -> Callable[..., Platform]:
        PLATFORM_ADAPTERS[name] = factory
        return factory

    return register


def open_platform(settings) -> Platform:
    """Make the platform that the settings name.

    :param settings: :class:`cyclamenscale.settings.Settings`.
    :raises FieldError: if no adapter has that name.
    """
    name = settings.platform.adapter
    if name not in PLATFORM_ADAPTERS:
        allowed = "one of " + ", ".join(sorted(PLATFORM_ADAPTERS))
        raise FieldError("platform.adapter", name, allowed)
    return PLATFORM_ADAPTERS[name](settings)


class Resources(NamedTuple):
    """An amount of what workers have and tasks use.

    :ivar processors: processor cores.
    :ivar memory_gb: memory in gigabytes.
    :ivar accelerators: whole accelerators.
    """

    processors: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.processors + other.processors,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; parts of it may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Resources") -> bool:
        """Return whether the room has this much of each resource."""
        return (
            self.processors <= available.processors
            and self.memory_gb <= available.memory_gb
            and self.accelerators <= available.accelerators
        )


class PlatformWorker(NamedTuple):
    """A worker as the platform's lagging list shows it.

    :ivar name: unique name, the same as that of its instance record.
    :ivar data_centre: failure domain.
    :ivar rack: failure domain within the data centre.
    :ivar capacity: what it has in total.
    :ivar leaving: whether it is about to stop.
    """

    name: str
    data_centre: str
    rack: str
    capacity: Resources
    leaving: bool = False


class TaskOrder(NamedTuple):
    """What a worker needs to know to start a task.

    :ivar task: id of the task, ``POOL/JOB/ATTEMPT``.
    :ivar kind: kind of the job.
    :ivar allocated: what the worker sets aside for it.
    :ivar resume: whether it continues from a checkpoint of the job.
    :ivar lease_s: the worker ends the task if its lease is not renewed
        for this time.
    """

    task: str
    kind: str
    allocated: Resources
    resume: bool
    lease_s: float


class TaskReport(NamedTuple):
    """A task as a worker reports it, running or ended.

    :ivar task: id of the task.
    :ivar state: ``running``, ``done``, ``failed``, ``checkpointed`` or
        ``lapsed`` (its lease was not renewed).
    :ivar used: what it uses, or used most before its end.
    :ivar share: share of its processors that a throttle leaves it.
    """

    task: str
    state: str
    used: Resources
    share: float = 1.0


class WorkerReport(NamedTuple):
    """A worker's usage report; it may be some seconds old.

    :ivar worker: name of the worker.
    :ivar taken_s: when it was taken, by the platform's clock.
    :ivar tasks: its running tasks, and ended ones that were not stopped.
    """

    worker: str
    taken_s: float
    tasks: tuple[TaskReport, ...]


class WorkerPlatform(ABC):
    """The calls that placement uses of the platform.

    The same action id is carried out once, however often it is sent. Each
    action raises :class:`StaleFenceError` if the worker has seen a higher
    token of the task's pool, :class:`NotFoundError` if the platform does
    not know the worker, and :class:`PlatformUnavailableError` if there is
    no answer; the action may then have been taken and can be sent again.
    """

    @abstractmethod
    def list_workers(self) -> list[PlatformWorker]:
        """Read the lagging list.

        :raises PlatformUnavailableError: if there is no answer.
        """

    @abstractmethod
    def usage(self, workers: list[str]) -> list[WorkerReport]:
        """Read the lagging reports of some workers.

        :param workers: names; those without a report are left out.
        :raises PlatformUnavailableError: if there is no answer.
        """

    @abstractmethod
    def renew_tasks(self, pool: str, fence: int) -> None:
        """Renew the leases of all tasks of a pool."""

    @abstractmethod
    def start_task(
        self, worker: str, order: TaskOrder, action_id: str, fence: int
    ) -> None:
        """Start a task.

        :raises TaskRefusedError: if the worker does not take it; the task
            did not run.
        """

    @abstractmethod
    def checkpoint_task(
        self, worker: str, task: str, action_id: str, fence: int
    ) -> None:
        """Save a task's progress and end it."""

    @abstractmethod
    def throttle_task(
        self, worker: str, task: str, share: float, action_id: str, fence: int
    ) -> None:
        """Leave a task a share of its processors, 1 for all of them."""

    @abstractmethod
    def stop_task(
        self, worker: str, task: str, action_id: str, fence: int
    ) -> None:
        """End a task, drop it from the reports and refuse a later start."""
