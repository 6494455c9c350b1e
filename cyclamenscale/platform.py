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


class Platform(ABC):
    """The calls that the system uses of the platform."""

    @abstractmethod
    def list_instances(self) -> list[PlatformInstance]:
        """Read the lagging list.

        :raises PlatformUnavailableError: if there is no answer.
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
