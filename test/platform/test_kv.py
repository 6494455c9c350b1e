"""Tests of the store's adapter."""

from cyclamenscale.platform.kv import (
    CALL_TIMEOUT_MS,
    TXN_TIMEOUT_LEAST_MS,
    Patience,
)


def test_lost_answers_of_a_quick_store_are_noticed_soon():
    """Guards against a second of waiting for each answer that is lost."""
    patience = Patience()
    for _ in range(30):
        patience.note_answer(5.0)
    assert patience.timeout_ms == TXN_TIMEOUT_LEAST_MS


def test_a_store_that_turns_slow_gets_time_again():
    """Guards against a slow store that never answers in time."""
    patience = Patience()
    for _ in range(30):
        patience.note_answer(5.0)
    for _ in range(3):
        patience.note_silence()
    assert patience.timeout_ms == CALL_TIMEOUT_MS
    for _ in range(30):
        patience.note_answer(240.0)
    assert patience.timeout_ms == CALL_TIMEOUT_MS
