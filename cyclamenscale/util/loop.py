"""Event loop of one thread: timers, sockets and calls from other threads.

State that belongs to the loop's thread needs no locks. Other threads hand
work in with :meth:`Loop.submit` and wait for its future.
"""

import selectors
import socket
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from heapq import heappop, heappush
from itertools import count
from threading import Lock
from typing import Any

from loguru import logger

from cyclamenscale.util.clock import Clock

#: Longest wait for events; bounds the time to notice a stop.
WAIT_MAX_S = 0.5

#: Calls from other threads that may wait for the loop.
INBOX_LIMIT = 10000


def boot_time() -> float:
    """Return seconds that go on while the machine is suspended.

    Leases of the store and holds of workers run out during a suspension,
    which the monotonic clock does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Timer:
    """A call at a time; :meth:`cancel` takes it back."""

    __slots__ = ("run", "when_s")

    def __init__(self, when_s: float, run: Callable[[], None]):
        """Keep the time and the call."""
        self.when_s = when_s
        self.run: Callable[[], None] | None = run

    def cancel(self) -> None:
        """Take the call back; harmless if it has been made."""
        self.run = None


class Loop:
    """Runs timers, socket events and submitted calls in one thread.

    :param clock: seconds, by default those since boot.
    """

    def __init__(self, clock: Clock = boot_time):
        """Open the selector and the wake-up pair."""
        self.clock = clock
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Timer]] = []
        self.serial = count()
        self.soon: deque[Callable[[], None]] = deque()
        # Guards inbox, woken.
        self.lock = Lock()
        self.inbox: deque[Callable[[], None]] = deque()
        self.woken = False
        self.stopping = False
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.wake_writer.setblocking(False)
        self.selector.register(
            self.wake_reader, selectors.EVENT_READ, self.drain_wake
        )

    def call_at(self, when_s: float, run: Callable[[], None]) -> Timer:
        """Run a call at a time of the loop's clock."""
        timer = Timer(when_s, run)
        heappush(self.timers, (when_s, next(self.serial), timer))
        return timer

    def call_later(self, delay_s: float, run: Callable[[], None]) -> Timer:
        """Run a call after a delay in seconds."""
        return self.call_at(self.clock() + delay_s, run)

    def call_soon(self, run: Callable[[], None]) -> None:
        """Run a call in the loop's next turn; the loop's thread only."""
        self.soon.append(run)

    def watch(self, fd: int, ready: Callable[[int], None]) -> None:
        """Call a function when a descriptor can be read."""
        self.selector.register(fd, selectors.EVENT_READ, ready)

    def unwatch(self, fd: int) -> None:
        """Forget a descriptor."""
        self.selector.unregister(fd)

    def submit(self, run: Callable[[], Any]) -> Future:
        """Run a call in the loop's thread, from any thread.

        A call that returns a future passes that future's outcome on.

        :returns: the outcome of the call.
        """
        outcome: Future = Future()

        def carry_out() -> None:
            try:
                found = run()
            except Exception as error:
                outcome.set_exception(error)
                return
            if isinstance(found, Future):
                chain_future(found, outcome)
            else:
                outcome.set_result(found)

        with self.lock:
            if len(self.inbox) >= INBOX_LIMIT:
                raise BlockingIOError("the event loop's inbox is full")
            self.inbox.append(carry_out)
            wake = not self.woken
            self.woken = True
        if wake:
            self.wake_writer.send(b"\0")
        return outcome

    def drain_wake(self, mask: int) -> None:
        """Take the calls that other threads have handed in."""
        try:
            self.wake_reader.recv(4096)
        except BlockingIOError:
            logger.debug("the wake-up pair was empty")
        with self.lock:
            self.woken = False
            taken, self.inbox = self.inbox, deque()
        self.soon.extend(taken)

    def stop(self) -> None:
        """End :meth:`run` after this turn; any thread."""
        self.stopping = True
        self.submit(lambda: None)

    def run(self) -> None:
        """Serve until :meth:`stop`."""
        while not self.stopping:
            self.turn()

    def turn(self) -> None:
        """Wait for events once, then run what is due."""
        for key, mask in self.selector.select(self.wait_s()):
            self.guard(lambda key=key, mask=mask: key.data(mask))
        now_s = self.clock()
        while self.timers and self.timers[0][0] <= now_s:
            run = heappop(self.timers)[2].run
            if run:
                self.guard(run)
        for _ in range(len(self.soon)):
            self.guard(self.soon.popleft())

    def wait_s(self) -> float:
        """Return how long to wait for socket events."""
        if self.soon:
            return 0.0
        if not self.timers:
            return WAIT_MAX_S
        due_s = self.timers[0][0] - self.clock()
        return min(max(due_s, 0.0), WAIT_MAX_S)

    def guard(self, run: Callable[[], None]) -> None:
        """Run a call; a failure is logged and does not end the loop."""
        try:
            run()
        except Exception:
            logger.exception("a call of the event loop failed")


def chain_future(call: Future, outcome: Future) -> None:
    """Pass the outcome of a future on to another once it is known."""
    call.add_done_callback(lambda done: copy(done, outcome))


def copy(done: Future, outcome: Future) -> None:
    """Pass the outcome of a settled future on to another."""
    error = done.exception()
    if error is not None:
        outcome.set_exception(error)
    else:
        outcome.set_result(done.result())
