"""Tests of retry budget, back-off and token bucket."""

import random

from hypothesis import given
from hypothesis import strategies as st

from cyclamenscale.requests.limits import RetryBudget, TokenBucket, backoff_s
from cyclamenscale.settings import LimitsSettings
from cyclamenscale.util.clock import VirtualClock


@given(st.lists(st.booleans(), max_size=300), st.integers(1, 20))
def test_retries_never_exceed_their_share(steps, burst):
    """Guards against retries that multiply the load of a failing pool."""
    settings = LimitsSettings(retry_share=0.1, retry_burst=burst)
    budget = RetryBudget(settings)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.record_request()
            requests += 1
        elif budget.take_token():
            retries += 1
        assert retries <= 0.1 * requests + burst + 1e-6


def test_the_budget_refills_with_load():
    """Guards against a budget that stays empty once it is used up."""
    budget = RetryBudget(LimitsSettings(retry_share=0.25, retry_burst=1))
    assert budget.take_token()
    assert not budget.take_token()
    for _ in range(4):
        budget.record_request()
    assert budget.take_token()


@given(st.integers(1, 5000), st.integers(0, 99))
def test_backoff_is_within_its_ceiling(tries, seed):
    """Guards against overflow and waits over the maximum."""
    settings = LimitsSettings()
    wait_s = backoff_s(settings, tries, random.Random(seed))
    ceiling_s = settings.backoff_first_s * 2.0 ** min(tries - 1, 60)
    assert 0.0 <= wait_s <= min(settings.backoff_max_s, ceiling_s)


def test_backoff_uses_the_full_range():
    """Guards against requests that are all retried at the same time."""
    rng = random.Random(1)
    waits = [backoff_s(LimitsSettings(), 3, rng) for _ in range(500)]
    assert min(waits) < 0.02 and max(waits) > 0.18


def test_bucket_returns_the_wait_for_tokens():
    """Guards against a burst above the limit after an idle time."""
    clock = VirtualClock()
    bucket = TokenBucket(2.0, 4.0, clock)
    assert bucket.take(4.0) == 0.0
    assert bucket.take() == 0.5
    clock.advance(100.0)
    assert bucket.take(4.0) == 0.0
    assert bucket.take() > 0.0
