"""Endpoints of each pool: instance records merged with the platform's list.

The record determines the pool, and whether an instance may get work. The
list adds address, failure domains and slots. The list lags and may be
unavailable, so the last one is kept, and signals from other sources
(``outliers.py``) exclude endpoints that it still shows.
"""

from typing import NamedTuple

from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.model import ConfigView, Endpoint
from cyclamenscale.util.clock import Clock


class DirectoryView(NamedTuple):
    """A snapshot of the directory; replaced as a whole.

    :ivar revision: configuration revision of the snapshot.
    :ivar by_name: endpoints that may get new work, by name.
    :ivar by_pool: the same endpoints by pool, sorted by name.
    :ivar leaving: names that the list or the record shows as leaving, with
        their pools.
    :ivar unlisted: names that have a record but are not in the list.
    """

    revision: int = -1
    by_name: dict[str, Endpoint] = {}
    by_pool: dict[str, tuple[Endpoint, ...]] = {}
    leaving: dict[str, str] = {}
    unlisted: frozenset[str] = frozenset()


def merge(
    config: ConfigView, instances: dict[str, PlatformInstance]
) -> DirectoryView:
    """Merge the instance records with the platform's list.

    An instance gets new work only if its record is ``live``, its pool
    exists, and the list shows it without ``leaving``.

    :param config: the applied configuration.
    :param instances: the platform's list by name.
    """
    by_name: dict[str, Endpoint] = {}
    pools: dict[str, list[Endpoint]] = {name: [] for name in config.pools}
    leaving: dict[str, str] = {}
    unlisted = set()
    for name, record in sorted(config.instances.items()):
        listed = instances.get(name)
        if listed is None:
            unlisted.add(name)
            continue
        if record.state != "live" or listed.leaving:
            leaving[name] = record.pool
            continue
        if record.pool not in pools or listed.slots < 1:
            continue
        endpoint = Endpoint(
            name,
            record.pool,
            listed.address,
            listed.data_centre,
            listed.rack,
            listed.slots,
        )
        by_name[name] = endpoint
        pools[record.pool].append(endpoint)
    by_pool = {name: tuple(members) for name, members in pools.items()}
    return DirectoryView(
        config.revision, by_name, by_pool, leaving, frozenset(unlisted)
    )


class Directory:
    """The current merge of instance records and platform list.

    Only one thread at a time may update it; any thread may read ``view``.

    :param clock: monotonic seconds.
    :ivar view: the current snapshot, replaced as a whole.
    """

    def __init__(self, clock: Clock):
        """Initialise with no endpoints."""
        self.clock = clock
        self.config = ConfigView()
        self.instances: dict[str, PlatformInstance] = {}
        self.listed_at_s: float | None = None
        self.view = DirectoryView()

    def update_config(self, config: ConfigView) -> bool:
        """Apply a configuration.

        :returns: whether the view was replaced; a configuration older than
            the current one is ignored.
        """
        if config.revision < self.config.revision:
            return False
        self.config = config
        self.view = merge(self.config, self.instances)
        return True

    def update_list(self, instances: list[PlatformInstance]) -> None:
        """Apply a list from the platform.

        :param instances: the whole list; a name that occurs twice counts as
            leaving if one of its items does.
        """
        by_name: dict[str, PlatformInstance] = {}
        for instance in instances:
            previous = by_name.get(instance.name)
            if previous is None or not previous.leaving:
                by_name[instance.name] = instance
        self.listed_at_s = self.clock()
        if by_name == self.instances:
            return
        self.instances = by_name
        self.view = merge(self.config, self.instances)

    def list_age_s(self) -> float | None:
        """Return the age of the list, None if none was received yet."""
        if self.listed_at_s is None:
            return None
        return self.clock() - self.listed_at_s

    def endpoints(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool that may get new work."""
        return self.view.by_pool.get(pool, ())

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint that may get new work, by its name."""
        return self.view.by_name.get(name)
