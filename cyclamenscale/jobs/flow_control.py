"""Limits the starts in flight to what the leader's machine can carry.

Starts that exceed the bandwidth of its link wait there together with the
polls that renew task leases. If both time out, repeating them keeps the link
full. The window of starts in flight follows the response times, as in TCP's
additive increase and multiplicative decrease. Pure: times are passed in.
"""

from collections import deque

#: Starts in flight at the beginning of a term.
INITIAL_WINDOW = 128.0
MIN_WINDOW = 16.0
MAX_WINDOW = 2048.0

#: A response that takes longer waited in a queue. It is half of the timeout
#: of a start, and ten times the round trip between distant data centres.
SLOW_RESPONSE_S = 0.1

#: Latest responses that decide together, so that a few workers that fail
#: don't limit the starts on the others.
SAMPLE_SIZE = 32

#: Growth of the window for each prompt response: a tenth of it in the round
#: trip of a full window.
GROWTH = 0.1

#: Factor of the window when most responses are slow or missing.
DECREASE = 0.7

#: Minimum time between two decreases: responses to starts that were sent
#: before the last one say nothing about the smaller window.
DECREASE_INTERVAL_S = 0.3


class StartWindow:
    """Number of starts that may be in flight to all workers together.

    :ivar size: current limit.
    :ivar in_flight: starts without a response yet.
    """

    def __init__(self):
        """Initialise with no starts in flight."""
        self.size = INITIAL_WINDOW
        self.in_flight = 0
        self.decreased_s = -1e9
        #: Whether each of the latest responses was slow or missing.
        self.slow: deque[bool] = deque(maxlen=SAMPLE_SIZE)

    @property
    def is_full(self) -> bool:
        """Return whether no further start may be sent now."""
        return self.in_flight >= int(self.size)

    def record_sent(self) -> None:
        """Record that a start is in flight."""
        self.in_flight += 1

    def record_response(self, took_s: float, now_s: float) -> None:
        """Record a response, whatever its content."""
        self.record(took_s > SLOW_RESPONSE_S, now_s)

    def record_unanswered(self, now_s: float) -> None:
        """Record a start that ended without a response."""
        self.record(True, now_s)

    def record(self, slow: bool, now_s: float) -> None:
        """Adapt the window to the outcome of one start."""
        was_used = self.in_flight * 2 > self.size
        self.in_flight -= 1
        self.slow.append(slow)
        if not slow:
            # A window that is not used has not been tested.
            if was_used:
                self.size = min(self.size + GROWTH, MAX_WINDOW)
            return
        mostly_slow = sum(self.slow) * 2 > SAMPLE_SIZE
        if mostly_slow and now_s >= self.decreased_s + DECREASE_INTERVAL_S:
            self.size = max(self.size * DECREASE, MIN_WINDOW)
            self.decreased_s = now_s
            self.slow.clear()
