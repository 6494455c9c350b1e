"""A bounded record of recent requests, for ``explain REQUEST``."""

from collections import OrderedDict
from threading import Lock
from typing import NamedTuple

from cyclamenscale.util.clock import Clock

# About 1 KB a request.
RECENT_LIMIT = 2000

# A request takes about six steps, and four for each further try.
STEPS_LIMIT = 40


class Step(NamedTuple):
    """One step of a request.

    :ivar after_ms: time since the request's arrival, in milliseconds.
    :ivar step: name of the step.
    :ivar detail: names and numbers of the step.
    """

    after_ms: float
    step: str
    detail: str


class RequestTrace:
    """The steps of one request.

    :param request_id: the request.
    :param clock: monotonic seconds.
    """

    def __init__(self, request_id: str, clock: Clock):
        """Start at the request's arrival."""
        self.request_id = request_id
        self.clock = clock
        self.arrived_s = clock()
        self.outcome = "in_progress"
        self.steps: list[Step] = []
        self.dropped = 0

    def add(self, step: str, detail: str = "") -> None:
        """Note a step; those over the limit are only counted."""
        if len(self.steps) >= STEPS_LIMIT:
            self.dropped += 1
            return
        after_ms = round((self.clock() - self.arrived_s) * 1000, 3)
        self.steps.append(Step(after_ms, step, detail))


class RecentRequests:
    """The latest requests by id.

    :param clock: monotonic seconds.
    :param limit: how many are kept.
    """

    def __init__(self, clock: Clock, limit: int = RECENT_LIMIT):
        """Start empty."""
        self.clock = clock
        self.limit = limit
        # Guards traces, dropped.
        self.lock = Lock()
        self.traces: OrderedDict[str, RequestTrace] = OrderedDict()
        self.dropped = 0

    def start(self, request_id: str) -> RequestTrace:
        """Begin the record of a request, and drop the oldest one."""
        trace = RequestTrace(request_id, self.clock)
        with self.lock:
            self.traces[request_id] = trace
            while len(self.traces) > self.limit:
                self.traces.popitem(last=False)
                self.dropped += 1
        return trace

    def explain(self, request_id: str) -> dict | None:
        """Return the record of a request, None if it is not kept."""
        with self.lock:
            trace = self.traces.get(request_id)
        if trace is None:
            return None
        return {
            "request": request_id,
            "outcome": trace.outcome,
            "steps": [step._asdict() for step in list(trace.steps)],
            "steps_dropped": trace.dropped,
        }
