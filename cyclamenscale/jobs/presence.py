"""Publishes the address and the capacity of this entry to its peers.

The records are attached to a lease of their own, so that the store removes
them after the process ends.
"""

from concurrent.futures import Future

from cyclamenscale.jobs.keys import (
    entry_capacity_key,
    entry_key,
    lead_request_key,
)
from cyclamenscale.jobs.model import EntryCapacity, EntryRecord
from cyclamenscale.jobs.ports import StoreCalls
from cyclamenscale.store.port import Put
from cyclamenscale.util.codec import encode_record
from cyclamenscale.util.events import EventLog
from cyclamenscale.util.loop import Loop

#: Duration of the record's lease, and interval between its renewals. Peers
#: detect a silent entry by themselves; the lease only removes its records.
LEASE_TTL_MS = 10000
RENEWAL_INTERVAL_S = 3.0

#: Delay after a failed call.
RETRY_DELAY_S = 1.0


class Presence:
    """Keeps the entry's records in the store while it runs.

    :param loop: timers.
    :param store: the store.
    :param name: name of this entry.
    :param record: location of this entry.
    :param capacity: capacity of this entry.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreCalls,
        events: EventLog,
        name: str,
        record: EntryRecord,
        capacity: EntryCapacity,
    ):
        """Initialise without a lease; :meth:`start` obtains one."""
        self.loop = loop
        self.store = store
        self.events = events
        self.name = name
        self.record = record
        self.capacity = capacity
        self.lease = 0
        self.stopped = False

    def start(self) -> None:
        """Obtain a new lease, then write the records."""
        if not self.stopped:
            granted = self.store.grant_lease(LEASE_TTL_MS)
            granted.add_done_callback(self.handle_grant)

    def stop(self) -> None:
        """Remove the records from the store."""
        self.stopped = True
        if self.lease:
            ended = self.store.revoke_lease(self.lease)
            ended.add_done_callback(self.log_failure)

    def request_lead(self) -> None:
        """Write a request to lead, removed with the records."""
        if self.lease and not self.stopped:
            put = Put(lead_request_key(self.name), b"1", self.lease)
            written = self.store.txn([], [put])
            written.add_done_callback(self.log_failure)

    def handle_grant(self, done: Future) -> None:
        """Write the records under the new lease."""
        if self.log_failure(done):
            self.loop.call_later(RETRY_DELAY_S, self.start)
            return
        self.lease = done.result()
        records = {
            entry_key(self.name): self.record,
            entry_capacity_key(self.name): self.capacity,
        }
        puts = [
            Put(key, encode_record(record), self.lease)
            for key, record in records.items()
        ]
        self.store.txn([], puts).add_done_callback(self.handle_write)

    def handle_write(self, done: Future) -> None:
        """Schedule the first renewal of the lease."""
        if self.log_failure(done):
            self.loop.call_later(RETRY_DELAY_S, self.start)
        else:
            self.loop.call_later(RENEWAL_INTERVAL_S, self.renew)

    def renew(self) -> None:
        """Renew the lease."""
        if not self.stopped:
            self.store.renew_lease(self.lease).add_done_callback(
                self.handle_renewal
            )

    def handle_renewal(self, done: Future) -> None:
        """Schedule the next renewal; start again if the lease ended."""
        if self.log_failure(done):
            self.loop.call_later(RETRY_DELAY_S, self.renew)
        elif done.result():
            self.loop.call_later(RENEWAL_INTERVAL_S, self.renew)
        else:
            self.start()

    def log_failure(self, done: Future) -> bool:
        """Log a call if it failed; return whether it did."""
        error = done.exception()
        if error:
            self.events.note("presence.failed", reason=str(error))
        return error is not None
