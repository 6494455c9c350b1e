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
HEAD_VALID_S = 0.5
#: How much more slack than the scheduler's first request a request may have
#: to take over a slot.
HEAD_SLACK_TOLERANCE_S = 0.1
#: A grant crosses a hand-over within milliseconds; this many are kept.
MAX_HANDED_OVER = 1000
#: While the most urgent work queues anyway, messages that free no slot may
#: wait this long for others to share a frame with; so may all that ask for
#: no slot while many are free.
MAX_SEND_DELAY_S = 0.045


class SlotRequest(NamedTuple):
    """A waiting request."""

    class_name: str
    deadline_s: float
    exclude: tuple[str, ...]


class SlotInUse(NamedTuple):
    """A request on a slot."""

    class_name: str
    endpoint: str
    since_s: float


class SlotHandover:
    """Waiting and running requests of an entry, and what is to be sent.

    :param name: name of the entry.
    :param clock: monotonic seconds.
    """

    def __init__(self, name: str, clock: Clock):
        """Start without requests."""
        self.name = name
        self.clock = clock
        self.scheduler = ""
        self.waiting: dict[int, SlotRequest] = {}
        self.running: dict[int, SlotInUse] = {}
        self.unsent_requests: dict[int, None] = {}
        self.unsent_done: list[DoneItem] = []
        self.unsent_cancellations: list[int] = []
        self.queues: dict[str, ClassQueue] = {}
        #: Class with the shortest target, whose slots may be handed over.
        self.most_urgent_class = ""
        #: Deadline at the scheduler's head and when it was reported.
        self.head_deadline_s = 0.0
        self.head_reported_s = float("-inf")
        #: When the scheduler last reported that many slots are free.
        self.spare_reported_s = float("-inf")
        #: Endpoints of slots of the most urgent class whose end is held.
        self.reusable_endpoints: dict[int, str] = {}
        #: Class of requests that took over a slot; a grant for them may be
        #: under way.
        self.handed_over: dict[int, str] = {}
        #: Since when a message that is not urgent waits.
        self.delayed_since_s: float | None = None
        self.fully_allowed: set[str] = set()
        self.counts: dict[str, int] = {}

    def apply_grant(self, grant: GrantItem) -> None:
        """Take over one decision."""
        raise NotImplementedError

    def find_successor(self, class_name: str | None, endpoint: str) -> int:
        """Return the request that takes over a slot, 0 for none."""
        now_s = self.clock()
        queue = self.queues.get(class_name)
        if (
            queue is None
            or class_name != self.most_urgent_class
            or self.scheduler == self.name
            or not self.urgent_work_queued()
            or endpoint not in self.fully_allowed
        ):
            return 0
        head = queue.head()
        if head is None:
            return 0
        number = head.key.number
        # The head of the scheduler's queue moves on about as time does.
        limit_s = (
            self.head_deadline_s
            + now_s
            - self.head_reported_s
            + HEAD_SLACK_TOLERANCE_S
        )
        if (
            number in self.unsent_requests
            or endpoint in head.exclude
            or head.deadline_s > limit_s
        ):
            return 0
        return number

    def urgent_work_queued(self) -> bool:
        """Return whether the most urgent work queues at the scheduler."""
        return self.clock() - self.head_reported_s <= HEAD_VALID_S

    def has_spare_slots(self) -> bool:
        """Return whether the scheduler has many free slots."""
        return self.clock() - self.spare_reported_s <= HEAD_VALID_S

    def schedule_send(self, urgent: bool) -> None:
        """Note since when something waits to be sent."""
        if urgent:
            self.delayed_since_s = float("-inf")
        elif self.delayed_since_s is None:
            self.delayed_since_s = self.clock()

    def send_due_in_s(self) -> float:
        """Return when held messages must be sent, in seconds from now."""
        if self.delayed_since_s is None:
            return float("inf")
        return self.delayed_since_s + MAX_SEND_DELAY_S - self.clock()

    def reassign_grant(self, grant: GrantItem) -> None:
        """Use a slot whose request no longer waits, or give it back."""
        class_name = self.handed_over.pop(grant.number, None)
        number = -grant.number if class_name else grant.number
        successor = self.find_successor(class_name, grant.endpoint)
        if successor:
            self.hand_over(successor, grant.endpoint)
        else:
            self.count("given_back")
        self.unsent_done.append(DoneItem(number, 0, False, successor))
        self.schedule_send(not successor)

    def hand_over(self, number: int, endpoint: str) -> None:
        """Let a request take over a slot."""
        self.count("handed_over")
        self.handed_over[number] = self.waiting[number].class_name
        if len(self.handed_over) > MAX_HANDED_OVER:
            del self.handed_over[next(iter(self.handed_over))]
        self.apply_grant(GrantItem(number, endpoint))

    def reuse_freed_slot(self, number: int, request: SlotRequest) -> bool:
        """Let a new request take over a slot whose end was not sent yet.

        Ends are held while many slots are free, so that no other request
        waits for the slot.
        """
        if (
            request.class_name != self.most_urgent_class
            or not self.has_spare_slots()
        ):
            return False
        for index, item in enumerate(self.unsent_done):
            endpoint = self.reusable_endpoints.get(item.number)
            if (
                endpoint in self.fully_allowed
                and endpoint not in request.exclude
                and not item.next
            ):
                self.unsent_done[index] = item._replace(next=number)
                self.hand_over(number, endpoint)
                return True
        return False

    def remove_waiting(self, number: int) -> SlotRequest | None:
        """Remove a waiting request."""
        request = self.waiting.pop(number, None)
        if request is not None:
            self.queues[request.class_name].remove(
                RequestKey(self.name, number)
            )
        return request

    def count(self, name: str, count: int = 1) -> None:
        """Add to a counter; the owner reports them."""
        self.counts[name] = self.counts.get(name, 0) + count
