"""Handling of one request: validate, admit, claim, run, record."""

import random
from collections.abc import Callable

from loguru import logger

from cyclamenscale.errors import (
    KeyPendingError,
    KeyReusedError,
    NotRunError,
    RequestError,
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.requests.admission_control import (
    RETRY_AFTER_S,
    AdmissionControl,
)
from cyclamenscale.requests.attempts import (
    Attempts,
    FreshnessPort,
    RequestProgress,
)
from cyclamenscale.requests.claim_records import RecordedOutcome
from cyclamenscale.requests.endpoints import EndpointClient, EndpointResponse
from cyclamenscale.requests.outliers import PoolsHealth
from cyclamenscale.requests.recent import RecentRequests
from cyclamenscale.requests.validation import (
    CallerRequest,
    RequestResult,
    check_request,
)
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock


class Dispatcher:
    """Handles the requests of callers; called from many threads.

    :param settings: settings of the entry.
    :param config: provides the applied configuration as ``view``.
    :param freshness: reports whether this entry may admit work.
    :param directory: directory of the endpoints.
    :param health: health of the endpoints.
    :param slots: ``acquire`` and ``release`` of ``slots.py``.
    :param claims: ``claim``, ``record`` and ``abandon`` of ``claims.py``.
    :param endpoint_client: client to endpoints.
    :param metrics: counters.
    :param clock: monotonic seconds.
    :param rng: random source of request ids and back-off; in a running
        entry seeded by the system, because request ids are the attempt ids
        of claims and must differ between entries and restarts.
    :param first_byte_timeout: returns the timeout of the first byte for a
        class, from its run time estimates, in seconds.
    :param sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        settings: Settings,
        config,
        freshness: FreshnessPort,
        directory,
        health: PoolsHealth,
        slots,
        claims,
        endpoint_client: EndpointClient,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        first_byte_timeout: Callable[[str], float | None] = lambda name: None,
        sleep: Callable[[float], object] | None = None,
    ):
        """Initialise with no requests; starts no threads."""
        self.settings = settings
        self.config = config
        self.health = health
        self.claims = claims
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.admission = AdmissionControl(settings)
        self.attempts = Attempts(
            settings,
            freshness,
            directory,
            health,
            slots,
            endpoint_client,
            metrics,
            clock,
            rng,
            self.admission,
            first_byte_timeout,
            sleep,
        )
        self.recent = RecentRequests(clock)

    def begin_shutdown(self) -> None:
        """Stop admitting requests; those in progress continue."""
        self.admission.begin_shutdown()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress.

        :returns: False on a timeout.
        """
        return self.admission.wait_idle(timeout_s)

    @property
    def shutting_down(self) -> bool:
        """Return whether :meth:`begin_shutdown` was called."""
        return self.admission.shutting_down

    def in_progress_at(self, endpoint: str) -> int:
        """Return how many requests this entry may be sending to an endpoint.

        A request is counted before the last check of its endpoint. So once
        this entry has applied an exclusion, a count of 0 stays 0.
        """
        return self.admission.calls_at(endpoint)

    def explain(self, request_id: str) -> dict | None:
        """Return the steps of a recent request."""
        return self.recent.explain(request_id)

    def handle(self, request: CallerRequest) -> RequestResult:
        """Handle a request; blocks until it ends, and never raises.

        :param request: the request with its whole body.
        """
        # The name keeps ids unique among entries with equal random states.
        request_id = (
            f"{self.settings.entry.name}-{self.rng.getrandbits(64):016x}"
        )
        trace = self.recent.start(request_id)
        progress = RequestProgress(trace, request)
        self.admission.begin_request()
        response, error = None, None
        try:
            response = self.process(progress)
            trace.outcome = "answered"
        except RequestError as caught:
            error = caught
            trace.outcome = caught.outcome
        except Exception:
            logger.exception("request {} failed", request_id)
            error = progress.make_error(
                "internal_error", "the entry has a fault"
            )
            trace.outcome = error.outcome
        finally:
            self.admission.end_request(progress.admitted_class)
        if error:
            trace.add(error.reason, error.message)
            self.metrics.incr(f"requests.reason.{error.reason}")
        self.metrics.incr(f"requests.{trace.outcome}")
        wait_ms = round(progress.wait_s * 1000)
        self.metrics.timing("requests.wait_ms", wait_ms)
        return RequestResult(
            request_id, trace.outcome, wait_ms, response, error
        )

    def process(self, progress: RequestProgress) -> EndpointResponse:
        """Validate, admit and run a request."""
        self.attempts.wait_fresh()
        view = self.config.view
        params = check_request(progress.request, view)
        progress.params = params
        progress.deadline_s = progress.trace.arrived_s + (
            params.deadline_ms / 1000
        )
        request_class = params.request_class
        self.attempts.check_fresh(progress)
        health = self.health.pool(request_class.pool)
        self.admission.admit(request_class, view, health, self.clock())
        progress.admitted_class = request_class.name
        progress.trace.add("admitted", f"class {request_class.name}")
        self.attempts.retry_budget.record_request()
        if request_class.repeatable:
            return self.attempts.run(progress)
        return self.run_at_most_once(progress)

    def run_at_most_once(self, progress: RequestProgress) -> EndpointResponse:
        """Run a request under a claim of its key."""
        params = progress.params
        key = params.key
        claim = self.claim(progress)
        progress.trace.add("claim", claim.state)
        if claim.state == "mismatch":
            raise KeyReusedError(key)
        if claim.state == "pending":
            raise KeyPendingError(key, "claimed")
        if claim.state == "recorded":
            outcome = claim.outcome
            if not outcome.complete:
                state = "answer_not_kept" if outcome.status else "unknown"
                raise KeyPendingError(key, state)
            return EndpointResponse(
                outcome.status,
                tuple((name, value) for name, value in outcome.headers),
                outcome.body,
            )
        try:
            response = self.attempts.run(progress)
        except BaseException:
            if progress.sent:
                self.record(progress, None)
            else:
                self.abandon(progress)
            raise
        self.record(progress, response)
        return response

    def claim(self, progress: RequestProgress):
        """Claim the key of a request.

        :raises NotRunError: if the store did not confirm the claim.
        """
        params = progress.params
        remaining_s = progress.deadline_s - self.clock()
        timeout_s = min(self.settings.claims.wait_s, remaining_s)
        try:
            return self.claims.claim(
                params.request_class.name,
                params.key,
                params.digest,
                progress.trace.request_id,
                max(0.0, timeout_s),
            )
        except StoreUnavailableError as error:
            raise NotRunError(
                "store_unavailable",
                "the key could not be claimed, the store is unavailable",
                RETRY_AFTER_S,
            ) from error
        except StoreAnswerLostError as error:
            # The store may have the claim; claims.py abandons it.
            raise NotRunError(
                "claim_unconfirmed",
                "the store did not confirm the claim of the key",
                RETRY_AFTER_S,
            ) from error

    def record(
        self, progress: RequestProgress, response: EndpointResponse | None
    ) -> None:
        """Record the outcome of a claimed request, None for unknown.

        A failure is not reported to the caller: without a recorded outcome,
        a repeated request ends as ``unknown`` and does not run.
        """
        params = progress.params
        outcome = RecordedOutcome(0, [], b"", False)
        if response:
            outcome = RecordedOutcome(
                response.status, list(response.headers), response.body
            )
        try:
            self.claims.record(
                params.request_class.name,
                params.key,
                progress.trace.request_id,
                outcome,
            )
            progress.trace.add("recorded", f"status {outcome.status}")
        except StoreError as error:
            self.metrics.incr("claims.record_failed")
            progress.trace.add("record_failed", str(error))

    def abandon(self, progress: RequestProgress) -> None:
        """Abandon the claim of a request that certainly did not run."""
        params = progress.params
        try:
            self.claims.abandon(
                params.request_class.name,
                params.key,
                progress.trace.request_id,
            )
            progress.trace.add("abandoned")
        except StoreError as error:
            self.metrics.incr("claims.abandon_failed")
            progress.trace.add("abandon_failed", str(error))
