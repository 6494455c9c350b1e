"""Claims for at-most-once execution, written to the store in groups."""

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
# How long new claims share one lease.
LEASE_REUSE_S = 3600
# While the store is down, new claims wait for the next try, so the back-off
# must stay well below the time that a caller waits.
BACKOFF_MAX_S = 1.0
# Waits between reads of a pending claim. An outcome is committed within a few
# tens of milliseconds of the response unless the store is slow. The end of a
# request that is still running is not awaited.
OUTCOME_POLL_WAITS_S = (0.05, 0.1, 0.2)
FLUSH_TIMEOUT_S = 5.0
STOP_POLL_S = 0.1


class Claims:
    """Claims idempotency keys, and records the outcomes of requests.

    :param settings: settings of the entry.
    :param store: the store.
    :param metrics: counters ``claims.*``.
    :param clock: monotonic seconds, for timeouts and the age of leases.
    :param wall_clock: seconds since the epoch, for the records.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        metrics: Metrics,
        clock: Clock = monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        """Initialise with no claims."""
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
        # Guards queue, in_flight, open_claims, outcome_cache and the fields of
        # queued updates.
        self.lock = Condition()
        self.queue = UpdateQueue(QUEUE_LIMIT, QUEUE_LIMIT_BYTES)
        self.in_flight: list[ClaimUpdate] = []
        self.open_claims: OrderedDict[str, OpenClaim] = OrderedDict()
        self.outcome_cache = OutcomeCache(
            OUTCOME_CACHE_LIMIT_BYTES, self.settings.retention_s, clock
        )
        # Only the committing thread uses the fields below.
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
        """Claim a key for an attempt; blocks until the result is known.

        :param class_name: class of the request.
        :param key: the caller's idempotency key.
        :param digest: digest of the request.
        :param attempt_id: unique id of this attempt.
        :param timeout_s: how long to wait.
        :raises StoreUnavailableError: if the key was certainly not claimed.
        :raises StoreAnswerLostError: if the store did not respond in time.
            The claim is abandoned in the background, so the attempt must
            not run.
        """
        until_s = self.clock() + timeout_s
        update = self.submit(class_name, key, digest, attempt_id)
        try:
            result = update.result.result(timeout_s)
        except FutureTimeoutError:
            result = self.give_up(update)
        if result.state == PENDING:
            return self.await_outcome(update, until_s)
        return result

    def await_outcome(
        self, update: ClaimUpdate, until_s: float
    ) -> ClaimResult:
        """Poll for the outcome of an earlier attempt that may just have ended.

        An entry responds to its caller before it commits the outcome, so the
        caller may repeat the request at another entry before the commit.
        """
        for wait_s in OUTCOME_POLL_WAITS_S:
            if self.clock() + wait_s > until_s:
                break
            time.sleep(wait_s)
            try:
                current = self.store.get(update.key)[1]
            except StoreError:
                break
            result = result_of_pending(current, update.record.digest)
            if result.state != PENDING:
                return result
        return ClaimResult(PENDING)

    def submit(
        self, class_name: str, key: str, digest: str, attempt_id: str
    ) -> ClaimUpdate:
        """Queue a claim; its result is set in ``ClaimUpdate.result``.

        :raises StoreUnavailableError: if the queue is full.
        """
        record_key = store_key(class_name, key)
        record = self.make_record(CLAIMED, class_name, attempt_id, digest)
        update = ClaimUpdate(record_key, record, 0, self.clock())
        with self.lock:
            found = self.outcome_cache.find(record_key)
            if found:
                self.metrics.incr("claims.known")
                update.result.set_result(result_of_existing(found, digest))
                return update
            if not self.queue.fits(update):
                self.metrics.incr("claims.refused")
                raise StoreUnavailableError("claim", "the queue is full")
            self.enqueue(update)
        return update

    def give_up(self, update: ClaimUpdate) -> ClaimResult:
        """Stop waiting for a claim.

        :returns: the result, if it has arrived in the meantime.
        :raises StoreUnavailableError: if the claim was never sent.
        :raises StoreAnswerLostError: if it may have been made; it is
            abandoned in the background.
        """
        with self.lock:
            if update.result.done():
                return update.result.result()
            self.metrics.incr("claims.given_up")
            update.given_up = True
            if update in self.in_flight:
                raise StoreAnswerLostError("claim", "no answer in time")
            self.queue.remove(update)
            if not update.in_doubt:
                raise StoreUnavailableError("claim", "not sent in time")
            self.enqueue(self.make_abandon_update(update, update.revision))
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
        :param attempt_id: id of the attempt, whose claim was ``new``.
        :param outcome: outcome of the attempt; a body over
            ``claims.outcome_limit_bytes`` is not kept.
        """
        stored_outcome = truncate_outcome(
            outcome, self.settings.outcome_limit_bytes
        )
        self.settle(class_name, key, attempt_id, DONE, stored_outcome)

    def abandon(self, class_name: str, key: str, attempt_id: str) -> None:
        """Release the key of a request that certainly did not run."""
        self.settle(class_name, key, attempt_id, ABANDONED, None)

    def settle(
        self,
        class_name: str,
        key: str,
        attempt_id: str,
        state: str,
        outcome: RecordedOutcome | None,
    ) -> None:
        """Queue the final update of a claim."""
        record_key = store_key(class_name, key)
        with self.lock:
            open_claim = self.open_claims.get(record_key)
            if open_claim is None or open_claim.attempt_id != attempt_id:
                # Dropped because too many claims were open, or settled
                # before. Without its digest, later requests with the same
                # key could not be compared.
                self.metrics.incr("claims.not_held")
                return
            del self.open_claims[record_key]
            record = self.make_record(
                state, class_name, attempt_id, open_claim.digest, outcome
            )
            update = ClaimUpdate(
                record_key, record, open_claim.revision, self.clock()
            )
            if state == DONE:
                self.outcome_cache.add(update)
            if not self.queue.fits(update):
                self.metrics.incr("claims.dropped")
                return
            self.enqueue(update)

    def run(self, stop: Event) -> None:
        """Commit groups until stopped, then the remaining queue.

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
        """Return the back-off after failures, in seconds."""
        if not self.failures:
            return 0.0
        return backoff_s(self.backoff_limits, self.failures, self.rng)

    def commit_once(self) -> None:
        """Send one transaction with the oldest updates."""
        with self.lock:
            oldest_s = self.clock() - self.settings.retention_s
            dropped = self.queue.drop_before(oldest_s)
            if dropped:
                self.metrics.incr("claims.dropped", dropped)
            group = choose_group(self.queue, self.settings.group_limit)
            for update in group:
                self.queue.remove(update)
            self.in_flight = group
        if not group:
            return
        resolutions: dict[str, Resolution] = {}
        refused: StoreError | None = None
        sent = False
        try:
            self.ensure_lease()
            sent = True
            resolutions = self.send_group(group)
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
            # Also after an unexpected error: the updates are then in doubt.
            self.finish_group(group, resolutions, sent, refused)

    def ensure_lease(self) -> None:
        """Grant a lease for the claims of the next hour if there is none.

        Its time to live is the retention plus an hour, so that the last claim
        attached to it is kept for the whole retention.

        :raises StoreUnavailableError: if the lease was not granted. A lost
            response leaves a lease without keys, which is harmless.
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
        """Send the transaction of a group and resolve its updates."""
        compares, writes = build_transaction(group, self.lease)
        self.metrics.incr("claims.transactions")
        self.metrics.incr("claims.steps", len(group))
        result = self.store.txn(compares, writes)
        if result.succeeded:
            return {
                update.key: resolve_succeeded(update, result.revision)
                for update in group
            }
        self.metrics.incr("claims.transactions_failed")
        return {
            update.key: resolve_failed(update, result.current.get(update.key))
            for update in group
        }

    def finish_group(
        self,
        group: list[ClaimUpdate],
        resolutions: dict[str, Resolution],
        sent: bool,
        refused: StoreError | None,
    ) -> None:
        """Apply the resolutions of a group; queue unsettled updates again."""
        with self.lock:
            self.in_flight = []
            for update in reversed(group):
                update.tries += 1
                resolution = resolutions.get(update.key)
                if resolution is None:
                    update.in_doubt = update.in_doubt or sent
                elif not resolution.settled:
                    # If the key's revision has changed, no transaction that
                    # compares the old one can take effect any more.
                    update.in_doubt = (
                        update.in_doubt
                        and resolution.revision == update.revision
                    )
                    update.revision = resolution.revision
                if resolution and resolution.settled:
                    self.apply_resolution(update, resolution)
                elif update.is_claim and not update.in_doubt and refused:
                    self.reject_claim(update, refused)
                elif update.given_up and update.in_doubt:
                    self.enqueue(
                        self.make_abandon_update(update, update.revision)
                    )
                elif not update.given_up:
                    self.enqueue(update, at_front=True)
            if refused and self.failures > 1:
                self.reject_queued_claims(refused)

    def apply_resolution(
        self, update: ClaimUpdate, resolution: Resolution
    ) -> None:
        """Process an update that is settled."""
        if resolution.superseded and update.record.state == DONE:
            self.metrics.incr("claims.conflicts")
        if resolution.result is None:
            return
        if resolution.result.state == NEW:
            if update.given_up:
                self.enqueue(
                    self.make_abandon_update(update, resolution.revision)
                )
                return
            self.add_open_claim(update, resolution.revision)
        if not update.given_up:
            self.metrics.incr(f"claims.{resolution.result.state}")
            waited_ms = (self.clock() - update.queued_s) * 1000
            self.metrics.timing("claims.wait_ms", waited_ms)
            update.result.set_result(resolution.result)

    def reject_claim(self, update: ClaimUpdate, error: StoreError) -> None:
        """Report to the caller that a claim was certainly not made."""
        if not update.given_up:
            reason = StoreUnavailableError("claim", str(error))
            update.result.set_exception(reason)

    def reject_queued_claims(self, error: StoreError) -> None:
        """Reject the queued claims while the store is down.

        Otherwise outcomes that are sent again would fill all groups, and
        claims would wait until they time out.
        """
        for update in [each for each in self.queue if each.is_claim]:
            if not update.in_doubt:
                self.queue.remove(update)
                self.reject_claim(update, error)

    def make_abandon_update(
        self, update: ClaimUpdate, revision: int
    ) -> ClaimUpdate:
        """Return an update that abandons a claim."""
        record = update.record._replace(
            state=ABANDONED, entry=self.entry, when_s=self.wall_clock()
        )
        return ClaimUpdate(update.key, record, revision, self.clock())

    def add_open_claim(self, update: ClaimUpdate, revision: int) -> None:
        """Keep a claim until it is settled."""
        self.open_claims[update.key] = OpenClaim(
            update.record.attempt_id, update.record.digest, revision
        )
        if len(self.open_claims) > OPEN_CLAIMS_LIMIT:
            self.open_claims.popitem(last=False)
            self.metrics.incr("claims.forgotten")

    def enqueue(self, update: ClaimUpdate, at_front: bool = False) -> None:
        """Add an update to the queue and wake the committing thread."""
        self.queue.add(update, at_front)
        self.lock.notify()

    def make_record(
        self,
        state: str,
        class_name: str,
        attempt_id: str,
        digest: str,
        outcome: RecordedOutcome | None = None,
    ) -> ClaimRecord:
        """Return a record with this entry's name and the current time."""
        return ClaimRecord(
            attempt_id,
            digest,
            state,
            class_name,
            self.entry,
            self.wall_clock(),
            outcome,
        )
