"""Scheduler's side of the slot protocol of one pool; no threads, no I/O."""

from random import Random

from cyclamenscale.members.messages import GrantBatch, GrantItem, SlotBatch
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.requests.scheduling import PoolScheduler
from cyclamenscale.requests.slot_client import PoolView
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: An entry with waiting requests gets a batch, if only an empty one, within
#: this share of ``fallback_s``.
RESPONSE_SHARE = 0.25
#: A reset is requested from an entry that uses slots and has sent nothing for
#: this long, because its last batch may have been lost.
MAX_SILENCE_S = 10.0


class EntryState:
    """Protocol state of an entry whose requests are scheduled here."""

    __slots__ = (
        "epoch",
        "received_sequence",
        "sequence",
        "last_received_s",
        "response_due_s",
    )

    def __init__(self, epoch: int, received_sequence: int, now_s: float):
        """Initialise with the epoch and sequence of a reset."""
        self.epoch = epoch
        self.received_sequence = received_sequence
        self.sequence = 0
        self.last_received_s = now_s
        #: Latest time to send it a batch, None if it expects none.
        self.response_due_s: float | None = None


class SlotRole:
    """Scheduler of one pool and its messages to and from the entries.

    :param settings: settings of the entry.
    :param pool: name of the pool.
    :param clock: monotonic clock in seconds.
    :param rng: breaks ties between endpoints.
    :param runtimes: the entry's run time estimates.
    """

    def __init__(
        self,
        settings: Settings,
        pool: str,
        clock: Clock,
        rng: Random,
        runtimes: RunTimeEstimator,
    ):
        """Initialise with no entries."""
        self.settings = settings
        self.name = settings.entry.name
        self.pool = pool
        self.clock = clock
        self.scheduler = PoolScheduler(settings, clock, rng, runtimes)
        self.entries: dict[str, EntryState] = {}
        self.reset_requests: dict[str, int] = {}

    def update(self, view: PoolView) -> None:
        """Apply a view of the pool; remove entries that are not alive."""
        for entry in [name for name in self.entries if name not in view.alive]:
            del self.entries[entry]
            self.scheduler.remove_entry(entry)
        self.scheduler.update_classes(view.targets)
        self.scheduler.update_entries(view.centres)
        self.scheduler.update_endpoints(view.endpoints, view.allowed)

    def handle_batch(self, batch: SlotBatch) -> None:
        """Process a batch of an entry.

        A batch that is not the next one in sequence is ignored, and a reset
        is requested from the entry.
        """
        now_s = self.clock()
        entry = batch.sender
        state = self.entries.get(entry)
        if batch.reset:
            state = EntryState(batch.epoch, batch.sequence, now_s)
            state.response_due_s = now_s
            self.entries[entry] = state
            self.reset_requests.pop(entry, None)
            self.scheduler.reset(
                entry, batch.epoch, batch.requests, batch.in_use
            )
            return
        if (
            state is None
            or batch.epoch != state.epoch
            or batch.sequence != state.received_sequence + 1
        ):
            self.reset_requests[entry] = batch.epoch
            return
        state.received_sequence = batch.sequence
        state.last_received_s = now_s
        for item in batch.released:
            self.scheduler.finish(entry, item, learn=entry != self.name)
        for number in batch.cancelled:
            self.scheduler.cancel(entry, number)
        for request in batch.requests:
            self.scheduler.add(entry, batch.epoch, request)
        expects_response = batch.requests or not (
            batch.released or batch.cancelled
        )
        if state.response_due_s is None and expects_response:
            fallback_s = self.settings.scheduling.fallback_s
            state.response_due_s = now_s + RESPONSE_SHARE * fallback_s

    def next_batches(self) -> list[tuple[str, GrantBatch]]:
        """Return the batches to send: grants, responses, reset requests."""
        now_s = self.clock()
        grants: dict[str, list[GrantItem]] = {}
        for entry, grant in self.scheduler.assign_slots():
            grants.setdefault(entry, []).append(grant)
        head_slack_ms = self.scheduler.head_slack_ms()
        messages = []
        for entry, epoch in self.reset_requests.items():
            messages.append(
                (entry, GrantBatch(self.name, self.pool, 0, [], epoch))
            )
        self.reset_requests.clear()
        for entry, state in self.entries.items():
            given = grants.get(entry, [])
            response_due = (
                state.response_due_s is not None
                and state.response_due_s <= now_s
            )
            if not given and not response_due:
                continue
            state.sequence += 1
            state.response_due_s = None
            messages.append(
                (
                    entry,
                    GrantBatch(
                        self.name,
                        self.pool,
                        state.epoch,
                        given,
                        state.sequence,
                        head_slack_ms,
                    ),
                )
            )
        return messages

    def demand(self) -> float:
        """Return the pool's demand in slots.

        :returns: slots in use, plus the slots needed to finish the waiting
            work within its targets.
        """
        scheduler = self.scheduler
        used = len(scheduler.running) + len(scheduler.duplicate_grants)
        return used + sum(
            len(queue.requests)
            * scheduler.runtimes.quantiles(queue.name, queue.target_ms).mean_ms
            / queue.target_ms
            for queue in scheduler.ordered_queues
            if queue.requests and queue.target_ms > 0
        )

    def long_work(self) -> dict[str, int]:
        """Return the number of long requests in progress, by endpoint."""
        return {
            name: slots.long_used
            for name, slots in self.scheduler.spots.items()
            if slots.long_used
        }

    def request_missing_resets(self) -> None:
        """Request a reset from silent entries that use slots."""
        now_s = self.clock()
        silent = {
            entry: state.epoch
            for entry, state in self.entries.items()
            if now_s - state.last_received_s > MAX_SILENCE_S
        }
        if not silent:
            return
        holders = {key.entry for key in self.scheduler.running}
        for entry, epoch in silent.items():
            if entry in holders:
                self.reset_requests[entry] = epoch
                self.entries[entry].last_received_s = now_s
