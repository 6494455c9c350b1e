"""The tries of one request at the endpoints of its pool.

"Not run" is promised only while ``Progress.sent`` is false, that is, while
no byte of the request can have reached an endpoint that did not refuse it.
"""

import random
from collections.abc import Callable
from threading import Event
from typing import Protocol

from cyclamenscale.errors import (
    EndpointError,
    EndpointRefusedError,
    NotRunError,
    OutcomeNotKnownError,
    RequestError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import Endpoint
from cyclamenscale.requests.admission import CallerRequest, Demand
from cyclamenscale.requests.endpoints import (
    Answer,
    EndpointClient,
    EndpointRequest,
)
from cyclamenscale.requests.gate import RETRY_AFTER_S, Gate
from cyclamenscale.requests.limits import RetryBudget, backoff_s
from cyclamenscale.requests.outliers import PoolsHealth
from cyclamenscale.requests.recent import RequestTrace
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

# The first try and three retries; with retries under a tenth of the load, a
# fourth one would hardly ever find a token.
TRIES_LIMIT = 4

# Longest wait for a fresh configuration, and how often it is checked.
FRESH_WAIT_S = 0.5
FRESH_POLL_S = 0.02

# An endpoint may leave between grant and use; more grants than this in a row
# mean that directory and scheduler disagree.
GRANTS_LIMIT = 8

# Failures that say nothing about the endpoint's health. A middlebox that
# forgets its connections makes all that are established time out at once,
# while the endpoint answers on new ones.
NEUTRAL = frozenset(
    ("reused_connection_closed", "first_byte_timeout", "answer_too_large")
)

# Failures that a further try would meet again.
FINAL = frozenset(("answer_too_large",))


class FreshnessPort(Protocol):
    """Says whether this entry may admit work."""

    def may_admit(self) -> bool:
        """Return whether the configuration is known to be current."""


class Progress:
    """How far one request has come; belongs to the thread that handles it.

    :param trace: its record for ``explain``.
    :param request: the caller's request.
    """

    def __init__(self, trace: RequestTrace, request: CallerRequest):
        """Start with nothing sent."""
        self.trace = trace
        self.request = request
        self.demand: Demand | None = None
        self.admitted = ""
        self.deadline_s = 0.0
        self.sent = False
        self.wait_s = 0.0
        self.tries = 0
        self.exclude: frozenset[str] = frozenset()

    def end(
        self, reason: str, message: str, retry_after_s: float | None = None
    ) -> RequestError:
        """Build the error that is true for what has been sent."""
        if self.sent:
            return OutcomeNotKnownError(reason, message)
        return NotRunError(reason, message, retry_after_s)


class Attempts:
    """Sends requests to endpoints, with retries; called from many threads.

    The parameters are those of
    :class:`cyclamenscale.requests.dispatch.Dispatcher`.
    """

    def __init__(
        self,
        settings: Settings,
        freshness: FreshnessPort,
        directory,
        health: PoolsHealth,
        slots,
        endpoint_client: EndpointClient,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        gate: Gate,
        first_byte_limit: Callable[[str], float | None],
        pause: Callable[[float], object] | None,
    ):
        """Keep the parts."""
        self.settings = settings
        self.freshness = freshness
        self.directory = directory
        self.health = health
        self.slots = slots
        self.endpoint_client = endpoint_client
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.gate = gate
        self.first_byte_limit = first_byte_limit
        self.pause = pause or Event().wait
        self.budget = RetryBudget(settings.limits)

    def wait_fresh(self) -> None:
        """Wait a moment for a configuration that is about to be applied.

        An entry that hears of a higher revision before the change itself
        has come needs the time of one message to a peer.
        """
        until_s = self.clock() + FRESH_WAIT_S
        while not self.freshness.may_admit() and self.clock() < until_s:
            self.pause(FRESH_POLL_S)

    def check_fresh(self, progress: Progress) -> None:
        """Refuse work while the configuration may be out of date."""
        if not self.freshness.may_admit():
            raise progress.end(
                "not_fresh",
                "this entry cannot confirm its configuration",
                RETRY_AFTER_S,
            )

    def run(self, progress: Progress) -> Answer:
        """Try endpoints until one answers or no try is left."""
        repeatable = progress.demand.request_class.repeatable
        while True:
            progress.tries += 1
            slot, endpoint = self.acquire(progress)
            try:
                return self.attempt(progress, slot, endpoint)
            except EndpointError as error:
                self.learn(progress, endpoint, error)
                if progress.sent and not repeatable:
                    raise OutcomeNotKnownError(
                        error.reason, f"{error}; the request may have run"
                    ) from error
                self.check_retry(progress, error)
                refused = isinstance(error, EndpointRefusedError)
            if not refused:
                # A refusal names a cause that another endpoint doesn't
                # share, so only failures wait.
                wait_s = backoff_s(
                    self.settings.limits, progress.tries, self.rng
                )
                self.pause(wait_s)

    def acquire(self, progress: Progress):
        """Wait for a slot of an endpoint that may get the request now.

        :returns: the slot and its endpoint.
        :raises RequestError: if there is none in time.
        """
        request_class = progress.demand.request_class
        for _ in range(GRANTS_LIMIT):
            began_s = self.clock()
            slack_ms = round((progress.deadline_s - began_s) * 1000)
            if slack_ms <= 0:
                raise progress.end(
                    "deadline", "the deadline passed before a slot was free"
                )
            try:
                slot = self.slots.acquire(
                    request_class,
                    slack_ms,
                    progress.exclude,
                    progress.request.gone,
                )
            except NotRunError as error:
                raise progress.end(
                    error.reason, error.message, error.retry_after_s
                ) from error
            finally:
                progress.wait_s += self.clock() - began_s
            progress.trace.add("slot", f"{slot.number} at {slot.endpoint}")
            endpoint = self.usable_endpoint(progress, slot)
            if endpoint is not None:
                return slot, endpoint
        raise progress.end(
            "no_endpoint",
            f"pool {request_class.pool} has no usable endpoint",
            RETRY_AFTER_S,
        )

    def usable_endpoint(self, progress: Progress, slot) -> Endpoint | None:
        """Check a slot just before it is used, and release it if it fails.

        Configuration, health and time may have changed during the wait.

        :returns: the endpoint, or None if another slot is needed.
        :raises RequestError: if the request must not be sent any more.
        """
        pool = progress.demand.request_class.pool
        usable = False
        # Counted before the checks, see Dispatcher.in_progress_at().
        self.gate.hold(slot.endpoint)
        try:
            if self.clock() >= progress.deadline_s:
                raise progress.end(
                    "deadline", "the deadline passed while waiting for a slot"
                )
            self.check_fresh(progress)
            endpoint = self.directory.find(slot.endpoint)
            usable = (
                endpoint is not None
                and endpoint.pool == slot.pool == pool
                and self.health.pool(pool).may_send(
                    slot.endpoint, self.clock()
                )
            )
        finally:
            if not usable:
                self.gate.let_go(slot.endpoint)
                self.slots.release(slot, 0, False)
        if not usable:
            self.metrics.incr("requests.slot_unusable")
            progress.trace.add("slot_unusable", slot.endpoint)
            self.exclude(progress, slot.endpoint)
            return None
        return endpoint

    def attempt(self, progress: Progress, slot, endpoint: Endpoint) -> Answer:
        """Send the request to one endpoint, and release the slot.

        :raises EndpointError: if there is no complete answer.
        """
        request = progress.request
        request_class = progress.demand.request_class
        fresh = not request_class.repeatable or progress.tries > 1
        limit_s = None
        if not fresh and self.budget.has_token():
            # Cutting a try is of use only if another one is allowed.
            limit_s = self.first_byte_limit(request_class.name)
        began_s = self.clock()
        whole = False
        progress.trace.add("send", f"try {progress.tries} to {endpoint.name}")
        try:
            answer = self.endpoint_client.call(
                endpoint,
                EndpointRequest(
                    progress.trace.request_id,
                    request.method,
                    request.target,
                    request.headers,
                    request.body,
                ),
                fresh,
                limit_s,
                # A slow answer is not cut. The bound is that of a graceful
                # shutdown, which waits no longer either.
                self.settings.shutdown.drain_s,
            )
            whole = True
        except EndpointError as error:
            progress.sent = progress.sent or error.sent
            raise
        except BaseException:
            # An unforeseen failure may have come after the first byte.
            progress.sent = True
            raise
        finally:
            run_ms = round((self.clock() - began_s) * 1000)
            self.gate.let_go(slot.endpoint)
            self.slots.release(slot, run_ms, whole)
        progress.trace.add(
            "answer", f"{answer.status} from {endpoint.name}, {run_ms} ms"
        )
        health = self.health.pool(endpoint.pool)
        if answer.status >= 500:
            health.record_failure(endpoint.name, "call", self.clock())
        else:
            health.record_success(endpoint.name, self.clock())
        return answer

    def learn(
        self, progress: Progress, endpoint: Endpoint, error: EndpointError
    ) -> None:
        """Take a failed try as a sign of the endpoint's health."""
        progress.trace.add("try_failed", f"{endpoint.name}: {error.reason}")
        health = self.health.pool(endpoint.pool)
        now_s = self.clock()
        if isinstance(error, EndpointRefusedError):
            if error.leaving:
                health.record_leaving(endpoint.name, "refusal", now_s)
            self.exclude(progress, endpoint.name)
            return
        if error.reason not in NEUTRAL:
            health.record_failure(endpoint.name, "call", now_s)
        if error.reason != "reused_connection_closed":
            self.exclude(progress, endpoint.name)

    def exclude(self, progress: Progress, name: str) -> None:
        """Avoid an endpoint for the rest of the request.

        Once all endpoints of the pool failed the request, each of them may
        be tried again.
        """
        progress.exclude |= {name}
        pool = progress.demand.request_class.pool
        names = {e.name for e in self.directory.endpoints(pool)}
        if names <= progress.exclude:
            progress.exclude = frozenset()

    def check_retry(self, progress: Progress, error: EndpointError) -> None:
        """Allow one more try, or end the request.

        :raises RequestError: if the request ends here.
        """
        if error.reason in FINAL or progress.tries >= TRIES_LIMIT:
            reason, message = error.reason, str(error)
        elif self.clock() >= progress.deadline_s:
            reason, message = "deadline", f"deadline passed after: {error}"
        elif not self.budget.take_token():
            self.metrics.incr("requests.retry_budget_empty")
            reason = "retry_budget"
            message = f"no retry is left in the budget after: {error}"
        else:
            self.metrics.incr("requests.retries")
            return
        raise progress.end(reason, message, RETRY_AFTER_S) from error
