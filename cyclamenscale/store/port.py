"""Interface of the platform's key-value service.

Adapters implement :class:`Store` and register under a name with
:func:`adapter`; :func:`open_store` creates the one that the settings select.
Each write transaction increases the revision of the store by one, and the
``mod_revision`` of a key is the store revision of its last write.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cyclamenscale.errors import FieldError


class KeyValue(NamedTuple):
    """A key with its value and revisions.

    :ivar key: the key.
    :ivar value: the value; empty for a deletion.
    :ivar create_revision: revision of the key's creation.
    :ivar mod_revision: revision of the key's last change.
    :ivar lease: id of the lease that the key is attached to, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


class Compare(NamedTuple):
    """A condition of a transaction on the revision of a key.

    :ivar key: the key.
    :ivar mod_revision: expected ``mod_revision``, 0 if the key must not exist.
    """

    key: str
    mod_revision: int


class Put(NamedTuple):
    """A write of a key in a transaction.

    :ivar key: the key.
    :ivar value: the value, at most a megabyte.
    :ivar lease: id of the lease to attach the key to, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class Delete(NamedTuple):
    """A deletion of a key in a transaction.

    :ivar key: the key.
    """

    key: str


class TxnResult(NamedTuple):
    """Result of a transaction.

    :ivar succeeded: whether all comparisons held and the writes were applied.
    :ivar revision: the store's revision after the transaction.
    :ivar current: on failure, the compared keys that exist, by key.
    """

    succeeded: bool
    revision: int
    current: dict[str, KeyValue]


class RangeResult(NamedTuple):
    """Keys under a prefix, as of one revision.

    :ivar revision: the store's revision at the read.
    :ivar items: keys and values in ascending order of the keys.
    :ivar more: whether keys were omitted because of the limit.
    """

    revision: int
    items: list[KeyValue]
    more: bool = False


class WatchEvent(NamedTuple):
    """Changes delivered by a watch.

    :ivar revision: store revision up to which all changes are delivered.
    :ivar changed: keys that were written, or deleted if ``value`` is empty
        and ``create_revision`` is 0.
    """

    revision: int
    changed: list[KeyValue]


class Watch(ABC):
    """A watch; used by one thread, except for :meth:`close`."""

    @abstractmethod
    def events(self) -> Iterator[WatchEvent]:
        """Yield events; an event without changes reports progress.

        While the watch is healthy, events arrive at least every second.

        :raises StoreUnavailableError: if the watch ended or fell silent
            for longer than the settings allow.
        :raises CompactedError: if the start revision is too old.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the watch; may be called from another thread."""


class Store(ABC):
    """Operations of a key-value service; all are thread-safe.

    Every call raises :class:`StoreUnavailableError` if it failed without
    effect; a call that writes raises :class:`StoreAnswerLostError` if it may
    have taken effect.
    """

    @abstractmethod
    def get(self, key: str) -> tuple[int, KeyValue | None]:
        """Read one key (linearizable).

        :returns: the store's revision, and the key with its value, None if
            it does not exist.
        """

    @abstractmethod
    def range(
        self, prefix: str, limit: int = 0, start: str = ""
    ) -> RangeResult:
        """Read all keys under a prefix (linearizable).

        :param prefix: prefix of the keys.
        :param limit: maximum number of keys, 0 for all.
        :param start: first key to return, at or after the prefix.
        """

    @abstractmethod
    def txn(
        self,
        compares: list[Compare],
        writes: list[Put | Delete],
    ) -> TxnResult:
        """Apply all writes if all comparisons hold, else none.

        :param compares: at most 128 conditions.
        :param writes: at most 128 writes.
        """

    @abstractmethod
    def lease_grant(self, ttl_s: int) -> int:
        """Grant a lease.

        :param ttl_s: time to live in seconds.
        :returns: id of the lease.
        """

    @abstractmethod
    def lease_keep_alive(self, lease_id: int) -> int:
        """Renew a lease.

        :returns: the remaining time to live in seconds.
        :raises LeaseLostError: if the lease has expired.
        """

    @abstractmethod
    def lease_revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""

    @abstractmethod
    def watch(self, prefix: str, from_revision: int) -> Watch:
        """Watch the keys under a prefix.

        :param prefix: prefix of the keys.
        :param from_revision: first revision to deliver.
        """

    @abstractmethod
    def call_counts(self) -> dict[str, int]:
        """Return the number of calls by name, for the entry's status."""


StoreFactory = Callable[..., Store]

ADAPTERS: dict[str, StoreFactory] = {}


def adapter(name: str) -> Callable[[StoreFactory], StoreFactory]:
    """Return a decorator that registers a store adapter.

    The adapter is called with the complete settings.

    :param name: value of ``[store] adapter`` that selects the adapter.
    """

    def register(factory: StoreFactory) -> StoreFactory:
        ADAPTERS[name] = factory
        return factory

    return register


def open_store(settings) -> Store:
    """Create the store that the settings select.

    :param settings: :class:`cyclamenscale.settings.Settings`.
    :raises FieldError: if there is no adapter of that name.
    """
    name = settings.store.adapter
    if name not in ADAPTERS:
        raise FieldError(
            "store.adapter", name, "one of " + ", ".join(sorted(ADAPTERS))
        )
    return ADAPTERS[name](settings)
