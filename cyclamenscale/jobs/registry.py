"""Watches the workers' registrations for a coordinator."""

from collections.abc import Callable

from loguru import logger

from cyclamenscale.errors import FieldError
from cyclamenscale.jobs.coordinator import Coordinator
from cyclamenscale.jobs.model import WorkerRecord
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.jobs.watches import PrefixWatch
from cyclamenscale.store.port import KeyValue
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import Loop

Decode = Callable[[str, bytes], WorkerRecord]


class WorkerRegistry:
    """Watch of the workers' registrations during one term.

    :param store: the store.
    :param prefix: prefix of the registrations.
    :param decode: decodes a registration, given the worker's id.
    :param wait_ms: maximum duration of one watch call.
    :param coordinator: notified of new, changed and removed workers.
    :param on_change: called after changes.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreCalls,
        events: EventLog,
        prefix: str,
        decode: Decode,
        wait_ms: int,
        coordinator: Coordinator,
        on_change: Callable[[], None],
    ):
        """Start the watch."""
        self.events = events
        self.prefix = prefix
        self.decode = decode
        self.coordinator = coordinator
        self.on_change = on_change
        self.watch = PrefixWatch(
            loop, store, events, prefix, self.replace, self.apply, wait_ms
        )
        self.watch.start()

    def stop(self) -> None:
        """Stop the watch at the end of the term."""
        self.watch.stop()

    def replace(self, items: list[KeyValue], revision: int) -> None:
        """Apply a full read of the registrations."""
        state = self.coordinator.state
        names = {item.key.removeprefix(self.prefix) for item in items}
        for worker in set(state.registry) - names:
            self.coordinator.unregister_worker(worker)
        state.registry_read = True
        self.apply(items, revision)

    def apply(self, items: list[KeyValue], revision: int) -> None:
        """Apply changes of registrations."""
        for item in items:
            worker = item.key.removeprefix(self.prefix)
            record = self.read_record(worker, item)
            if record:
                self.coordinator.register_worker(record)
            else:
                self.coordinator.unregister_worker(worker)
        self.on_change()

    def read_record(self, worker: str, item: KeyValue) -> WorkerRecord | None:
        """Return the registration of a worker, or None if there is none.

        Programs other than the workers may write here, too. An entry that
        can't be read names no worker, and must not keep this entry from the
        ones behind it.
        """
        if not item.create_revision:
            return None
        try:
            return self.decode(worker, item.value)
        except FieldError as error:
            reason = str(error)
        except Exception as error:
            logger.exception(f"registration {item.key[:200]!r} can't be read")
            reason = repr(error)
        self.events.note("worker.unreadable", worker=worker, reason=reason)
        return None
