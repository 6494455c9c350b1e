"""Single-threaded event loop for timers, sockets and submitted calls.

State that belongs to the loop's thread needs no locks. Other threads pass
work to it with :meth:`Loop.submit` and wait for the returned future.
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
from typing import Any, NamedTuple

from loguru import logger

from cyclamenscale.util.clock import Clock

#: Longest wait for events; bounds the time until a stop is noticed.
MAX_WAIT_S = 0.5

#: Calls submitted by other threads that may be queued.
MAX_INBOX = 10000


def boot_time() -> float:
    """Return the seconds since boot, including time in suspension.

    Leases of the store and of workers expire while the machine is suspended,
    which the monotonic clock does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopLoad(NamedTuple):
    """Load of a loop since the last reading.

    :ivar lag_s: longest delay of a timer.
    :ivar busy_share: share of the time in which it did not wait for events.
    """

    lag_s: float
    busy_share: float


class Timer:
    """A scheduled call, which :meth:`cancel` revokes."""

    __slots__ = ("callback", "when_s")

    def __init__(self, when_s: float, callback: Callable[[], None]):
        """Store the due time and the callback."""
        self.when_s = when_s
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the call; has no effect once it has been made."""
        self.callback = None


class Loop:
    """Runs timers, socket events and submitted calls in one thread.

    :param clock: time in seconds, by default since boot.
    """

    def __init__(self, clock: Clock = boot_time):
        """Open the selector and the socket pair that wakes it up."""
        self.clock = clock
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Timer]] = []
        self.sequence = count()
        self.ready: deque[Callable[[], None]] = deque()
        # Guards inbox, woken.
        self.lock = Lock()
        self.inbox: deque[Callable[[], None]] = deque()
        self.woken = False
        self.stopping = False
        self.lag_s = 0.0
        self.waited_s = 0.0
        self.load_read_s = clock()
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.wake_writer.setblocking(False)
        self.selector.register(
            self.wake_reader, selectors.EVENT_READ, self.on_wake_up
        )

    def call_at(self, when_s: float, run: Callable[[], None]) -> Timer:
        """Schedule a call for a time of the loop's clock."""
        timer = Timer(when_s, run)
        heappush(self.timers, (when_s, next(self.sequence), timer))
        return timer

    def call_later(self, delay_s: float, run: Callable[[], None]) -> Timer:
        """Schedule a call after a delay in seconds."""
        return self.call_at(self.clock() + delay_s, run)

    def call_soon(self, run: Callable[[], None]) -> None:
        """Schedule a call for the next iteration; loop's thread only."""
        self.ready.append(run)

    def watch(self, fd: int, ready: Callable[[int], None]) -> None:
        """Call a function whenever a file descriptor is readable."""
        self.selector.register(fd, selectors.EVENT_READ, ready)

    def unwatch(self, fd: int) -> None:
        """Stop watching a file descriptor."""
        self.selector.unregister(fd)

    def submit(self, run: Callable[[], Any]) -> Future:
        """Run a call in the loop's thread; may be used from any thread.

        If the call returns a future, its outcome is passed on.

        :returns: a future of the call's result.
        :raises BlockingIOError: if too many calls are queued.
        """
        outcome: Future = Future()

        def run_call() -> None:
            try:
                result = run()
            except Exception as error:
                outcome.set_exception(error)
                return
            if isinstance(result, Future):
                chain_future(result, outcome)
            else:
                outcome.set_result(result)

        with self.lock:
            if len(self.inbox) >= MAX_INBOX:
                raise BlockingIOError("the event loop's inbox is full")
            self.inbox.append(run_call)
            wake = not self.woken
            self.woken = True
        if wake:
            self.wake_writer.send(b"\0")
        return outcome

    def on_wake_up(self, mask: int) -> None:
        """Schedule the calls that other threads have submitted."""
        try:
            self.wake_reader.recv(4096)
        except BlockingIOError:
            logger.debug("no data on the event loop's wake-up socket")
        with self.lock:
            self.woken = False
            submitted, self.inbox = self.inbox, deque()
        self.ready.extend(submitted)

    def stop(self) -> None:
        """End :meth:`run` after the current iteration; any thread."""
        self.stopping = True
        self.submit(lambda: None)

    def run(self) -> None:
        """Run iterations until :meth:`stop` is called."""
        while not self.stopping:
            self.run_once()

    def run_once(self) -> None:
        """Wait for socket events, then run everything that is due."""
        wait_began_s = self.clock()
        events = self.selector.select(self.select_timeout_s())
        self.waited_s += self.clock() - wait_began_s
        for key, mask in events:
            self.run_guarded(lambda key=key, mask=mask: key.data(mask))
        now_s = self.clock()
        while self.timers and self.timers[0][0] <= now_s:
            due_s, _, timer = heappop(self.timers)
            if timer.callback:
                self.lag_s = max(self.lag_s, now_s - due_s)
                self.run_guarded(timer.callback)
        for _ in range(len(self.ready)):
            self.run_guarded(self.ready.popleft())

    def take_load(self) -> LoopLoad:
        """Return the load since the last call; loop's thread only."""
        now_s = self.clock()
        passed_s = max(now_s - self.load_read_s, 1e-9)
        busy_share = max(0.0, 1 - self.waited_s / passed_s)
        load = LoopLoad(self.lag_s, busy_share)
        self.lag_s = self.waited_s = 0.0
        self.load_read_s = now_s
        return load

    def select_timeout_s(self) -> float:
        """Return how long to wait for socket events."""
        if self.ready:
            return 0.0
        if not self.timers:
            return MAX_WAIT_S
        due_s = self.timers[0][0] - self.clock()
        return min(max(due_s, 0.0), MAX_WAIT_S)

    def run_guarded(self, run: Callable[[], None]) -> None:
        """Run a callback; an exception is logged and the loop continues."""
        try:
            run()
        except Exception:
            logger.exception("callback failed in the event loop")


def chain_future(call: Future, outcome: Future) -> None:
    """Copy the outcome of one future to another once it is done."""
    call.add_done_callback(lambda done: copy_outcome(done, outcome))


def copy_outcome(done: Future, outcome: Future) -> None:
    """Copy the outcome of a finished future to another."""
    error = done.exception()
    if error is not None:
        outcome.set_exception(error)
    else:
        outcome.set_result(done.result())
