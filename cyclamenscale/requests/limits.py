"""Retry budget, back-off and rate limit; clock and random are injected."""

import random
from threading import Lock

from cyclamenscale.settings import LimitsSettings
from cyclamenscale.util.clock import Clock


class RetryBudget:
    """Keeps retries under a share of the load.

    Each request adds ``retry_share`` of a token, each retry takes one, and
    at most ``retry_burst`` tokens are saved. So n requests allow at most
    ``retry_share * n + retry_burst`` retries, and a pool that fails as a
    whole is not flooded by retries.

    :param settings: ``[limits]``.
    """

    def __init__(self, settings: LimitsSettings):
        """Start with the whole burst."""
        self.settings = settings
        # Guards tokens.
        self.lock = Lock()
        self.tokens = float(settings.retry_burst)

    def record_request(self) -> None:
        """Count a first try."""
        with self.lock:
            self.tokens = min(
                float(self.settings.retry_burst),
                self.tokens + self.settings.retry_share,
            )

    def take_token(self) -> bool:
        """Take the token of one retry, if there is one."""
        with self.lock:
            if self.tokens < 1.0:
                return False
            self.tokens -= 1.0
            return True

    def has_token(self) -> bool:
        """Return whether a retry would be allowed now."""
        with self.lock:
            return self.tokens >= 1.0


def backoff_s(
    settings: LimitsSettings, tries: int, rng: random.Random
) -> float:
    """Return the wait before a retry, with full jitter.

    Uniform between 0 and ``min(max, first * 2 ** (tries - 1))``, so that
    callers that failed together don't return together.

    :param settings: ``[limits]``.
    :param tries: how many tries have failed, at least 1.
    :param rng: random source.
    :returns: seconds.
    """
    # The exponent is bounded because a float overflows at 2 ** 1024.
    ceiling_s = settings.backoff_first_s * 2.0 ** min(tries - 1, 60)
    return rng.uniform(0.0, min(settings.backoff_max_s, ceiling_s))


class TokenBucket:
    """A token bucket.

    :param rate_per_s: tokens that arrive per second.
    :param burst: tokens that are kept at most.
    :param clock: monotonic seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, clock: Clock):
        """Start with a full bucket."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        # Guards tokens, filled_s.
        self.lock = Lock()
        self.tokens = burst
        self.refilled_s = clock()

    def take(self, count: float = 1.0) -> float:
        """Take tokens.

        :param count: how many.
        :returns: 0 if they were taken, else seconds until they can be.
        """
        with self.lock:
            now_s = self.clock()
            added = (now_s - self.refilled_s) * self.rate_per_s
            self.tokens = min(self.burst, self.tokens + max(0.0, added))
            self.refilled_s = now_s
            if self.tokens >= count:
                self.tokens -= count
                return 0.0
            return (count - self.tokens) / self.rate_per_s
