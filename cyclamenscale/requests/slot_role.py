"""The scheduler's side of one pool's slots, without threads and I/O."""

from random import Random

from cyclamenscale.members.messages import GrantBatch, GrantItem, SlotBatch
from cyclamenscale.requests.runtimes import RunTimeEstimator
from cyclamenscale.requests.scheduling import PoolScheduler
from cyclamenscale.requests.slot_client import PoolView
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

#: Share of ``fallback_s`` within which an entry whose requests wait gets at
#: least an empty answer.
ANSWER_SHARE = 0.25
#: An entry that holds slots and is silent for this long is asked for a
#: reset, because its last batch may have been lost.
SILENT_S = 10.0


class Member:
    """An entry whose requests are scheduled here."""

    __slots__ = ("epoch", "heard", "sequence", "heard_s", "answer_s")

    def __init__(self, epoch: int, heard: int, now_s: float):
        """Start after a reset."""
        self.epoch = epoch
        self.heard = heard
        self.sequence = 0
        self.heard_s = now_s
        #: When it gets an answer at the latest, None if it expects none.
        self.answer_s: float | None = None


class SlotRole:
    """Scheduler of one pool and its exchange with the entries.

    :param settings: the whole settings.
    :param pool: the pool.
    :param clock: monotonic seconds.
    :param rng: breaks ties between endpoints.
    :param runtimes: the entry's learned run times.
    """

    def __init__(
        self,
        settings: Settings,
        pool: str,
        clock: Clock,
        rng: Random,
        runtimes: RunTimeEstimator,
    ):
        """Start without entries."""
        self.settings = settings
        self.name = settings.entry.name
        self.pool = pool
        self.clock = clock
        self.scheduler = PoolScheduler(settings, clock, rng, runtimes)
        self.members: dict[str, Member] = {}
        self.asks: dict[str, int] = {}

    def update(self, view: PoolView) -> None:
        """Take over a view of the pool; forget entries that died."""
        for entry in [name for name in self.members if name not in view.alive]:
            del self.members[entry]
            self.scheduler.remove_entry(entry)
        self.scheduler.update_classes(view.targets)
        self.scheduler.update_entries(view.centres)
        self.scheduler.update_endpoints(view.endpoints, view.allowed)

    def take(self, batch: SlotBatch) -> None:
        """Take over what an entry sent.

        A batch that does not follow the one before it leads to a request
        for a reset, and is ignored.
        """
        now_s = self.clock()
        entry = batch.sender
        member = self.members.get(entry)
        if batch.reset:
            member = Member(batch.epoch, batch.sequence, now_s)
            member.answer_s = now_s
            self.members[entry] = member
            self.asks.pop(entry, None)
            self.scheduler.reset(
                entry, batch.epoch, batch.wants, batch.holding
            )
            return
        if (
            member is None
            or batch.epoch != member.epoch
            or batch.sequence != member.heard + 1
        ):
            self.asks[entry] = batch.epoch
            return
        member.heard = batch.sequence
        member.heard_s = now_s
        for item in batch.done:
            self.scheduler.finish(entry, item, learn=entry != self.name)
        for number in batch.cancelled:
            self.scheduler.cancel(entry, number)
        for want in batch.wants:
            self.scheduler.add(entry, batch.epoch, want)
        asks = batch.wants or not (batch.done or batch.cancelled)
        if member.answer_s is None and asks:
            fallback_s = self.settings.scheduling.fallback_s
            member.answer_s = now_s + ANSWER_SHARE * fallback_s

    def batches(self) -> list[tuple[str, GrantBatch]]:
        """Return what is to be sent: grants, answers, requests for resets."""
        now_s = self.clock()
        grants: dict[str, list[GrantItem]] = {}
        for entry, grant in self.scheduler.assign_slots():
            grants.setdefault(entry, []).append(grant)
        head_ms = self.scheduler.head_slack_ms()
        sent = []
        for entry, epoch in self.asks.items():
            sent.append(
                (entry, GrantBatch(self.name, self.pool, 0, [], epoch))
            )
        self.asks.clear()
        for entry, member in self.members.items():
            given = grants.get(entry, [])
            late = member.answer_s is not None and member.answer_s <= now_s
            if not given and not late:
                continue
            member.sequence += 1
            member.answer_s = None
            sent.append(
                (
                    entry,
                    GrantBatch(
                        self.name,
                        self.pool,
                        member.epoch,
                        given,
                        member.sequence,
                        head_ms,
                    ),
                )
            )
        return sent

    def demand(self) -> float:
        """Return the pool's demand in slots.

        :returns: slots in use, and those that clear the waiting work within
            its targets.
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
        """Return the long requests in progress, by endpoint."""
        return {
            name: spot.long_used
            for name, spot in self.scheduler.spots.items()
            if spot.long_used
        }

    def check_silent(self) -> None:
        """Ask entries that hold slots and are silent for a reset."""
        now_s = self.clock()
        silent = {
            entry: member.epoch
            for entry, member in self.members.items()
            if now_s - member.heard_s > SILENT_S
        }
        if not silent:
            return
        holders = {key.entry for key in self.scheduler.running}
        for entry, epoch in silent.items():
            if entry in holders:
                self.asks[entry] = epoch
                self.members[entry].heard_s = now_s
