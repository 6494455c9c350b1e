"""The configuration as one entry has applied it.

The table does no input or output. It distinguishes two revisions:
``covered`` is the store revision up to which every change of the
configuration has been applied, and ``view.revision`` is the newest revision
of a change that the table has applied or acknowledged. Entries report
``view.revision`` to their peers; the receiver compares it with its own
``covered``. Reporting ``covered`` would be just as safe, but it grows with
every claim written to the store, so that entries would always seem to be
behind each other.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from threading import Condition
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from cyclamenscale.configuration.validation import RECORD_TYPES
from cyclamenscale.errors import FieldError
from cyclamenscale.members.messages import ConfigChange
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import (
    CLASS_PREFIX,
    INSTANCE_PREFIX,
    MEMBERS_KEY,
    POOL_PREFIX,
    ConfigView,
    MemberList,
)
from cyclamenscale.settings import Settings
from cyclamenscale.util.codec import decode_record

#: Number of buckets that keys are divided into, for digests.
BUCKET_COUNT = 256


def bucket_of(key: str) -> int:
    """Return the number of a key's bucket."""
    return xxh3_64_intdigest(key.encode()) % BUCKET_COUNT


class ApplyResult(NamedTuple):
    """Result of applying changes to the table.

    :ivar changed: number of keys that changed.
    :ivar revision: revision of the view afterwards.
    """

    changed: int
    revision: int


