"""Tests of the store client's timeouts and errors."""

from cyclamenscale.errors import StoreAnswerLostError, StoreUnavailableError
from cyclamenscale.platform.kv import (
    CALL_TIMEOUT_MS,
    MIN_TXN_TIMEOUT_MS,
    AdaptiveTimeout,
    decode_response,
)
from cyclamenscale.util.http_client import HttpResponse
from test.jobs.world import settled


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


def decode_refusal(resent, writes):
    """Return the error of a call that the store has refused."""
    response = HttpResponse(503, b"", resent)
    call = decode_response(settled(response), lambda answer: 1, "t", writes)
    return call.exception()


def test_a_refusal_of_a_repeated_write_does_not_mean_no_effect():
    """Guards against refusing a caller whose job is stored.

    The store applied the write and lost the channel; libcurl repeated the
    write, which the store refused.
    """
    assert isinstance(decode_refusal(True, True), StoreAnswerLostError)
    assert isinstance(decode_refusal(False, True), StoreUnavailableError)
    assert isinstance(decode_refusal(True, False), StoreUnavailableError)
