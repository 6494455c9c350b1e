"""Tests of the store client's timeouts."""

from cyclamenscale.platform.kv import (
    CALL_TIMEOUT_MS,
    MIN_TXN_TIMEOUT_MS,
    AdaptiveTimeout,
)


def test_lost_responses_of_a_fast_store_are_detected_early():
    """Guards against waiting a second for each lost response."""
    timeout = AdaptiveTimeout()
    for _ in range(30):
        timeout.record_response(5.0)
    assert timeout.timeout_ms == MIN_TXN_TIMEOUT_MS


def test_a_store_that_becomes_slow_gets_a_longer_timeout():
    """Guards against timeouts of all calls to a store that becomes slow."""
    timeout = AdaptiveTimeout()
    for _ in range(30):
        timeout.record_response(5.0)
    for _ in range(3):
        timeout.record_timeout()
    assert timeout.timeout_ms == CALL_TIMEOUT_MS
    for _ in range(30):
        timeout.record_response(240.0)
    assert timeout.timeout_ms == CALL_TIMEOUT_MS
