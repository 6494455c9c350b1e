"""Handing a freed slot to the next request of the same entry.

While work of the most urgent class waits at the scheduler, an entry hands a
slot that becomes free directly to its own next request of that class, if
this one's turn is near by the slack the scheduler last reported. That saves
the slot from idling for two message delays and one message. Requests of
other classes always go through the scheduler, so the order of the classes
and the share of long work hold.
"""

from typing import NamedTuple

from cyclamenscale.members.messages import DoneItem, GrantItem
from cyclamenscale.requests.queues import ClassQueue, RequestKey
from cyclamenscale.util.clock import Clock

#: How long the reported slack is used. Without new grants in this time the
#: queue may be empty, or long work may be starved.
HEAD_S = 0.5
#: How much more slack than the scheduler's first request a request may have
#: to take over a slot.
AHEAD_S = 0.1
#: A grant crosses a hand-over within milliseconds; this many are kept.
HANDED_LIMIT = 1000
#: While the most urgent work queues anyway, messages that free no slot may
#: wait this long for others to share a frame with; so may all that ask for
#: no slot while many are free.
HOLD_S = 0.045


class Ask(NamedTuple):
    """A waiting request."""

    class_name: str
    deadline_s: float
    exclude: tuple[str, ...]


class Hold(NamedTuple):
    """A request on a slot."""

    class_name: str
    endpoint: str
    since_s: float


class HandOver:
    """Waiting and running requests of an entry, and what is to be sent.

    :param name: name of the entry.
    :param clock: monotonic seconds.
    """

    def __init__(self, name: str, clock: Clock):
        """Start without requests."""
        self.name = name
        self.clock = clock
        self.scheduler = ""
        self.waiting: dict[int, Ask] = {}
        self.running: dict[int, Hold] = {}
        self.wants: dict[int, None] = {}
        self.done: list[DoneItem] = []
        self.cancelled: list[int] = []
        self.queues: dict[str, ClassQueue] = {}
        #: Class with the shortest target, whose slots may be handed over.
        self.urgent = ""
        #: Deadline at the scheduler's head and when it was reported.
        self.head_deadline_s = 0.0
        self.head_s = float("-inf")
        #: When the scheduler last reported that many slots are free.
        self.ample_s = float("-inf")
        #: Endpoints of slots of the most urgent class whose end is held.
        self.freed: dict[int, str] = {}
        #: Class of requests that took over a slot; a grant for them may be
        #: under way.
        self.handed: dict[int, str] = {}
        #: Since when a message that is not urgent waits.
        self.held_s: float | None = None
        self.whole: set[str] = set()
        self.counts: dict[str, int] = {}

    def decide(self, grant: GrantItem) -> None:
        """Take over one decision."""
        raise NotImplementedError

    def heir(self, class_name: str | None, endpoint: str) -> int:
        """Return the request that takes over a slot, 0 for none."""
        now_s = self.clock()
        queue = self.queues.get(class_name)
        if (
            queue is None
            or class_name != self.urgent
            or self.scheduler == self.name
            or not self.pressed()
            or endpoint not in self.whole
        ):
            return 0
        head = queue.head()
        if head is None:
            return 0
        number = head.key.number
        # The head of the scheduler's queue moves on about as time does.
        limit_s = self.head_deadline_s + now_s - self.head_s + AHEAD_S
        if (
            number in self.wants
            or endpoint in head.exclude
            or head.deadline_s > limit_s
        ):
            return 0
        return number

    def pressed(self) -> bool:
        """Return whether the most urgent work queues at the scheduler."""
        return self.clock() - self.head_s <= HEAD_S

    def ample(self) -> bool:
        """Return whether the scheduler has many free slots."""
        return self.clock() - self.ample_s <= HEAD_S

    def hold(self, urgent: bool) -> None:
        """Note since when something waits to be sent."""
        if urgent:
            self.held_s = float("-inf")
        elif self.held_s is None:
            self.held_s = self.clock()

    def due_in_s(self) -> float:
        """Return when held messages must be sent, in seconds from now."""
        if self.held_s is None:
            return float("inf")
        return self.held_s + HOLD_S - self.clock()

    def pass_on(self, grant: GrantItem) -> None:
        """Use a slot whose request no longer waits, or give it back."""
        class_name = self.handed.pop(grant.number, None)
        number = -grant.number if class_name else grant.number
        heir = self.heir(class_name, grant.endpoint)
        if heir:
            self.hand_over(heir, grant.endpoint)
        else:
            self.count("given_back")
        self.done.append(DoneItem(number, 0, False, heir))
        self.hold(not heir)

    def hand_over(self, number: int, endpoint: str) -> None:
        """Let a request take over a slot."""
        self.count("handed_over")
        self.handed[number] = self.waiting[number].class_name
        if len(self.handed) > HANDED_LIMIT:
            del self.handed[next(iter(self.handed))]
        self.decide(GrantItem(number, endpoint))

    def reuse(self, number: int, ask: Ask) -> bool:
        """Let a new request take over a slot whose end was not sent yet.

        Ends are held while many slots are free, so that no other request
        waits for the slot.
        """
        if ask.class_name != self.urgent or not self.ample():
            return False
        for place, item in enumerate(self.done):
            endpoint = self.freed.get(item.number)
            if (
                endpoint in self.whole
                and endpoint not in ask.exclude
                and not item.next
            ):
                self.done[place] = item._replace(next=number)
                self.hand_over(number, endpoint)
                return True
        return False

    def drop(self, number: int) -> Ask | None:
        """Remove a waiting request."""
        ask = self.waiting.pop(number, None)
        if ask is not None:
            self.queues[ask.class_name].remove(RequestKey(self.name, number))
        return ask

    def count(self, name: str, count: int = 1) -> None:
        """Add to a counter; the owner reports them."""
        self.counts[name] = self.counts.get(name, 0) + count
