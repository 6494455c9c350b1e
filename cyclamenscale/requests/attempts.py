"""Tries of a request at the endpoints of its pool.

The outcome ``not_run`` is reported only while ``RequestProgress.sent`` is
false, that is, while no byte of the request can have reached an endpoint
that did not refuse it.
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
from cyclamenscale.requests.admission_control import (
    RETRY_AFTER_S,
    AdmissionControl,
)
from cyclamenscale.requests.endpoints import (
    EndpointClient,
    EndpointRequest,
    EndpointResponse,
)
from cyclamenscale.requests.limits import RetryBudget, backoff_s
from cyclamenscale.requests.outliers import PoolsHealth
from cyclamenscale.requests.recent import RequestTrace
from cyclamenscale.requests.validation import CallerRequest, RequestParams
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock

# The first try and three retries. The budget keeps retries under a tenth of
# the load, so a fourth retry would hardly ever find a token.
TRIES_LIMIT = 4

# Longest wait for a fresh configuration, and the interval between checks.
FRESH_WAIT_S = 0.5
FRESH_POLL_S = 0.02

# An endpoint may leave between the grant of a slot and its use. More unusable
# grants in a row than this mean that directory and scheduler disagree.
GRANTS_LIMIT = 8

# Failure reasons that do not count against the endpoint's health. A middlebox
# that loses its connection state makes all established connections time out
# at once, while the endpoint responds on new ones.
HEALTH_NEUTRAL_REASONS = frozenset(
    ("reused_connection_closed", "first_byte_timeout", "answer_too_large")
)

# Failure reasons that a retry would meet again.
NON_RETRYABLE_REASONS = frozenset(("answer_too_large",))


class FreshnessPort(Protocol):
    """Reports whether this entry may admit work."""

    def may_admit(self) -> bool:
        """Return whether the configuration is confirmed to be current."""


class RequestProgress:
    """State of one request in progress, used only by its own thread.

    :param trace: trace of the request, for ``explain``.
    :param request: the caller's request.
    :ivar params: validated parameters, once the request was checked.
    :ivar admitted_class: class it was admitted to, empty before that.
    :ivar deadline_s: deadline, in monotonic seconds.
    :ivar sent: whether an endpoint may have run the request.
    :ivar wait_s: time spent waiting for slots.
    :ivar tries: number of tries begun.
    :ivar exclude: names of endpoints to avoid.
    """

    def __init__(self, trace: RequestTrace, request: CallerRequest):
        """Initialise with nothing sent."""
        self.trace = trace
        self.request = request
        self.params: RequestParams | None = None
        self.admitted_class = ""
        self.deadline_s = 0.0
        self.sent = False
        self.wait_s = 0.0
        self.tries = 0
        self.exclude: frozenset[str] = frozenset()

    def make_error(
        self, reason: str, message: str, retry_after_s: float | None = None
    ) -> RequestError:
        """Return an error: outcome unknown if it was sent, else not run."""
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
        admission: AdmissionControl,
        first_byte_timeout: Callable[[str], float | None],
        sleep: Callable[[float], object] | None,
    ):
        """Initialise with a full retry budget."""
        self.settings = settings
        self.freshness = freshness
        self.directory = directory
        self.health = health
        self.slots = slots
        self.endpoint_client = endpoint_client
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.admission = admission
        self.first_byte_timeout = first_byte_timeout
        self.sleep = sleep or Event().wait
        self.retry_budget = RetryBudget(settings.limits)

    def wait_fresh(self) -> None:
        """Wait up to ``FRESH_WAIT_S`` until this entry may admit work.

        An entry that learns of a higher revision before it receives the
        change itself needs the time of one message to a peer.
        """
        until_s = self.clock() + FRESH_WAIT_S
        while not self.freshness.may_admit() and self.clock() < until_s:
            self.sleep(FRESH_POLL_S)

    def check_fresh(self, progress: RequestProgress) -> None:
        """Refuse work while the configuration may be out of date."""
        if not self.freshness.may_admit():
            raise progress.make_error(
                "not_fresh",
                "this entry cannot confirm its configuration",
                RETRY_AFTER_S,
            )

    def run(self, progress: RequestProgress) -> EndpointResponse:
        """Try endpoints until one responds or no retry is allowed."""
        repeatable = progress.params.request_class.repeatable
        while True:
            progress.tries += 1
            slot, endpoint = self.acquire(progress)
            try:
                return self.attempt(progress, slot, endpoint)
            except EndpointError as error:
                self.record_failure(progress, endpoint, error)
                if progress.sent and not repeatable:
                    raise OutcomeNotKnownError(
                        error.reason, f"{error}; the request may have run"
                    ) from error
                self.check_retry(progress, error)
                refused = isinstance(error, EndpointRefusedError)
            if not refused:
                # The cause of a refusal doesn't affect other endpoints, so
                # only failures back off.
                wait_s = backoff_s(
                    self.settings.limits, progress.tries, self.rng
                )
                self.sleep(wait_s)

    def acquire(self, progress: RequestProgress):
        """Wait for a slot of an endpoint that may get the request now.

        :returns: the slot and its endpoint.
        :raises RequestError: if there is none in time.
        """
        request_class = progress.params.request_class
        for _ in range(GRANTS_LIMIT):
            started_s = self.clock()
            slack_ms = round((progress.deadline_s - started_s) * 1000)
            if slack_ms <= 0:
                raise progress.make_error(
                    "deadline", "the deadline passed before a slot was free"
                )
            try:
                slot = self.slots.acquire(
                    request_class,
                    slack_ms,
                    progress.exclude,
                    progress.request.is_disconnected,
                )
            except NotRunError as error:
                raise progress.make_error(
                    error.reason, error.message, error.retry_after_s
                ) from error
            finally:
                progress.wait_s += self.clock() - started_s
            progress.trace.add("slot", f"{slot.number} at {slot.endpoint}")
            endpoint = self.usable_endpoint(progress, slot)
            if endpoint is not None:
                return slot, endpoint
        raise progress.make_error(
            "no_endpoint",
            f"pool {request_class.pool} has no usable endpoint",
            RETRY_AFTER_S,
        )

    def usable_endpoint(
        self, progress: RequestProgress, slot
    ) -> Endpoint | None:
        """Check a slot just before its use, and release it if unusable.

        Configuration, health and time may have changed during the wait.

        :returns: the endpoint, or None if another slot is needed.
        :raises RequestError: if the request must not be sent any more.
        """
        pool = progress.params.request_class.pool
        usable = False
        # Counted before the checks, see Dispatcher.in_progress_at().
        self.admission.begin_call(slot.endpoint)
        try:
            if self.clock() >= progress.deadline_s:
                raise progress.make_error(
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
                self.admission.end_call(slot.endpoint)
                self.slots.release(slot, 0, False)
        if not usable:
            self.metrics.incr("requests.slot_unusable")
            progress.trace.add("slot_unusable", slot.endpoint)
            self.exclude_endpoint(progress, slot.endpoint)
            return None
        return endpoint

    def attempt(
        self, progress: RequestProgress, slot, endpoint: Endpoint
    ) -> EndpointResponse:
        """Send the request to one endpoint, and release the slot.

        :raises EndpointError: if there is no complete response.
        """
        request = progress.request
        request_class = progress.params.request_class
        new_connection = not request_class.repeatable or progress.tries > 1
        first_byte_timeout_s = None
        if not new_connection and self.retry_budget.has_token():
            # Timing out a try is useful only if a retry is allowed.
            first_byte_timeout_s = self.first_byte_timeout(request_class.name)
        started_s = self.clock()
        complete = False
        progress.trace.add("send", f"try {progress.tries} to {endpoint.name}")
        try:
            response = self.endpoint_client.call(
                endpoint,
                EndpointRequest(
                    progress.trace.request_id,
                    request.method,
                    request.target,
                    request.headers,
                    request.body,
                ),
                new_connection,
                first_byte_timeout_s,
                # Slow responses are not cut off. The only limit is the time
                # that a graceful shutdown waits for requests to end.
                self.settings.shutdown.drain_s,
            )
            complete = True
        except EndpointError as error:
            progress.sent = progress.sent or error.sent
            raise
        except BaseException:
            # An unexpected error may occur after the first byte was sent.
            progress.sent = True
            raise
        finally:
            run_ms = round((self.clock() - started_s) * 1000)
            self.admission.end_call(slot.endpoint)
            self.slots.release(slot, run_ms, complete)
        progress.trace.add(
            "answer", f"{response.status} from {endpoint.name}, {run_ms} ms"
        )
        health = self.health.pool(endpoint.pool)
        if response.status >= 500:
            health.record_failure(endpoint.name, "call", self.clock())
        else:
            health.record_success(endpoint.name, self.clock())
        return response

    def record_failure(
        self,
        progress: RequestProgress,
        endpoint: Endpoint,
        error: EndpointError,
    ) -> None:
        """Update the endpoint's health and the exclusions after a failure."""
        progress.trace.add("try_failed", f"{endpoint.name}: {error.reason}")
        health = self.health.pool(endpoint.pool)
        now_s = self.clock()
        if isinstance(error, EndpointRefusedError):
            if error.leaving:
                health.record_leaving(endpoint.name, "refusal", now_s)
            self.exclude_endpoint(progress, endpoint.name)
            return
        if error.reason not in HEALTH_NEUTRAL_REASONS:
            health.record_failure(endpoint.name, "call", now_s)
        if error.reason != "reused_connection_closed":
            self.exclude_endpoint(progress, endpoint.name)

    def exclude_endpoint(self, progress: RequestProgress, name: str) -> None:
        """Avoid an endpoint for the rest of the request.

        Once all endpoints of the pool are excluded, each of them may be
        tried again.
        """
        progress.exclude |= {name}
        pool = progress.params.request_class.pool
        names = {e.name for e in self.directory.endpoints(pool)}
        if names <= progress.exclude:
            progress.exclude = frozenset()

    def check_retry(
        self, progress: RequestProgress, error: EndpointError
    ) -> None:
        """Allow one more try, or end the request.

        :raises RequestError: if the request ends here.
        """
        if (
            error.reason in NON_RETRYABLE_REASONS
            or progress.tries >= TRIES_LIMIT
        ):
            reason, message = error.reason, str(error)
        elif self.clock() >= progress.deadline_s:
            reason, message = "deadline", f"deadline passed after: {error}"
        elif not self.retry_budget.take_token():
            self.metrics.incr("requests.retry_budget_empty")
            reason = "retry_budget"
            message = f"no retry is left in the budget after: {error}"
        else:
            self.metrics.incr("requests.retries")
            return
        raise progress.make_error(reason, message, RETRY_AFTER_S) from error
