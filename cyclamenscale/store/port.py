"""Port of the platform's key-value service.

Adapters implement :class:`Store` and register under a name with
:func:`adapter`; :func:`open_store` makes the one that the settings name.
Revisions are the store's: each write transaction raises the store's
revision by one, and a key's ``mod_revision`` is that of its last write.
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
    :ivar lease: id of the lease the key hangs on, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


class Compare(NamedTuple):
    """A condition of a transaction: the key's revision is as expected.

    :ivar key: the key.
    :ivar mod_revision: expected ``mod_revision``; 0 means "is absent".
    """

    key: str
    mod_revision: int


class Put(NamedTuple):
    """Write a key.

    :ivar key: the key.
    :ivar value: the value, at most a megabyte.
    :ivar lease: id of the lease it hangs on, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class Delete(NamedTuple):
    """Delete a key.

    :ivar key: the key.
    """

    key: str


class TxnResult(NamedTuple):
    """What a transaction did.

    :ivar succeeded: whether all comparisons held and the writes were made.
    :ivar revision: the store's revision after the transaction.
    :ivar current: on failure, the compared keys that exist, by key.
    """

    succeeded: bool
    revision: int
    current: dict[str, KeyValue]


class RangeResult(NamedTuple):
    """Keys under a prefix, as of one revision.

    :ivar revision: the store's revision at the read.
    :ivar items: the keys in ascending order.
    :ivar more: whether keys were left out because of the limit.
    """

    revision: int
    items: list[KeyValue]
    more: bool = False


class WatchEvent(NamedTuple):
    """Changes seen by a watch, all of them up to a revision.

    :ivar revision: every change up to it has been delivered.
    :ivar changed: keys written or, with ``value`` empty and
        ``create_revision`` 0, deleted.
    """

    revision: int
    changed: list[KeyValue]


class Watch(ABC):
    """An open watch; belongs to the thread that iterates over it."""

    @abstractmethod
    def events(self) -> Iterator[WatchEvent]:
        """Yield events; an event without changes is a progress report.

        Reports come at least every second while the watch is healthy.

        :raises StoreUnavailableError: if the watch ended or fell silent
            for longer than the settings allow.
        :raises CompactedError: if the start revision is too old.
        """

    @abstractmethod
    def close(self) -> None:
        """End the watch; may be called from another thread."""


class Store(ABC):
    """The calls that the system uses of a key-value service.

    Every call raises :class:`StoreUnavailableError` if it certainly took no
    effect; calls that write raise :class:`StoreAnswerLostError` if they may
    have taken effect. All may be called from several threads.
    """

    @abstractmethod
    def get(self, key: str) -> tuple[int, KeyValue | None]:
        """Read one key (linearizable).

        :returns: the store's revision, and the key if it exists.
        """

    @abstractmethod
    def range(
        self, prefix: str, limit: int = 0, start: str = ""
    ) -> RangeResult:
        """Read all keys under a prefix (linearizable).

        :param prefix: prefix of the keys.
        :param limit: at most so many keys, 0 for all.
        :param start: first key to return, at or after the prefix.
        """

    @abstractmethod
    def txn(
        self,
        compares: list[Compare],
        writes: list[Put | Delete],
    ) -> TxnResult:
        """Make all writes if all comparisons hold, else none.

        :param compares: at most 128 conditions.
        :param writes: at most 128 writes.
        """

    @abstractmethod
    def lease_grant(self, ttl_s: int) -> int:
        """Make a lease.

        :param ttl_s: time to live in seconds.
        :returns: its id.
        """

    @abstractmethod
    def lease_keep_alive(self, lease_id: int) -> int:
        """Renew a lease.

        :returns: the time to live that is left, in seconds.
        :raises LeaseLostError: if it has expired.
        """

    @abstractmethod
    def lease_revoke(self, lease_id: int) -> None:
        """End a lease and delete the keys that hang on it."""

    @abstractmethod
    def watch(self, prefix: str, from_revision: int) -> Watch:
        """Watch the keys under a prefix.

        :param prefix: prefix of the keys.
        :param from_revision: first revision to deliver.
        """

    @abstractmethod
    def call_counts(self) -> dict[str, int]:
        """Return how many calls were made, by name, for ``status``."""


StoreFactory = Callable[..., Store]

ADAPTERS: dict[str, StoreFactory] = {}


def adapter(name: str) -> Callable[[StoreFactory], StoreFactory]:
    """Register a store adapter; it is called with the whole settings.

    :param name: value of ``[store] adapter`` that selects it.
    """

    def register(factory: StoreFactory) -> StoreFactory:
        ADAPTERS[name] = factory
        return factory

    return register


def open_store(settings) -> Store:
    """Make the store that the settings name.

    :param settings: :class:`cyclamenscale.settings.Settings`.
    :raises FieldError: if no adapter has that name.
    """
    name = settings.store.adapter
    if name not in ADAPTERS:
        raise FieldError(
            "store.adapter", name, "one of " + ", ".join(sorted(ADAPTERS))
        )
    return ADAPTERS[name](settings)