class ConfigTable:
    """The configuration as one entry has applied it.

    All public methods are thread-safe. ``view`` is replaced as a whole and
    may be read without the lock.

    :param settings: ``[peers] log_limit`` bounds the log and the number of
        tombstones.
    :param metrics: counters ``config.*`` of dropped tombstones, dropped log
        entries and undecodable records.
    """

    def __init__(self, settings: Settings, metrics: Metrics | None = None):
        """Initialise with an empty configuration."""
        self.log_limit = settings.peers.log_limit
        self.metrics = metrics
        self.view = ConfigView()
        # Guards all fields but the reference to the view; notified when a
        # revision increases.
        self.revision_grown = Condition()
        self.covered = 0
        self.items: dict[str, ConfigChange] = {}
        self.buckets: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self.tombstones: OrderedDict[str, int] = OrderedDict()
        # A change at or below this revision is ignored if its key is neither
        # in items nor in tombstones: the key has been deleted since.
        self.deletion_horizon = 0
        self.log: deque[ConfigChange] = deque()
        # The log contains every change above this revision.
        self.log_start_revision = 0

    def apply(
        self, changes: Iterable[ConfigChange], upto: int, after: int = -1
    ) -> ApplyResult:
        """Apply changes in the order of their revisions.

        :param changes: changed keys.
        :param upto: revision up to which the changes are complete.
        :param after: revision above which the changes are complete, as in a
            delta; ``upto`` then counts only if this table already covers
            ``after``. -1 for changes that continue a watch.
        """
        with self.revision_grown:
            changed = []
            for change in sorted(changes, key=lambda each: each.revision):
                if self.apply_change(change, self.deletion_horizon):
                    changed.append(change)
                    self.append_to_log(change)
            if after <= self.covered:
                self.covered = max(self.covered, upto)
            newest = max((change.revision for change in changed), default=0)
            return self.publish_view(changed, newest)

    def load(self, items: Iterable[ConfigChange], upto: int) -> ApplyResult:
        """Apply a complete read of the configuration.

        Keys that are absent from it were deleted at or before its revision;
        their tombstones get that revision, as an upper bound of the revision
        of the deletion.

        :param items: all keys that exist.
        :param upto: store revision of the read.
        """
        with self.revision_grown:
            if upto < self.covered:
                return ApplyResult(0, self.view.revision)
            changed = self.replace_keys(set(self.items), items, upto)
            if upto > self.covered:
                # Intermediate changes are unknown, so deltas cannot start
                # below this revision. This holds even if the read changed
                # nothing: a key may have been created and deleted in
                # between, and a peer may have applied the creation only.
                self.log.clear()
                self.log_start_revision = upto
            self.covered = upto
            self.deletion_horizon = max(self.deletion_horizon, upto)
            newest = max((change.revision for change in changed), default=0)
            return self.publish_view(changed, newest)

    def repair(
        self,
        contents: dict[int, tuple[int, list[ConfigChange]]],
        upto: int,
    ) -> ApplyResult:
        """Replace the buckets whose digest differs from that of a peer.

        :param contents: revision and items of each of these buckets, from
            the peer.
        :param upto: revision of the digests, not above the revisions of the
            buckets.
        """
        with self.revision_grown:
            if upto < self.covered:
                return ApplyResult(0, self.view.revision)
            changed = []
            for number, (revision, items) in contents.items():
                keys = set(self.buckets[number])
                changed += self.replace_keys(keys, items, revision)
            self.covered = upto
            self.deletion_horizon = max(self.deletion_horizon, upto)
            self.log.clear()
            self.log_start_revision = upto
            newest = max((change.revision for change in changed), default=0)
            return self.publish_view(changed, newest)

    def acknowledge(self, revision: int) -> bool:
        """Acknowledge a revision if it is covered; return whether it is.

        The view's revision is raised to it: a member that has acknowledged a
        revision must not report a lower one to an entry that checks its
        freshness.

        :param revision: revision of a change of the configuration.
        """
        with self.revision_grown:
            if revision > self.covered:
                return False
            self.publish_view([], revision)
            return True

    def wait(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision is covered.

        :returns: whether it was covered before the timeout.
        """
        with self.revision_grown:
            return self.revision_grown.wait_for(
                lambda: self.covered >= revision, timeout_s
            )

    def changes_after(
        self, after: int, limit_bytes: int
    ) -> tuple[bool, int, list[ConfigChange]]:
        """Return the changes above a revision, up to a total size.

        :param after: revision that the requesting entry covers.
        :param limit_bytes: limit of the total size of keys and values.
        :returns: whether the log reaches back to ``after``, the revision
            covered after applying the changes, and the changes.
        """
        with self.revision_grown:
            if after < self.log_start_revision:
                return False, after, []
            found = sorted(
                (each for each in self.log if each.revision > after),
                key=lambda each: each.revision,
            )
            # A requesting entry that is ahead of this one gets no changes.
            upto = max(self.covered, after)
        selected: list[ConfigChange] = []
        size_bytes = 0
        for change in found:
            size_bytes += len(change.key) + len(change.value) + 32
            # The changes of a transaction share a revision and must not be
            # split.
            last = selected[-1].revision if selected else change.revision
            if size_bytes > limit_bytes and change.revision > last:
                return True, last, selected
            selected.append(change)
        return True, upto, selected

    def digests(self) -> tuple[int, list[int]]:
        """Return the covered revision and the digest of each bucket."""
        with self.revision_grown:
            return self.covered, [
                xxh3_64_intdigest(
                    "\n".join(
                        f"{key} {self.items[key].revision}"
                        for key in sorted(keys)
                    ).encode()
                )
                for keys in self.buckets
            ]

    def bucket_items(self, number: int) -> tuple[int, list[ConfigChange]]:
        """Return the covered revision and the items of a bucket."""
        with self.revision_grown:
            return self.covered, [
                self.items[key] for key in sorted(self.buckets[number])
            ]

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if the key does not exist."""
        with self.revision_grown:
            found = self.items.get(key)
            return found.revision if found else 0

    def replace_keys(
        self, keys: set[str], items: Iterable[ConfigChange], revision: int
    ) -> list[ConfigChange]:
        """Replace keys by complete contents and return the changes applied.

        The lock must be held.

        :param keys: keys that are deleted if they are not in the contents.
        :param items: the complete contents.
        :param revision: revision of the contents.
        """
        listed = {item.key: item for item in items}
        deletions = [
            ConfigChange(key, b"", revision)
            for key in keys - listed.keys()
            if self.items[key].revision <= revision
        ]
        changes = [*listed.values(), *deletions]
        return [change for change in changes if self.apply_change(change, 0)]

    def apply_change(
        self, change: ConfigChange, deletion_horizon: int
    ) -> bool:
        """Apply a change if it is newer than the table's; hold the lock.

        :param deletion_horizon: revision at or below which a change of a key
            without an item or tombstone is ignored.
        :returns: whether the change was applied.
        """
        key, value, revision = change
        item = self.items.get(key)
        current = item.revision if item else self.tombstones.get(key)
        if revision <= (deletion_horizon if current is None else current):
            return False
        if value:
            self.items[key] = change
            self.buckets[bucket_of(key)].add(key)
            self.tombstones.pop(key, None)
            return True
        self.items.pop(key, None)
        self.buckets[bucket_of(key)].discard(key)
        self.tombstones[key] = revision
        self.tombstones.move_to_end(key)
        if len(self.tombstones) > self.log_limit:
            _, dropped = self.tombstones.popitem(last=False)
            self.deletion_horizon = max(self.deletion_horizon, dropped)
            self.count("config.tombstones_dropped")
        return True

    def append_to_log(self, change: ConfigChange) -> None:
        """Append a change to the bounded log; the lock must be held."""
        self.log.append(change)
        if len(self.log) > self.log_limit:
            dropped = self.log.popleft()
            self.log_start_revision = max(
                self.log_start_revision, dropped.revision
            )
            self.count("config.log_dropped")

    def publish_view(
        self, changed: list[ConfigChange], revision: int
    ) -> ApplyResult:
        """Replace the view and wake waiting threads; hold the lock."""
        view = self.view
        revision = max(revision, view.revision)
        if changed:
            view = self.updated_view(view, changed)
        if changed or revision != view.revision:
            self.view = view._replace(revision=revision)
        self.revision_grown.notify_all()
        return ApplyResult(len(changed), revision)

    def updated_view(
        self, view: ConfigView, changed: list[ConfigChange]
    ) -> ConfigView:
        """Return a view with the changed keys; the lock must be held."""
        records = {
            CLASS_PREFIX: dict(view.classes),
            POOL_PREFIX: dict(view.pools),
            INSTANCE_PREFIX: dict(view.instances),
        }
        members, members_revision = view.members, view.members_revision
        for key, value, revision in changed:
            prefix = key[: key.rfind("/") + 1]
            name = key[len(prefix) :]
            try:
                if key == MEMBERS_KEY:
                    members = MemberList()
                    if value:
                        members = decode_record(value, MemberList, key)
                    members_revision = revision
                elif prefix in records and not value:
                    records[prefix].pop(name, None)
                elif prefix in records:
                    record_type = RECORD_TYPES[prefix.split("/")[1]]
                    records[prefix][name] = decode_record(
                        value, record_type, key
                    )
            except FieldError:
                # The last valid record remains in force.
                self.count("config.undecodable")
        return view._replace(
            classes=records[CLASS_PREFIX],
            pools=records[POOL_PREFIX],
            instances=records[INSTANCE_PREFIX],
            members=members,
            members_revision=members_revision,
        )

    def count(self, name: str) -> None:
        """Increment a counter, if metrics are enabled."""
        if self.metrics:
            self.metrics.incr(name)
