"""Supervision tree: components in threads, restarted when they fail.

A component is a function that runs until its stop event is set. One that
raises, or returns before that, has failed and is restarted after a back-off.
When it fails more often than the settings allow, its supervisor stops all its
components and fails itself. A child supervisor is a component of its parent;
at the root, :meth:`Supervisor.wait` raises :class:`ComponentFailedError`.
"""

from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from random import Random
from threading import Event, Lock
from typing import NamedTuple

from loguru import logger

from cyclamenscale.errors import ComponentFailedError, ComponentReturnedError
from cyclamenscale.metrics import Metrics
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock, monotonic

# Threads are created on demand; the bound only guards against a bug that adds
# components without end.
MAX_COMPONENTS = 256

RunFunction = Callable[[Event], None]


class RestartDecision(NamedTuple):
    """The decision after a failure.

    :ivar delay_s: delay before the restart, ``None`` to escalate.
    :ivar restarts: number of restarts within the window, including this one.
    """

    delay_s: float | None
    restarts: int


class RestartPolicy:
    """Decides on the restarts of one component, without any threads.

    :param settings: ``[supervisor]`` has the limit, window and back-off.
    :param clock: monotonic clock in seconds.
    :param rng: source of the jitter.
    """

    def __init__(self, settings: Settings, clock: Clock, rng: Random):
        """Initialise with no failures."""
        self.settings = settings.supervisor
        self.clock = clock
        self.rng = rng
        self.failures: deque[float] = deque()

    def drop_expired(self) -> None:
        """Drop the failures that are older than the window."""
        cutoff_s = self.clock() - self.settings.window_s
        while self.failures and self.failures[0] <= cutoff_s:
            self.failures.popleft()

    @property
    def stable(self) -> bool:
        """Return whether there was no failure within the window."""
        self.drop_expired()
        return not self.failures

    def record_failure(self) -> RestartDecision:
        """Record a failure and decide on a restart.

        The back-off doubles with each failure in the window. The delay is
        drawn from its upper half: full jitter would allow immediate
        restarts, which could use up the limit within milliseconds.
        """
        self.drop_expired()
        self.failures.append(self.clock())
        count = len(self.failures)
        if count > self.settings.restarts:
            return RestartDecision(None, count - 1)
        longest = min(
            self.settings.backoff_max_s,
            self.settings.backoff_first_s * 2 ** min(count - 1, 60),
        )
        return RestartDecision(longest * self.rng.uniform(0.5, 1.0), count)


class Component:
    """A component and the state of its restarts.

    :ivar state: ``idle``, ``running``, ``waiting``, ``stopped`` or
        ``failed``; written by the component's thread only.
    """

    def __init__(
        self,
        name: str,
        run: RunFunction,
        policy: RestartPolicy,
        wake: Event | None = None,
    ):
        """Initialise as idle; ``wake`` is set along with the stop event."""
        self.name = name
        self.run = run
        self.policy = policy
        self.wake = wake
        self.stop = Event()
        self.future: Future | None = None
        self.state = "idle"
        # Whether a failure was logged since the component was last stable.
        self.failure_logged = False


