"""At most once: claims and outcomes, committed to the store in groups."""

import random
import time
from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeoutError
from threading import Condition, Event

from cyclamenscale.errors import (
    LeaseLostError,
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
)
from cyclamenscale.metrics import Metrics
from cyclamenscale.requests.claim_queue import OutcomeCache, UpdateQueue
from cyclamenscale.requests.claim_records import (
    ABANDONED,
    CLAIMED,
    DONE,
    NEW,
    PENDING,
    ClaimRecord,
    ClaimResult,
    ClaimUpdate,
    OpenClaim,
    RecordedOutcome,
    Resolution,
    build_transaction,
    choose_group,
    resolve_failed,
    resolve_succeeded,
    result_of_existing,
    result_of_pending,
    store_key,
    truncate_outcome,
)
from cyclamenscale.requests.limits import backoff_s
from cyclamenscale.settings import Settings
from cyclamenscale.store.port import Store
from cyclamenscale.util.clock import Clock, monotonic

QUEUE_LIMIT = 4096
QUEUE_LIMIT_BYTES = 33554432
OPEN_CLAIMS_LIMIT = 20000
OUTCOME_CACHE_LIMIT_BYTES = 16777216
LEASE_REUSE_S = 3600
# New claims wait for the next try while the store is down, so the back-off
# stays well below the time that a caller waits.
BACKOFF_MAX_S = 1.0
# Outcomes are committed within a few tens of milliseconds after the answer
# unless the store is slow; a longer run is not waited for.
OUTCOME_POLL_WAITS_S = (0.05, 0.1, 0.2)
FLUSH_TIMEOUT_S = 5.0
STOP_POLL_S = 0.1


