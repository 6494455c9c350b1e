"""Ports to the platform that runs the instances and the workers.

The platform's lists lag: an instance may have left, or be leaving, for some
seconds before the list shows it. Adapters implement :class:`Platform` and
register under a name with :func:`platform_adapter`.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from cyclamenscale.errors import FieldError


class PlatformInstance(NamedTuple):
    """An instance as the platform's lagging list shows it.

    :ivar name: unique name.
    :ivar address: ``host:port`` of its HTTP server.
    :ivar data_centre: failure domain.
    :ivar rack: failure domain within the data centre.
    :ivar slots: number of requests that it runs concurrently.
    :ivar leaving: whether it is about to stop.
    :ivar version: software version that it runs.
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
    :ivar in_progress: number of requests in progress.
    :ivar version: software version that it runs.
    :ivar last_action: id of the last action that it completed, or empty.
    """

    name: str
    running: bool
    in_progress: int
    version: str = ""
    last_action: str = ""


class Platform(ABC):
    """Interface to the platform that lists and reboots the instances."""

    @abstractmethod
    def list_instances(self) -> list[PlatformInstance]:
        """Read the lagging list of instances.

        :raises PlatformUnavailableError: if there is no response.
        """

    @abstractmethod
    def status(self, instance: str) -> InstanceStatus:
        """Read the current state of one instance.

        :raises PlatformUnavailableError: if there is no response.
        :raises NotFoundError: if the platform has no such instance.
        """

    @abstractmethod
    def reboot(
        self, instance: str, version: str, action_id: str, fence: int
    ) -> None:
        """Reboot an instance, with another version if one is given.

        Idempotent: an action id is carried out once, however often it is
        sent.

        :param instance: name of the instance.
        :param version: version to install, empty for no change.
        :param action_id: unique id of the action.
        :param fence: fencing token of the pool's controller.
        :raises StaleFenceError: if the platform has received a higher token
            for the instance's pool.
        :raises NotFoundError: if the platform has no such instance.
        :raises PlatformUnavailableError: if there is no response; the
            action may have been carried out, and can be sent again.
        """


PLATFORM_ADAPTERS: dict[str, Callable[..., Platform]] = {}


def platform_adapter(name: str) -> Callable:
    """Register a platform adapter; it is called with the entry's settings.

    :param name: value of ``[platform] adapter`` that selects it.
    """

    def register(factory: Callable[..., Platform]) -> Callable[..., Platform]:
        PLATFORM_ADAPTERS[name] = factory
        return factory

    return register


def open_platform(settings) -> Platform:
    """Create the platform adapter that the settings select.

    :param settings: :class:`cyclamenscale.settings.Settings`.
    :raises FieldError: if no adapter has that name.
    """
    name = settings.platform.adapter
    if name not in PLATFORM_ADAPTERS:
        allowed = "one of " + ", ".join(sorted(PLATFORM_ADAPTERS))
        raise FieldError("platform.adapter", name, allowed)
    return PLATFORM_ADAPTERS[name](settings)


class Resources(NamedTuple):
    """An amount of each resource that workers provide and tasks use.

    :ivar processors: number of processor cores.
    :ivar memory_gb: memory in gigabytes.
    :ivar accelerators: number of whole accelerators.
    """

    processors: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of each resource."""
        return Resources(
            self.processors + other.processors,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference of each resource, which may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Resources") -> bool:
        """Return whether this much of each resource is available."""
        return (
            self.processors <= available.processors
            and self.memory_gb <= available.memory_gb
            and self.accelerators <= available.accelerators
        )


class PlatformWorker(NamedTuple):
    """A worker as the platform's lagging list shows it.

    :ivar name: unique name, which is also the name of its instance record.
    :ivar data_centre: failure domain.
    :ivar rack: failure domain within the data centre.
    :ivar capacity: total resources.
    :ivar leaving: whether it is about to stop.
    """

    name: str
    data_centre: str
    rack: str
    capacity: Resources
    leaving: bool = False


class TaskOrder(NamedTuple):
    """Order to a worker to start a task.

    :ivar task: id of the task, ``POOL/JOB/ATTEMPT``.
    :ivar kind: kind of the job.
    :ivar allocated: resources that the worker reserves for the task.
    :ivar resume: whether the task continues from a checkpoint of the job.
    :ivar lease_s: the worker ends the task if its lease is not renewed
        for this time, in seconds.
    """

    task: str
    kind: str
    allocated: Resources
    resume: bool
    lease_s: float


class TaskReport(NamedTuple):
    """State of a running or ended task as its worker reports it.

    :ivar task: id of the task.
    :ivar state: ``running``, ``done``, ``failed``, ``checkpointed`` or
        ``lapsed`` (its lease expired).
    :ivar used: resources that it uses or, once ended, its peak use.
    :ivar share: share of its processors that it may use, below 1 while it
        is throttled.
    """

    task: str
    state: str
    used: Resources
    share: float = 1.0


class WorkerReport(NamedTuple):
    """A worker's usage report; it may be some seconds old.

    :ivar worker: name of the worker.
    :ivar taken_s: time of the report, by the platform's clock.
    :ivar tasks: running tasks, and ended tasks for which no
        :meth:`WorkerPlatform.stop_task` was received.
    """

    worker: str
    taken_s: float
    tasks: tuple[TaskReport, ...]


class WorkerPlatform(ABC):
    """Interface to the platform that runs tasks on workers.

    Actions are idempotent: an action id is carried out once, however often
    it is sent. Each action raises :class:`StaleFenceError` if the worker has
    received a higher token for the task's pool, :class:`NotFoundError` if
    the platform has no such worker, and :class:`PlatformUnavailableError`
    if there is no response; the action may then have been carried out, and
    can be sent again.
    """

    @abstractmethod
    def list_workers(self) -> list[PlatformWorker]:
        """Read the lagging list of workers.

        :raises PlatformUnavailableError: if there is no response.
        """

    @abstractmethod
    def usage(self, workers: list[str]) -> list[WorkerReport]:
        """Read the lagging usage reports of some workers.

        :param workers: names of the workers; those without a report are
            left out of the result.
        :raises PlatformUnavailableError: if there is no response.
        """

    @abstractmethod
    def renew_tasks(self, pool: str, fence: int) -> None:
        """Renew the leases of all tasks of a pool."""

    @abstractmethod
    def start_task(
        self, worker: str, order: TaskOrder, action_id: str, fence: int
    ) -> None:
        """Start a task.

        :raises TaskRefusedError: if the worker rejects the task, which then
            did not run.
        """

    @abstractmethod
    def checkpoint_task(
        self, worker: str, task: str, action_id: str, fence: int
    ) -> None:
        """Save a checkpoint of a task and end it."""

    @abstractmethod
    def throttle_task(
        self, worker: str, task: str, share: float, action_id: str, fence: int
    ) -> None:
        """Limit a task to a share of its processors; 1 lifts the limit."""

    @abstractmethod
    def stop_task(
        self, worker: str, task: str, action_id: str, fence: int
    ) -> None:
        """End a task, drop it from the reports and reject a later start."""
