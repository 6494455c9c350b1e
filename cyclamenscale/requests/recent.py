"""Bounded store of recent request traces, for ``explain REQUEST``."""

from collections import OrderedDict
from threading import Lock
from typing import NamedTuple

from cyclamenscale.util.clock import Clock

# A trace takes about 1 KB.
RECENT_LIMIT = 2000

# A request has about six steps, and four more for each retry.
STEPS_LIMIT = 40


class Step(NamedTuple):
    """One step of a request.

    :ivar after_ms: time since the request's arrival, in milliseconds.
    :ivar step: name of the step.
    :ivar detail: further information, such as the endpoint or the error.
    """

    after_ms: float
    step: str
    detail: str


class RequestTrace:
    """The recorded steps of one request.

    :param request_id: id of the request.
    :param clock: monotonic clock in seconds.
    """

    def __init__(self, request_id: str, clock: Clock):
        """Initialise with the current time as the arrival time."""
        self.request_id = request_id
        self.clock = clock
        self.arrived_s = clock()
        self.outcome = "in_progress"
        self.steps: list[Step] = []
        self.dropped = 0

    def add(self, step: str, detail: str = "") -> None:
        """Record a step; steps over the limit are only counted."""
        if len(self.steps) >= STEPS_LIMIT:
            self.dropped += 1
            return
        after_ms = round((self.clock() - self.arrived_s) * 1000, 3)
        self.steps.append(Step(after_ms, step, detail))


class RecentRequests:
    """Traces of the latest requests, by request id.

    :param clock: monotonic clock in seconds.
    :param limit: maximum number of traces kept.
    """

    def __init__(self, clock: Clock, limit: int = RECENT_LIMIT):
        """Initialise with no traces."""
        self.clock = clock
        self.limit = limit
        # Guards traces, dropped.
        self.lock = Lock()
        self.traces: OrderedDict[str, RequestTrace] = OrderedDict()
        self.dropped = 0

    def start(self, request_id: str) -> RequestTrace:
        """Start the trace of a request, dropping the oldest over the limit."""
        trace = RequestTrace(request_id, self.clock)
        with self.lock:
            self.traces[request_id] = trace
            while len(self.traces) > self.limit:
                self.traces.popitem(last=False)
                self.dropped += 1
        return trace

    def explain(self, request_id: str) -> dict | None:
        """Return the trace of a request, or None if it is not stored."""
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