class Supervisor:
    """Starts, restarts and stops components.

    :param settings: the whole settings.
    :param metrics: counters ``supervisor.failures``, ``.restarts``,
        ``.escalations`` and ``.stuck``.
    :param name: name in logs, and as a component of its parent.
    :param clock: monotonic clock in seconds.
    :param rng: source of the back-off's jitter.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        name: str,
        clock: Clock = monotonic,
        rng: Random | None = None,
    ):
        """Initialise with no components."""
        self.settings = settings
        self.metrics = metrics
        self.name = name
        self.clock = clock
        self.rng = rng or Random()
        # Guards components, pool, failure and the restart policies.
        self.lock = Lock()
        self.components: list[Component] = []
        self.pool: ThreadPoolExecutor | None = None
        self.failure: ComponentFailedError | None = None
        self.ended = Event()

    def add(
        self, name: str, run: RunFunction, wake: Event | None = None
    ) -> None:
        """Add a component; start it at once if the supervisor is running.

        :param name: name in logs and in the status.
        :param run: function that runs until the given event is set.
        :param wake: event that is also set on a stop, for a component that
            waits on an event of its own.
        """
        policy = RestartPolicy(self.settings, self.clock, self.rng)
        component = Component(name, run, policy, wake)
        with self.lock:
            self.components.append(component)
            if self.pool:
                self.launch(component)

    def add_child(self, child: "Supervisor") -> None:
        """Add a supervisor as a component."""
        self.add(child.name, child.run, child.ended)

    def launch(self, component: Component) -> None:
        """Start a component in a thread; the caller holds the lock."""
        component.stop = Event()
        component.state = "running"
        component.future = self.pool.submit(self.run_with_restarts, component)

    def start(self) -> None:
        """Start all components in the order in which they were added.

        :raises ComponentFailedError: if one is still running after a stop
            that timed out.
        """
        with self.lock:
            if self.pool:
                return
            for component in self.components:
                if component.future and not component.future.done():
                    # A second copy would share sockets with the first.
                    raise ComponentFailedError(component.name, 0)
            self.ended.clear()
            self.failure = None
            self.pool = ThreadPoolExecutor(MAX_COMPONENTS, self.name)
            for component in self.components:
                self.launch(component)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the supervisor has stopped or failed.

        :returns: whether it ended within the timeout.
        :raises ComponentFailedError: if a component failed too often.
        """
        ended = self.ended.wait(timeout_s)
        if self.failure:
            raise self.failure
        return ended

    def stop(self, timeout_s: float | None = None) -> list[str]:
        """Stop the components one by one, in reverse order.

        :param timeout_s: timeout for all of them, by default
            ``[supervisor] stop_s``; after it, the others are signalled to
            stop without waiting.
        :returns: names of the components that are still running.
        """
        if timeout_s is None:
            timeout_s = self.settings.supervisor.stop_s
        deadline_s = self.clock() + timeout_s
        stuck = []
        with self.lock:
            components, pool = list(self.components), self.pool
            self.pool = None
        for component in reversed(components):
            component.stop.set()
            if component.wake:
                component.wake.set()
            if component.future is None:
                continue
            remaining_s = max(0.0, deadline_s - self.clock())
            if wait([component.future], remaining_s).not_done:
                stuck.append(component.name)
                self.metrics.incr("supervisor.stuck")
        if stuck:
            names = ", ".join(stuck)
            logger.warning("{}: still running: {}", self.name, names)
        if pool:
            pool.shutdown(wait=False)
        self.ended.set()
        return stuck

    def run(self, stop: Event) -> None:
        """Run as a component of a parent supervisor.

        :raises ComponentFailedError: if a component failed too often.
        """
        self.start()
        # The parent sets ``stop`` before ``ended``; start() clears only the
        # latter.
        if not stop.is_set():
            self.ended.wait()
        self.stop()
        if self.failure:
            raise self.failure

    def states(self) -> dict[str, str]:
        """Return the state of each component, for the status.

        A running component that failed within the window is ``unstable``.
        """
        states = {}
        for component in list(self.components):
            state = component.state
            self.check_recovered(component)
            if state == "running" and component.failure_logged:
                state = "unstable"
            states[component.name] = state
        return states

    def run_with_restarts(self, component: Component) -> None:
        """Run a component until it is stopped or fails too often."""
        while not component.stop.is_set():
            try:
                component.state = "running"
                component.run(component.stop)
                error = ComponentReturnedError(component.name)
            except BaseException as raised:
                # SystemExit too: it would end this thread silently.
                error = raised
            if component.stop.is_set():
                if not isinstance(error, ComponentReturnedError):
                    self.metrics.incr("supervisor.failures_at_stop")
                break
            decision = self.handle_failure(component, error)
            if decision.delay_s is None:
                component.state = "failed"
                return
            component.state = "waiting"
            component.stop.wait(decision.delay_s)
        component.state = "stopped"

    def handle_failure(
        self, component: Component, error: BaseException
    ) -> RestartDecision:
        """Count a failure; log it if the component was stable before."""
        self.metrics.incr("supervisor.failures")
        self.check_recovered(component)
        with self.lock:
            decision = component.policy.record_failure()
        where = f"{self.name}/{component.name}"
        if not component.failure_logged:
            component.failure_logged = True
            logger.opt(exception=error).warning("{} failed", where)
        if decision.delay_s is not None:
            self.metrics.incr("supervisor.restarts")
            return decision
        self.metrics.incr("supervisor.escalations")
        logger.opt(exception=error).error(
            "{} failed after {} restarts", where, decision.restarts
        )
        with self.lock:
            if self.failure is None:
                self.failure = ComponentFailedError(where, decision.restarts)
                self.failure.__cause__ = error
        self.ended.set()
        return decision

    def check_recovered(self, component: Component) -> None:
        """Log a component's recovery if it had no failure in the window."""
        with self.lock:
            if not component.failure_logged or not component.policy.stable:
                return
            component.failure_logged = False
        logger.info("{}/{} is stable again", self.name, component.name)
