"""One request of a caller: check, admit, claim, run, record, answer."""

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
from cyclamenscale.requests.admission import (
    CallerAnswer,
    CallerRequest,
    check_request,
)
from cyclamenscale.requests.attempts import Attempts, FreshnessPort, Progress
from cyclamenscale.requests.claim_records import RecordedOutcome
from cyclamenscale.requests.endpoints import Answer, EndpointClient
from cyclamenscale.requests.gate import RETRY_AFTER_S, Gate
from cyclamenscale.requests.outliers import PoolsHealth
from cyclamenscale.requests.recent import RecentRequests
from cyclamenscale.settings import Settings
from cyclamenscale.util.clock import Clock


class Dispatcher:
    """Handles the requests of callers; called from many threads.

    :param settings: the whole settings.
    :param config: object with the applied configuration as ``view``.
    :param freshness: may this entry admit work.
    :param directory: endpoints of the pools.
    :param health: health of the endpoints.
    :param slots: ``acquire`` and ``release`` of ``slots.py``.
    :param claims: ``claim``, ``record`` and ``abandon`` of ``claims.py``.
    :param endpoint_client: client to endpoints.
    :param metrics: counters.
    :param clock: monotonic seconds.
    :param rng: random source of request ids and back-off; in a running
        entry seeded by the system, because request ids are the ids of
        claims and must differ between entries and restarts.
    :param first_byte_limit: bound on the wait for the first byte by class,
        from its learned run times, in seconds.
    :param pause: waits for some seconds.
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
        first_byte_limit: Callable[[str], float | None] = lambda name: None,
        pause: Callable[[float], object] | None = None,
    ):
        """Keep the parts; no thread is started."""
        self.settings = settings
        self.config = config
        self.health = health
        self.claims = claims
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.gate = Gate(settings)
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
            self.gate,
            first_byte_limit,
            pause,
        )
        self.recent = RecentRequests(clock)

    def begin_shutdown(self) -> None:
        """Admit nothing from now on; requests in progress go on."""
        self.gate.begin_shutdown()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress.

        :returns: whether none is.
        """
        return self.gate.wait_idle(timeout_s)

    @property
    def shutting_down(self) -> bool:
        """Return whether :meth:`begin_shutdown` was called."""
        return self.gate.closing

    def in_progress_at(self, endpoint: str) -> int:
        """Return how many requests this entry may be sending to an endpoint.

        A request is counted before the last check of its endpoint. So once
        an exclusion has been applied here, a count of 0 stays 0.
        """
        return self.gate.at_endpoint(endpoint)

    def explain(self, request_id: str) -> dict | None:
        """Return the steps of a recent request."""
        return self.recent.explain(request_id)

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Handle a request; blocks until it ends, and never raises.

        :param request: the request with its whole body.
        """
        # The name keeps ids of entries with equal random states apart.
        request_id = (
            f"{self.settings.entry.name}-{self.rng.getrandbits(64):016x}"
        )
        trace = self.recent.start(request_id)
        progress = Progress(trace, request)
        self.gate.enter()
        answer, error = None, None
        try:
            answer = self.process(progress)
            trace.outcome = "answered"
        except RequestError as caught:
            error = caught
            trace.outcome = caught.outcome
        except Exception:
            logger.exception("request {} failed", request_id)
            error = progress.end("internal_error", "the entry has a fault")
            trace.outcome = error.outcome
        finally:
            self.gate.leave(progress.admitted)
        if error:
            trace.add(error.reason, error.message)
            self.metrics.incr(f"requests.reason.{error.reason}")
        self.metrics.incr(f"requests.{trace.outcome}")
        wait_ms = round(progress.wait_s * 1000)
        self.metrics.timing("requests.wait_ms", wait_ms)
        return CallerAnswer(request_id, trace.outcome, wait_ms, answer, error)

    def process(self, progress: Progress) -> Answer:
        """Check and admit a request, and run it."""
        self.attempts.wait_fresh()
        view = self.config.view
        demand = check_request(progress.request, view)
        progress.demand = demand
        progress.deadline_s = progress.trace.arrived_s + (
            demand.deadline_ms / 1000
        )
        request_class = demand.request_class
        self.attempts.check_fresh(progress)
        health = self.health.pool(request_class.pool)
        self.gate.admit(request_class, view, health, self.clock())
        progress.admitted = request_class.name
        progress.trace.add("admitted", f"class {request_class.name}")
        self.attempts.budget.record_request()
        if request_class.repeatable:
            return self.attempts.run(progress)
        return self.run_once(progress)

    def run_once(self, progress: Progress) -> Answer:
        """Run a request at most once, under a claim of its key."""
        demand = progress.demand
        key = demand.key
        claim = self.claim(progress)
        progress.trace.add("claim", claim.state)
        if claim.state == "mismatch":
            raise KeyReusedError(key)
        if claim.state == "pending":
            raise KeyPendingError(key, "claimed")
        if claim.state == "recorded":
            outcome = claim.outcome
            if not outcome.whole:
                state = "answer_not_kept" if outcome.status else "unknown"
                raise KeyPendingError(key, state)
            return Answer(
                outcome.status,
                tuple((name, value) for name, value in outcome.headers),
                outcome.body,
            )
        try:
            answer = self.attempts.run(progress)
        except BaseException:
            if progress.sent:
                self.record(progress, None)
            else:
                self.abandon(progress)
            raise
        self.record(progress, answer)
        return answer

    def claim(self, progress: Progress):
        """Claim the key of a request.

        :raises NotRunError: if the store did not confirm the claim.
        """
        demand = progress.demand
        left_s = progress.deadline_s - self.clock()
        timeout_s = min(self.settings.claims.wait_s, left_s)
        try:
            return self.claims.claim(
                demand.request_class.name,
                demand.key,
                demand.digest,
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
            # The claim may stand in the store; claims.py abandons it.
            raise NotRunError(
                "claim_unconfirmed",
                "the store did not confirm the claim of the key",
                RETRY_AFTER_S,
            ) from error

    def record(self, progress: Progress, answer: Answer | None) -> None:
        """Record the outcome of a claimed request, None for unknown.

        A failure is not the caller's: without a record, a repetition is
        answered with "unknown", never run.
        """
        demand = progress.demand
        outcome = RecordedOutcome(0, [], b"", False)
        if answer:
            outcome = RecordedOutcome(
                answer.status, list(answer.headers), answer.body
            )
        try:
            self.claims.record(
                demand.request_class.name,
                demand.key,
                progress.trace.request_id,
                outcome,
            )
            progress.trace.add("recorded", f"status {outcome.status}")
        except StoreError as error:
            self.metrics.incr("claims.record_failed")
            progress.trace.add("record_failed", str(error))

    def abandon(self, progress: Progress) -> None:
        """Take back the claim of a request that certainly did not run."""
        demand = progress.demand
        try:
            self.claims.abandon(
                demand.request_class.name,
                demand.key,
                progress.trace.request_id,
            )
            progress.trace.add("abandoned")
        except StoreError as error:
            self.metrics.incr("claims.abandon_failed")
            progress.trace.add("abandon_failed", str(error))
