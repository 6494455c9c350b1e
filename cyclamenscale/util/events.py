"""Structured event lines on standard output.

One line of JSON for each decision. The volume of each kind is bounded, and
writing never blocks: what does not fit is counted and left out.
"""

import fcntl
import os
import time
from typing import Any, NamedTuple

from msgspec import json

from cyclamenscale.util.clock import Clock, monotonic

#: Lines of one kind a second, and at once after a pause.
LINES_PER_S = 50
BURST_LINES = 200

#: Bytes that wait while standard output takes none.
BUFFER_LIMIT_BYTES = 262144


class Allowance:
    """Token bucket of one kind of line.

    :ivar tokens: lines that may be written now.
    :ivar at_s: when the tokens were counted.
    :ivar dropped: lines left out since the last one written.
    """

    __slots__ = ("at_s", "dropped", "tokens")

    def __init__(self, at_s: float):
        """Start full."""
        self.tokens = float(BURST_LINES)
        self.at_s = at_s
        self.dropped = 0


class Line(NamedTuple):
    """A line as tests see it.

    :ivar kind: kind of the decision.
    :ivar fields: its inputs and outcome.
    """

    kind: str
    fields: dict[str, Any]


class EventLog:
    """Writes event lines; one thread only.

    :param node: name of this entry, in each line.
    :param fd: descriptor to write to, -1 for none.
    :param clock: seconds for the bounds.
    """

    def __init__(self, node: str, fd: int = 1, clock: Clock = monotonic):
        """Make the descriptor non-blocking."""
        self.node = node
        self.fd = fd
        self.clock = clock
        self.kinds: dict[str, Allowance] = {}
        self.buffer = bytearray()
        self.dropped = 0
        if fd >= 0:
            flags = fcntl.fcntl(fd, fcntl.F_GETFL)
            fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def note(self, kind: str, **fields: Any) -> None:
        """Write one line.

        :param kind: dotted name of the decision.
        :param fields: id, inputs with their age or version, outcome.
        """
        now_s = self.clock()
        allowance = self.kinds.get(kind)
        if allowance is None:
            allowance = self.kinds[kind] = Allowance(now_s)
        allowance.tokens = min(
            BURST_LINES,
            allowance.tokens + (now_s - allowance.at_s) * LINES_PER_S,
        )
        allowance.at_s = now_s
        if allowance.tokens < 1 or len(self.buffer) > BUFFER_LIMIT_BYTES:
            allowance.dropped += 1
            self.dropped += 1
            return
        allowance.tokens -= 1
        line = {"t": round(time.time(), 3), "node": self.node, "event": kind}
        line.update(fields)
        if allowance.dropped:
            line["left_out"] = allowance.dropped
            allowance.dropped = 0
        self.write(json.encode(line) + b"\n")

    def write(self, data: bytes) -> None:
        """Write what the descriptor takes and keep the rest."""
        if self.fd < 0:
            return
        self.buffer += data
        try:
            sent = os.write(self.fd, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the output is gone; the lines have no use.
            self.buffer.clear()
            return
        del self.buffer[:sent]
