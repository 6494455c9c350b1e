"""Handover of a freed slot to the next request of the same entry.

While requests of the most urgent class wait at the scheduler, an entry hands
over a slot that becomes free directly to its own next request of that class,
if by the slack the scheduler last reported this request is about to be
served. That saves one message, and the slot does not stay idle for two
message delays. Requests of other classes always go through the scheduler, so
the order of the classes and the limit on the share of long work are kept.
"""

from typing import NamedTuple

from cyclamenscale.members.messages import GrantItem, SlotReleaseItem
from cyclamenscale.requests.queues import ClassQueue, RequestKey
from cyclamenscale.util.clock import Clock

#: How long a reported slack is valid. Without new grants in this time the
#: queue may be empty, or long work may be starved.
HEAD_VALID_S = 0.5
#: How much more slack than the head of the scheduler's queue a request may
#: have to take over a slot.
HEAD_SLACK_TOLERANCE_S = 0.1
#: Number of handovers kept to recognise grants that cross them; a grant
#: crosses a handover within milliseconds.
MAX_HANDED_OVER = 1000
#: Longest delay of messages, so that several share a frame. While the most
#: urgent work is queued, messages that free no slot may be delayed; while many
#: slots are free, all messages that request no slot may be.
MAX_SEND_DELAY_S = 0.045


class SlotRequest(NamedTuple):
    """A request that waits for a slot."""

    class_name: str
    deadline_s: float
    exclude: tuple[str, ...]


class SlotInUse(NamedTuple):
    """A slot in use by a request of this entry."""

    class_name: str
    endpoint: str
    started_s: float


class SlotHandover:
    """Waiting and running requests of an entry, and its unsent messages.

    :param name: name of the entry.
    :param clock: monotonic clock in seconds.
    """

    def __init__(self, name: str, clock: Clock):
        """Initialise with no requests."""
        self.name = name
        self.clock = clock
        self.scheduler = ""
        self.waiting: dict[int, SlotRequest] = {}
        self.running: dict[int, SlotInUse] = {}
        self.unsent_requests: dict[int, None] = {}
        self.unsent_releases: list[SlotReleaseItem] = []
        self.unsent_cancellations: list[int] = []
        self.queues: dict[str, ClassQueue] = {}
        #: Class with the shortest target, whose slots may be handed over.
        self.most_urgent_class = ""
        #: Deadline of the head of the scheduler's queue, and the time of the
        #: report.
        self.head_deadline_s = 0.0
        self.head_reported_s = float("-inf")
        #: When the scheduler last reported that many slots are free.
        self.spare_reported_s = float("-inf")
        #: Endpoints of freed slots of the most urgent class that are not
        #: reported to the scheduler yet, by request number.
        self.reusable_endpoints: dict[int, str] = {}
        #: Class of requests that took over a slot; a grant for them may be
        #: in flight.
        self.handed_over: dict[int, str] = {}
        #: Since when messages are delayed; minus infinity if one is urgent.
        self.delayed_since_s: float | None = None
        self.fully_allowed: set[str] = set()
        self.counts: dict[str, int] = {}

    def apply_grant(self, grant: GrantItem) -> None:
        """Apply a grant or a refusal."""
        raise NotImplementedError

    def find_successor(self, class_name: str | None, endpoint: str) -> int:
        """Return the number of the request to take over a slot, 0 for none."""
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
        # The deadline at the head of the scheduler's queue advances about as
        # fast as time does.
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
        """Return whether the most urgent work is queued at the scheduler."""
        return self.clock() - self.head_reported_s <= HEAD_VALID_S

    def has_spare_slots(self) -> bool:
        """Return whether the scheduler recently reported many free slots."""
        return self.clock() - self.spare_reported_s <= HEAD_VALID_S

    def schedule_send(self, urgent: bool) -> None:
        """Schedule the next batch: at once if urgent, else after the delay."""
        if urgent:
            self.delayed_since_s = float("-inf")
        elif self.delayed_since_s is None:
            self.delayed_since_s = self.clock()

    def send_due_in_s(self) -> float:
        """Return the seconds until delayed messages must be sent."""
        if self.delayed_since_s is None:
            return float("inf")
        return self.delayed_since_s + MAX_SEND_DELAY_S - self.clock()

    def reassign_grant(self, grant: GrantItem) -> None:
        """Hand over or free a granted slot whose request no longer waits."""
        class_name = self.handed_over.pop(grant.number, None)
        number = -grant.number if class_name else grant.number
        successor = self.find_successor(class_name, grant.endpoint)
        if successor:
            self.hand_over(successor, grant.endpoint)
        else:
            self.count("given_back")
        self.unsent_releases.append(
            SlotReleaseItem(number, 0, False, successor)
        )
        self.schedule_send(not successor)

    def hand_over(self, number: int, endpoint: str) -> None:
        """Hand over a slot to a waiting request."""
        self.count("handed_over")
        self.handed_over[number] = self.waiting[number].class_name
        if len(self.handed_over) > MAX_HANDED_OVER:
            del self.handed_over[next(iter(self.handed_over))]
        self.apply_grant(GrantItem(number, endpoint))

    def reuse_freed_slot(self, number: int, request: SlotRequest) -> bool:
        """Hand over a freed slot that is not reported yet to a new request.

        Reports of freed slots are delayed only while many slots are free, so
        no other request waits for the slot.

        :returns: whether a slot was handed over.
        """
        if (
            request.class_name != self.most_urgent_class
            or not self.has_spare_slots()
        ):
            return False
        for index, item in enumerate(self.unsent_releases):
            endpoint = self.reusable_endpoints.get(item.number)
            if (
                endpoint in self.fully_allowed
                and endpoint not in request.exclude
                and not item.successor
            ):
                self.unsent_releases[index] = item._replace(successor=number)
                self.hand_over(number, endpoint)
                return True
        return False

    def remove_waiting(self, number: int) -> SlotRequest | None:
        """Remove a waiting request and return it, or None."""
        request = self.waiting.pop(number, None)
        if request is not None:
            self.queues[request.class_name].remove(
                RequestKey(self.name, number)
            )
        return request

    def count(self, name: str, count: int = 1) -> None:
        """Add to a counter that the slot broker exports as a metric."""
        self.counts[name] = self.counts.get(name, 0) + count
