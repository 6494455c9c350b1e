"""Tests of the store's adapter."""

from cyclamenscale.platform.kv import (
    CALL_TIMEOUT_MS,
    MIN_TXN_TIMEOUT_MS,
    AdaptiveTimeout,
)


def test_lost_answers_of_a_quick_store_are_noticed_soon():
    """Guards against a second of waiting for each answer that is lost."""
    patience = AdaptiveTimeout()
    for _ in range(30):
        patience.record_response(5.0)
    assert patience.timeout_ms == MIN_TXN_TIMEOUT_MS


def test_a_store_that_turns_slow_gets_time_again():
    """Guards against a slow store that never answers in time."""
    patience = AdaptiveTimeout()
    for _ in range(30):
        patience.record_response(5.0)
    for _ in range(3):
        patience.record_timeout()
    assert patience.timeout_ms == CALL_TIMEOUT_MS
    for _ in range(30):
        patience.record_response(240.0)
    assert patience.timeout_ms == CALL_TIMEOUT_MS
