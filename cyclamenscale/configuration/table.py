"""The table of the configuration as one entry has applied it.

The table is free of input and output. It distinguishes two revisions:
``covered``, the store revision up to which every change of the
configuration has been applied, and ``view.revision``, the newest revision
of a change that the table has applied or acknowledged. Peers report the
second; an entry compares it with the first of its own. Reporting
``covered`` would be just as safe, but it grows with every claim, so that
entries would always be behind each other.
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

BUCKET_COUNT = 256


def bucket_of(key: str) -> int:
    """Return the number of a key's bucket."""
    return xxh3_64_intdigest(key.encode()) % BUCKET_COUNT


class ApplyResult(NamedTuple):
    """What an application to the table did.

    :ivar changed: how many keys changed.
    :ivar revision: revision of the view afterwards.
    """

    changed: int
    revision: int


class ConfigTable:
    """The configuration as one entry has applied it.

    All may be called from several threads. ``view`` is replaced as a whole
    and may be read without the lock.

    :param settings: the whole settings.
    :param metrics: counters of what was dropped.
    """

    def __init__(self, settings: Settings, metrics: Metrics | None = None):
        """Begin empty."""
        self.log_limit = settings.peers.log_limit
        self.metrics = metrics
        self.view = ConfigView()
        # Guards all fields but the reference to the view; notified when a
        # revision grows.
        self.revision_grown = Condition()
        self.covered = 0
        self.items: dict[str, ConfigChange] = {}
        self.buckets: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self.tombstones: OrderedDict[str, int] = OrderedDict()
        # An unknown key at or below this revision was deleted.
        self.deletion_horizon = 0
        self.log: deque[ConfigChange] = deque()
        # The log has every change above this revision.
        self.log_start_revision = 0

    def apply(
        self, changes: Iterable[ConfigChange], upto: int, after: int = -1
    ) -> ApplyResult:
        """Apply changes in the order of their revisions.

        :param changes: changed keys.
        :param upto: with the changes, all up to this revision is known.
        :param after: the changes are complete only above this revision, as
            in a delta; ``upto`` then counts only if this table already
            covers ``after``. -1 for the next part of a watch.
        """
        with self.revision_grown:
            changed = []
            for change in sorted(changes, key=lambda part: part.revision):
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
        their tombstones get that revision, which is an upper bound.

        :param items: all keys that exist.
        :param upto: store revision of the read.
        """
        with self.revision_grown:
            if upto < self.covered:
                return ApplyResult(0, self.view.revision)
            changed = self.replace_keys(set(self.items), items, upto)
            if upto > self.covered:
                # Intermediate changes are unknown, so that deltas cannot
                # begin before this read. That holds even if nothing
                # changed here: a key may have come and gone in between,
                # and a peer may have seen it come.
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
        """Apply the buckets that differ from a peer's digests.

        :param contents: revision and items of each bucket that differed.
        :param upto: revision of the digests; not above the buckets'.
        """
        with self.revision_grown:
            if upto < self.covered:
                return ApplyResult(0, self.view.revision)
            changed = []
            for number, (revision, items) in contents.items():
                known = set(self.buckets[number])
                changed += self.replace_keys(known, items, revision)
            self.covered = upto
            self.deletion_horizon = max(self.deletion_horizon, upto)
            self.log.clear()
            self.log_start_revision = upto
            newest = max((change.revision for change in changed), default=0)
            return self.publish_view(changed, newest)

    def acknowledge(self, revision: int) -> bool:
        """Return whether a revision is covered, and report it from now on.

        A member that has acknowledged a revision must not report a lower
        one to an entry that asks whether it is fresh.

        :param revision: revision of a change of the configuration.
        """
        with self.revision_grown:
            if revision > self.covered:
                return False
            self.publish_view([], revision)
            return True

    def wait(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision is covered.

        :returns: whether it is.
        """
        with self.revision_grown:
            return self.revision_grown.wait_for(
                lambda: self.covered >= revision, timeout_s
            )

    def changes_after(
        self, after: int, limit_bytes: int
    ) -> tuple[bool, int, list[ConfigChange]]:
        """Return the changes above a revision, as far as they fit.

        :param after: revision the asking entry covers.
        :param limit_bytes: bound on the size of keys and values.
        :returns: whether the log reaches back to ``after``, the revision
            reached by applying the changes, and the changes.
        """
        with self.revision_grown:
            if after < self.log_start_revision:
                return False, after, []
            found = sorted(
                (part for part in self.log if part.revision > after),
                key=lambda part: part.revision,
            )
            # An entry that is ahead of this one learns nothing.
            upto = max(self.covered, after)
        taken: list[ConfigChange] = []
        size_bytes = 0
        for change in found:
            size_bytes += len(change.key) + len(change.value) + 32
            # The changes of one transaction share a revision and stay
            # together.
            last = taken[-1].revision if taken else change.revision
            if size_bytes > limit_bytes and change.revision > last:
                return True, last, taken
            taken.append(change)
        return True, upto, taken

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
        """Return the revision of a key, 0 if it does not exist."""
        with self.revision_grown:
            found = self.items.get(key)
            return found.revision if found else 0

    def replace_keys(
        self, known: set[str], items: Iterable[ConfigChange], revision: int
    ) -> list[ConfigChange]:
        """Make known keys equal to complete contents; the lock is held."""
        listed = {item.key: item for item in items}
        gone = [
            ConfigChange(key, b"", revision)
            for key in known - listed.keys()
            if self.items[key].revision <= revision
        ]
        parts = [*listed.values(), *gone]
        return [part for part in parts if self.apply_change(part, 0)]

    def apply_change(self, change: ConfigChange, forgotten: int) -> bool:
        """Apply one change if it is newer; the lock is held.

        :param forgotten: revision below which an unknown key is deleted.
        """
        key, value, revision = change
        held = self.items.get(key)
        known = held.revision if held else self.tombstones.get(key)
        if revision <= (forgotten if known is None else known):
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
            self.increment("config.tombstones_dropped")
        return True

    def append_to_log(self, change: ConfigChange) -> None:
        """Append a change to the log; the lock is held."""
        self.log.append(change)
        if len(self.log) > self.log_limit:
            dropped = self.log.popleft()
            self.log_start_revision = max(
                self.log_start_revision, dropped.revision
            )
            self.increment("config.log_dropped")

    def publish_view(
        self, changed: list[ConfigChange], revision: int
    ) -> ApplyResult:
        """Replace the view and wake up waiting threads; the lock is held."""
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
        """Return a view with changed keys; the lock is held."""
        parts = {
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
                elif prefix in parts and not value:
                    parts[prefix].pop(name, None)
                elif prefix in parts:
                    kind = RECORD_TYPES[prefix.split("/")[1]]
                    parts[prefix][name] = decode_record(value, kind, key)
            except FieldError:
                # The last valid record stays in force.
                self.increment("config.undecodable")
        return view._replace(
            classes=parts[CLASS_PREFIX],
            pools=parts[POOL_PREFIX],
            instances=parts[INSTANCE_PREFIX],
            members=members,
            members_revision=members_revision,
        )

    def increment(self, name: str) -> None:
        """Add one to a counter, if there are metrics."""
        if self.metrics:
            self.metrics.incr(name)
