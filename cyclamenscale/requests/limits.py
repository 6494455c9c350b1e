"""Retry budget, back-off and token bucket, with injected clock and RNG."""

import random
from threading import Lock

from cyclamenscale.settings import LimitsSettings
from cyclamenscale.util.clock import Clock


class RetryBudget:
    """Limits retries to a share of the requests.

    Each request adds ``retry_share`` of a token, each retry takes one, and
    at most ``retry_burst`` tokens are kept. So n requests allow at most
    ``retry_share * n + retry_burst`` retries, and a pool that fails as a
    whole is not flooded by retries.

    :param settings: the ``[limits]`` section.
    """

    def __init__(self, settings: LimitsSettings):
        """Initialise with a full burst of tokens."""
        self.settings = settings
        # Guards tokens.
        self.lock = Lock()
        self.tokens = float(settings.retry_burst)

    def record_request(self) -> None:
        """Count a new request, which adds ``retry_share`` of a token."""
        with self.lock:
            self.tokens = min(
                float(self.settings.retry_burst),
                self.tokens + self.settings.retry_share,
            )

    def take_token(self) -> bool:
        """Take a token for one retry and return whether there was one."""
        with self.lock:
            if self.tokens < 1.0:
                return False
            self.tokens -= 1.0
            return True

    def has_token(self) -> bool:
        """Return whether a retry is allowed now, without taking a token."""
        with self.lock:
            return self.tokens >= 1.0


def backoff_s(
    settings: LimitsSettings, tries: int, rng: random.Random
) -> float:
    """Return the wait before a retry, with full jitter.

    The wait is uniform between 0 and ``min(max, first * 2 ** (tries - 1))``,
    so that requests that failed together are not retried together.

    :param settings: the ``[limits]`` section.
    :param tries: number of failed tries, at least 1.
    :param rng: random source.
    :returns: wait in seconds.
    """
    # The exponent is bounded because a float overflows at 2 ** 1024.
    ceiling_s = settings.backoff_first_s * 2.0 ** min(tries - 1, 60)
    return rng.uniform(0.0, min(settings.backoff_max_s, ceiling_s))


class TokenBucket:
    """A token bucket.

    :param rate_per_s: tokens added per second.
    :param burst: maximum number of tokens kept.
    :param clock: monotonic clock in seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, clock: Clock):
        """Initialise with a full bucket."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        # Guards tokens, refilled_s.
        self.lock = Lock()
        self.tokens = burst
        self.refilled_s = clock()

    def take(self, count: float = 1.0) -> float:
        """Take tokens if enough are available.

        :param count: number of tokens to take.
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
