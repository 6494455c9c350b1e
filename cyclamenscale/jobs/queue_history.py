"""Versions of the queues that an entry has seen, oldest first.

A queue may get another pool while its jobs have runs. They keep running on
workers of the old pool, so a leader that takes over has to ask the workers of
all pools in which an earlier leader may have started them.
"""

from typing import NamedTuple

from cyclamenscale.jobs.model import Manifest, Queue

#: Versions of the queues that are kept. Jobs accepted under an earlier one
#: count as possibly started in any pool.
MAX_VERSIONS = 16


class QueueVersion(NamedTuple):
    """Queues that stayed in the same pools for one or more manifests.

    :ivar since: version of the first of these manifests.
    :ivar queues: the queues by name.
    """

    since: int
    queues: dict[str, Queue]


class QueueHistory:
    """The pools that queues had since the oldest known manifest.

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
        known = self.versions[-1].queues if self.versions else None
        if known is None or pools_of(known) != pools_of(manifest.queues):
            self.versions.append(
                QueueVersion(manifest.version, manifest.queues)
            )
            del self.versions[:-MAX_VERSIONS]

    def pools_since(
        self, stored: Queue, version: int
    ) -> frozenset[str] | None:
        """Return the pools that a queue had since a version of the manifest.

        :param stored: the queue as of that version.
        :returns: names of the pools; None if they are not all known.
        """
        if not self.versions or version < self.versions[0].since:
            return None
        pools = {stored.pool}
        ends = [found.since for found in self.versions[1:]]
        for found, end in zip(self.versions, [*ends, None], strict=True):
            if end is None or version < end:
                pools.add(found.queues.get(stored.name, stored).pool)
        return frozenset(pools)


def pools_of(queues: dict[str, Queue]) -> dict[str, str]:
    """Return the pool of each queue, by the queue's name."""
    return {name: queue.pool for name, queue in queues.items()}
