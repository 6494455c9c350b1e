"""Endpoints of each pool: instance records merged with the platform's list.

The record decides the pool, and that an instance may work; the list adds
address, failure domains and slots. The list lags and may be unavailable, so
the last one is kept, and signs from other sources (``outliers.py``) exclude
endpoints that it still shows.
"""

from typing import NamedTuple

from cyclamenscale.fleet.ports import PlatformInstance
from cyclamenscale.model import ConfigView, Endpoint
from cyclamenscale.util.clock import Clock


class DirectoryView(NamedTuple):
    """One state of the directory; replaced as a whole.

    :ivar revision: configuration revision it was made from.
    :ivar by_name: endpoints that may get new work, by name.
    :ivar by_pool: the same endpoints by pool, in the order of their names.
    :ivar leaving: names that the list or the record shows as leaving, with
        their pools.
    :ivar unlisted: names that have a record, but are not in the list.
    """

    revision: int = -1
    by_name: dict[str, Endpoint] = {}
    by_pool: dict[str, tuple[Endpoint, ...]] = {}
    leaving: dict[str, str] = {}
    unlisted: frozenset[str] = frozenset()


def merge(
    config: ConfigView, instances: dict[str, PlatformInstance]
) -> DirectoryView:
    """Merge records and list.

    Only an instance whose record is ``live``, whose pool exists, and which
    the list shows without ``leaving``, gets new work.

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
    """The current merge of records and list.

    Updates come from one thread at a time; ``view`` may be read from any.

    :param clock: monotonic seconds.
    :ivar view: the current state, replaced as a whole.
    """

    def __init__(self, clock: Clock):
        """Start empty."""
        self.clock = clock
        self.config = ConfigView()
        self.instances: dict[str, PlatformInstance] = {}
        self.listed_at_s: float | None = None
        self.view = DirectoryView()

    def update_config(self, config: ConfigView) -> bool:
        """Take a newer configuration.

        :returns: whether the view was replaced; a configuration older than
            the current one is ignored.
        """
        if config.revision < self.config.revision:
            return False
        self.config = config
        self.view = merge(self.config, self.instances)
        return True

    def update_list(self, instances: list[PlatformInstance]) -> None:
        """Take a list of the platform.

        :param instances: the whole list; a name that occurs twice is
            leaving if one of its entries is.
        """
        by_name: dict[str, PlatformInstance] = {}
        for instance in instances:
            known = by_name.get(instance.name)
            if known is None or not known.leaving:
                by_name[instance.name] = instance
        self.listed_at_s = self.clock()
        if by_name == self.instances:
            return
        self.instances = by_name
        self.view = merge(self.config, self.instances)

    def list_age_s(self) -> float | None:
        """Return the age of the list, None if there was none yet."""
        if self.listed_at_s is None:
            return None
        return self.clock() - self.listed_at_s

    def endpoints(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool that may get new work."""
        return self.view.by_pool.get(pool, ())

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint that may get new work, by its name."""
        return self.view.by_name.get(name)
