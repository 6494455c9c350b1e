"""Structured event log on standard output.

Each decision is one line of JSON. The rate of each kind of line is limited,
and writing never blocks: excess lines are dropped and counted.
"""

import fcntl
import os
import time
from typing import Any, NamedTuple

from msgspec import json

from cyclamenscale.util.clock import Clock, monotonic

#: Rate limit of one kind of line, sustained and as a burst.
LINES_PER_S = 50
BURST_LINES = 200

#: Bytes buffered while standard output is not writable.
MAX_BUFFER_BYTES = 262144


class TokenBucket:
    """Rate limiter of one kind of line.

    :ivar tokens: lines that may be written now.
    :ivar updated_s: time of the last update of the tokens.
    :ivar dropped: lines dropped since the last one written.
    """

    __slots__ = ("dropped", "tokens", "updated_s")

    def __init__(self, now_s: float):
        """Start with a full bucket."""
        self.tokens = float(BURST_LINES)
        self.updated_s = now_s
        self.dropped = 0


class Line(NamedTuple):
    """A decoded line.

    :ivar kind: dotted name of the decision.
    :ivar fields: inputs and outcome of the decision.
    """

    kind: str
    fields: dict[str, Any]


class EventLog:
    """Writes event lines; not safe for use by several threads.

    :param node: name of this entry, included in each line.
    :param fd: file descriptor to write to, -1 for none.
    :param clock: time in seconds, for the rate limits.
    """

    def __init__(self, node: str, fd: int = 1, clock: Clock = monotonic):
        """Make the file descriptor non-blocking."""
        self.node = node
        self.fd = fd
        self.clock = clock
        self.buckets: dict[str, TokenBucket] = {}
        self.buffer = bytearray()
        self.dropped = 0
        if fd >= 0:
            flags = fcntl.fcntl(fd, fcntl.F_GETFL)
            fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def note(self, kind: str, **fields: Any) -> None:
        """Write one line, or drop it if its kind exceeds the limits.

        :param kind: dotted name of the decision.
        :param fields: id, inputs with their age or version, and outcome.
        """
        now_s = self.clock()
        bucket = self.buckets.get(kind)
        if bucket is None:
            bucket = self.buckets[kind] = TokenBucket(now_s)
        bucket.tokens = min(
            BURST_LINES,
            bucket.tokens + (now_s - bucket.updated_s) * LINES_PER_S,
        )
        bucket.updated_s = now_s
        if bucket.tokens < 1 or len(self.buffer) > MAX_BUFFER_BYTES:
            bucket.dropped += 1
            self.dropped += 1
            return
        bucket.tokens -= 1
        line = {"t": round(time.time(), 3), "node": self.node, "event": kind}
        line.update(fields)
        if bucket.dropped:
            line["left_out"] = bucket.dropped
            bucket.dropped = 0
        self.write(json.encode(line) + b"\n")

    def write(self, data: bytes) -> None:
        """Write as much as possible without blocking and buffer the rest."""
        if self.fd < 0:
            return
        self.buffer += data
        try:
            sent = os.write(self.fd, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the output; nobody needs the lines.
            self.buffer.clear()
            return
        del self.buffer[:sent]
