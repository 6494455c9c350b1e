"""Versions of the queues that an entry has seen, oldest first.

A queue may get another pool while its jobs have runs. They keep running on
workers of the old pool, so a leader that takes over has to ask the workers of
all pools in which an earlier leader may have started them. It may also get
another name: callers know only the address at which they submit jobs.
"""

from collections.abc import Iterator
from typing import NamedTuple

from cyclamenscale.jobs.model import Manifest, Queue

#: Versions of the queues that are kept. Jobs accepted under an earlier one
#: count as possibly started in any pool.
MAX_VERSIONS = 16


class QueueVersion(NamedTuple):
    """Queues whose names, addresses and pools one or more manifests share.

    :ivar since: version of the first of these manifests.
    :ivar by_name: the queues of the last of them by name.
    :ivar by_address: the same queues by host and prefix.
    """

    since: int
    by_name: dict[str, Queue]
    by_address: dict[tuple[str, str], Queue]

    def find(self, earlier: Queue) -> Queue:
        """Return what a queue of an earlier version has become.

        It is the queue at the same address, whatever its name, or the one of
        the same name at another address. A queue that was removed stays as
        it was.
        """
        address = (earlier.host, earlier.prefix)
        return self.by_address.get(address) or self.by_name.get(
            earlier.name, earlier
        )

    def has_routing_of(self, other: "QueueVersion") -> bool:
        """Return whether names, addresses and pools are the same."""
        return routing(self.by_name) == routing(other.by_name)


class QueueHistory:
    """The queues since the oldest manifest that was seen in a row.

    :param manifest: the first known manifest, None if there is none yet.
    """

    def __init__(self, manifest: Manifest | None = None):
        """Initialise with the first manifest."""
        self.versions: list[QueueVersion] = []
        self.newest = -1
        if manifest:
            self.observe(manifest)

    def observe(self, manifest: Manifest, complete: bool = True) -> None:
        """Add a manifest, unless it is older than the newest known one.

        :param complete: whether all manifests since the newest known one
            were observed. A full read shows only the last of them.
        """
        if manifest.version <= self.newest:
            return
        if not complete:
            self.versions.clear()
        self.newest = manifest.version
        by_address = {
            (queue.host, queue.prefix): queue
            for queue in manifest.queues.values()
        }
        found = QueueVersion(manifest.version, manifest.queues, by_address)
        if self.versions and found.has_routing_of(self.versions[-1]):
            found = found._replace(since=self.versions.pop().since)
        self.versions.append(found)
        del self.versions[:-MAX_VERSIONS]

    def later_queues(self, stored: Queue, version: int) -> Iterator[Queue]:
        """Yield what a queue was in each version since a manifest.

        :param stored: the queue as of that manifest.
        :param version: version of the manifest.
        """
        ends = [found.since for found in self.versions[1:]]
        for found, end in zip(self.versions, [*ends, None], strict=True):
            if end is None or version < end:
                stored = found.find(stored)
                yield stored

    def find(self, stored: Queue, version: int) -> Queue:
        """Return the current settings of a queue.

        :param stored: the queue as of an earlier manifest.
        :param version: version of that manifest.
        :returns: the stored queue if no known manifest is newer than that
            one, or if the queue was removed.
        """
        if self.newest <= version:
            return stored
        *_, current = self.later_queues(stored, version)
        return current

    def pools_since(
        self, stored: Queue, version: int
    ) -> frozenset[str] | None:
        """Return the pools that a queue had since a version of the manifest.

        :param stored: the queue as of that version.
        :returns: names of the pools; None if they are not all known.
        """
        if not self.versions or version < self.versions[0].since:
            return None
        later = self.later_queues(stored, version)
        return frozenset((stored.pool, *(queue.pool for queue in later)))


def routing(queues: dict[str, Queue]) -> dict[str, tuple[str, str, str]]:
    """Return the address and the pool of each queue, by its name."""
    return {
        name: (queue.host, queue.prefix, queue.pool)
        for name, queue in queues.items()
    }