class Claims:
    """Makes claims, and records their outcomes.

    :param settings: the whole settings.
    :param store: the store.
    :param metrics: counters ``claims.*``.
    :param clock: monotonic seconds, for pacing and the age of leases.
    :param wall: seconds since the epoch, for the records.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        metrics: Metrics,
        clock: Clock = monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        """Start without claims."""
        self.settings = settings.claims
        self.backoff_limits = settings.limits._replace(
            backoff_max_s=min(settings.limits.backoff_max_s, BACKOFF_MAX_S)
        )
        self.entry = settings.entry.name
        self.store = store
        self.metrics = metrics
        self.clock = clock
        self.wall_clock = wall_clock
        self.rng = random.Random()
        # Guards queue, flying, held, known and the fields of queued steps.
        self.lock = Condition()
        self.queue = UpdateQueue(QUEUE_LIMIT, QUEUE_LIMIT_BYTES)
        self.in_flight: list[ClaimUpdate] = []
        self.open_claims: OrderedDict[str, OpenClaim] = OrderedDict()
        self.outcome_cache = OutcomeCache(
            OUTCOME_CACHE_LIMIT_BYTES, self.settings.retention_s, clock
        )
        # The fields below belong to the committing thread.
        self.lease = 0
        self.lease_granted_s = 0.0
        self.failures = 0

    def claim(
        self,
        class_name: str,
        key: str,
        digest: str,
        attempt_id: str,
        timeout_s: float,
    ) -> ClaimResult:
        """Claim a key for an attempt; blocks until the store has answered.

        :param class_name: class of the request.
        :param key: the caller's idempotency key.
        :param digest: digest of the request.
        :param attempt_id: unique id of this attempt.
        :param timeout_s: how long to wait.
        :raises StoreUnavailableError: if the key was certainly not claimed.
        :raises StoreAnswerLostError: if the answer did not come in time;
            the claim is abandoned in the background, so the attempt must
            not run.
        """
        until_s = self.clock() + timeout_s
        step = self.submit(class_name, key, digest, attempt_id)
        try:
            result = step.result.result(timeout_s)
        except FutureTimeoutError:
            result = self.give_up(step)
        if result.state == PENDING:
            return self.await_outcome(step, until_s)
        return result

    def await_outcome(self, step: ClaimUpdate, until_s: float) -> ClaimResult:
        """Read the outcome of an earlier attempt that has just ended.

        An entry answers its caller before the outcome is committed, so that
        the caller may repeat its request through another entry sooner.
        """
        for wait_s in OUTCOME_POLL_WAITS_S:
            if self.clock() + wait_s > until_s:
                break
            time.sleep(wait_s)
            try:
                current = self.store.get(step.key)[1]
            except StoreError:
                break
            result = result_of_pending(current, step.record.digest)
            if result.state != PENDING:
                return result
        return ClaimResult(PENDING)

    def submit(
        self, class_name: str, key: str, digest: str, attempt_id: str
    ) -> ClaimUpdate:
        """Queue a claim; its result comes in ``Step.result``.

        :raises StoreUnavailableError: if the queue is full.
        """
        name = store_key(class_name, key)
        record = self.make_record(CLAIMED, class_name, attempt_id, digest)
        step = ClaimUpdate(name, record, 0, self.clock())
        with self.lock:
            found = self.outcome_cache.find(name)
            if found:
                self.metrics.incr("claims.known")
                step.result.set_result(result_of_existing(found, digest))
                return step
            if not self.queue.fits(step):
                self.metrics.incr("claims.refused")
                raise StoreUnavailableError("claim", "the queue is full")
            self.enqueue(step)
        return step

    def give_up(self, step: ClaimUpdate) -> ClaimResult:
        """End the wait for a claim.

        :returns: the result, if it came just now.
        :raises StoreUnavailableError: if the claim was never sent.
        :raises StoreAnswerLostError: if it may have been made; it is
            abandoned in the background.
        """
        with self.lock:
            if step.result.done():
                return step.result.result()
            self.metrics.incr("claims.given_up")
            step.given_up = True
            if step in self.in_flight:
                raise StoreAnswerLostError("claim", "no answer in time")
            self.queue.remove(step)
            if not step.in_doubt:
                raise StoreUnavailableError("claim", "not sent in time")
            self.enqueue(self.make_abandon_update(step, step.revision))
        raise StoreAnswerLostError("claim", "no answer in time")

    def record(
        self,
        class_name: str,
        key: str,
        attempt_id: str,
        outcome: RecordedOutcome,
    ) -> None:
        """Queue the outcome of an attempt that ran.

        :param class_name: class of the request.
        :param key: the caller's idempotency key.
        :param attempt_id: the attempt, whose claim was ``new``.
        :param outcome: its outcome; a body over
            ``claims.outcome_limit_bytes`` is not kept.
        """
        kept = truncate_outcome(outcome, self.settings.outcome_limit_bytes)
        self.settle(class_name, key, attempt_id, DONE, kept)

    def abandon(self, class_name: str, key: str, attempt_id: str) -> None:
        """Free the key of a request that certainly did not run."""
        self.settle(class_name, key, attempt_id, ABANDONED, None)

    def settle(
        self,
        class_name: str,
        key: str,
        attempt_id: str,
        state: str,
        outcome: RecordedOutcome | None,
    ) -> None:
        """Queue the last step of a claim."""
        name = store_key(class_name, key)
        with self.lock:
            held = self.open_claims.get(name)
            if held is None or held.attempt_id != attempt_id:
                # Forgotten because too many were open, or settled before.
                # Without the digest a later request could not be compared.
                self.metrics.incr("claims.not_held")
                return
            del self.open_claims[name]
            record = self.make_record(
                state, class_name, attempt_id, held.digest, outcome
            )
            step = ClaimUpdate(name, record, held.revision, self.clock())
            if state == DONE:
                self.outcome_cache.add(step)
            if not self.queue.fits(step):
                self.metrics.incr("claims.dropped")
                return
            self.enqueue(step)

    def run(self, stop: Event) -> None:
        """Commit groups until told to stop, then what is queued.

        :param stop: set when all requests have ended.
        """
        interval_s = 1.0 / self.settings.writes_per_s
        while not stop.is_set():
            with self.lock:
                if not self.queue:
                    self.lock.wait(STOP_POLL_S)
                    continue
            self.commit_once()
            stop.wait(max(interval_s, self.backoff_delay_s()))
        until_s = self.clock() + FLUSH_TIMEOUT_S
        while self.queue and not self.failures and self.clock() < until_s:
            self.commit_once()
            time.sleep(interval_s)
        if self.queue:
            self.metrics.incr("claims.left_at_stop", len(self.queue))

    def backoff_delay_s(self) -> float:
        """Return how long to wait after failures, in seconds."""
        if not self.failures:
            return 0.0
        return backoff_s(self.backoff_limits, self.failures, self.rng)

    def commit_once(self) -> None:
        """Send one transaction with the oldest steps."""
        with self.lock:
            oldest_s = self.clock() - self.settings.retention_s
            dropped = self.queue.drop_before(oldest_s)
            if dropped:
                self.metrics.incr("claims.dropped", dropped)
            group = choose_group(self.queue, self.settings.group_limit)
            for step in group:
                self.queue.remove(step)
            self.in_flight = group
        if not group:
            return
        verdicts: dict[str, Resolution] = {}
        refused: StoreError | None = None
        sent = False
        try:
            self.ensure_lease()
            sent = True
            verdicts = self.send_group(group)
            self.failures = 0
        except StoreAnswerLostError:
            self.failures += 1
            self.metrics.incr("claims.answers_lost")
        except LeaseLostError:
            sent = False
            self.failures += 1
            self.lease = 0
            self.metrics.incr("claims.leases_lost")
        except StoreError as error:
            # This transaction certainly has no effect.
            sent = False
            self.failures += 1
            self.metrics.incr("claims.store_failures")
            refused = error
        finally:
            # Also on an unexpected error: the steps are then in doubt.
            self.finish_group(group, verdicts, sent, refused)

    def ensure_lease(self) -> None:
        """Make a lease for the claims of the next hour.

        It lives an hour longer than claims are kept, so that the last claim
        that hangs on it is kept long enough.

        :raises StoreUnavailableError: if it could not be made; an answer
            that is lost leaves a lease without keys, which is harmless.
        """
        now_s = self.clock()
        if self.lease and now_s - self.lease_granted_s < LEASE_REUSE_S:
            return
        try:
            ttl_s = self.settings.retention_s + LEASE_REUSE_S
            self.lease = self.store.lease_grant(ttl_s)
        except StoreAnswerLostError as error:
            raise StoreUnavailableError("lease_grant", str(error)) from error
        self.lease_granted_s = now_s

    def send_group(self, group: list[ClaimUpdate]) -> dict[str, Resolution]:
        """Send the transaction of a group and judge its steps."""
        compares, writes = build_transaction(group, self.lease)
        self.metrics.incr("claims.transactions")
        self.metrics.incr("claims.steps", len(group))
        result = self.store.txn(compares, writes)
        if result.succeeded:
            return {
                step.key: resolve_succeeded(step, result.revision)
                for step in group
            }
        self.metrics.incr("claims.transactions_failed")
        return {
            step.key: resolve_failed(step, result.current.get(step.key))
            for step in group
        }

    def finish_group(
        self,
        group: list[ClaimUpdate],
        verdicts: dict[str, Resolution],
        sent: bool,
        refused: StoreError | None,
    ) -> None:
        """Settle the steps of a transaction or queue them again."""
        with self.lock:
            self.in_flight = []
            for step in reversed(group):
                step.tries += 1
                verdict = verdicts.get(step.key)
                if verdict is None:
                    step.in_doubt = step.in_doubt or sent
                elif not verdict.settled:
                    # The comparison was answered: no transaction that
                    # carried the old revision can take effect any more,
                    # unless the revision is the same.
                    step.in_doubt = (
                        step.in_doubt and verdict.revision == step.revision
                    )
                    step.revision = verdict.revision
                if verdict and verdict.settled:
                    self.apply_resolution(step, verdict)
                elif step.is_claim and not step.in_doubt and refused:
                    self.reject_claim(step, refused)
                elif step.given_up and step.in_doubt:
                    self.enqueue(self.make_abandon_update(step, step.revision))
                elif not step.given_up:
                    self.enqueue(step, first=True)
            if refused and self.failures > 1:
                self.reject_queued_claims(refused)

    def apply_resolution(self, step: ClaimUpdate, verdict: Resolution) -> None:
        """Take note of a step that is settled."""
        if verdict.superseded and step.record.state == DONE:
            self.metrics.incr("claims.conflicts")
        if verdict.result is None:
            return
        if verdict.result.state == NEW:
            if step.given_up:
                self.enqueue(self.make_abandon_update(step, verdict.revision))
                return
            self.add_open_claim(step, verdict.revision)
        if not step.given_up:
            self.metrics.incr(f"claims.{verdict.result.state}")
            waited_ms = (self.clock() - step.queued_s) * 1000
            self.metrics.timing("claims.wait_ms", waited_ms)
            step.result.set_result(verdict.result)

    def reject_claim(self, step: ClaimUpdate, error: StoreError) -> None:
        """Tell the caller that a claim was certainly not made."""
        if not step.given_up:
            reason = StoreUnavailableError("claim", str(error))
            step.result.set_exception(reason)

    def reject_queued_claims(self, error: StoreError) -> None:
        """Refuse the claims behind a group while the store is down.

        Outcomes that are sent again would fill all groups, and claims would
        wait until they time out.
        """
        for step in [s for s in self.queue if s.is_claim]:
            if not step.in_doubt:
                self.queue.remove(step)
                self.reject_claim(step, error)

    def make_abandon_update(
        self, step: ClaimUpdate, revision: int
    ) -> ClaimUpdate:
        """Return the step that abandons a claim."""
        record = step.record._replace(
            state=ABANDONED, entry=self.entry, when_s=self.wall_clock()
        )
        return ClaimUpdate(step.key, record, revision, self.clock())

    def add_open_claim(self, step: ClaimUpdate, revision: int) -> None:
        """Remember a claim until it is settled."""
        self.open_claims[step.key] = OpenClaim(
            step.record.attempt_id, step.record.digest, revision
        )
        if len(self.open_claims) > OPEN_CLAIMS_LIMIT:
            self.open_claims.popitem(last=False)
            self.metrics.incr("claims.forgotten")

    def enqueue(self, step: ClaimUpdate, first: bool = False) -> None:
        """Add a step to the queue and wake the committing thread."""
        self.queue.add(step, first)
        self.lock.notify()

    def make_record(
        self,
        state: str,
        class_name: str,
        attempt_id: str,
        digest: str,
        outcome: RecordedOutcome | None = None,
    ) -> ClaimRecord:
        """Make a record with this entry's name and time."""
        return ClaimRecord(
            attempt_id,
            digest,
            state,
            class_name,
            self.entry,
            self.wall_clock(),
            outcome,
        )
