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
