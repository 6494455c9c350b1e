"""Tests of the health of endpoints, on a virtual clock."""

from hypothesis import given
from hypothesis import strategies as st

from cyclamenscale.model import Endpoint
from cyclamenscale.requests.outliers import (
    LEAVING_TIMEOUT_S,
    HealthSignal,
    PoolHealth,
    PoolsHealth,
)
from cyclamenscale.settings import OutliersSettings

SETTINGS = OutliersSettings()


def members(count, racks=2):
    return tuple(
        Endpoint(f"e{n}", "p", f"h:{n}", "dc", f"r{n % racks}")
        for n in range(count)
    )


def pool(count=6, racks=2):
    health = PoolHealth("p", SETTINGS)
    health.update(members(count, racks), 0.0)
    return health


def fail(health, name, now_s=0.0, times=3):
    return [health.record_failure(name, "call", now_s) for _ in range(times)][
        -1
    ]


def test_every_leaving_endpoint_is_excluded():
    """Guards against work for leaving endpoints beyond the exclusion bound."""
    health = pool()
    for n in range(6):
        assert health.record_leaving(f"e{n}", "refusal", 0.0)
        assert not health.may_send(f"e{n}", 0.0)
    assert health.usable(0.0) == {}
    assert not health.record_leaving("e0", "list", 0.0)


def test_own_signals_are_sent_once_and_signals_of_peers_never():
    """Guards against entries that echo each other's signals endlessly."""
    health = pool()
    health.record_leaving("e0", "refusal", 0.0)
    health.record_leaving("e0", "probe", 0.0)
    health.record_leaving("e1", "peer", 0.0)
    fail(health, "e2")
    wanted = [HealthSignal("e0", "leaving"), HealthSignal("e2", "failed")]
    assert health.take_signals() == wanted
    assert health.take_signals() == []


def test_a_peer_does_not_clear_a_local_signal():
    """Guards against a lagging peer that returns a leaving endpoint."""
    health = pool()
    health.record_leaving("e0", "refusal", 0.0)
    assert not health.record_return("e0", "peer", 1.0)
    assert not health.may_send("e0", 1.0)
    assert health.record_return("e0", "probe", 1.0)
    assert health.may_send("e0", 1.0)


def test_a_leaving_signal_expires_if_the_list_never_confirms_it():
    """Guards against capacity lost by a reboot shorter than the list's lag."""
    health = pool()
    health.record_leaving("e0", "refusal", 0.0)
    health.update(members(6), LEAVING_TIMEOUT_S - 1)
    assert not health.may_send("e0", LEAVING_TIMEOUT_S - 1)
    health.update(members(6), LEAVING_TIMEOUT_S)
    assert health.usable(LEAVING_TIMEOUT_S)["e0"] == 1


def test_one_success_resets_consecutive_failures():
    """Guards against exclusion for failures that are not consecutive."""
    health = pool()
    for _ in range(5):
        fail(health, "e0", times=2)
        health.record_success("e0", 0.0)
    assert health.may_send("e0", 0.0)


def test_a_high_failure_rate_excludes():
    """Guards against an endpoint that fails two calls in three."""
    health = pool()
    excluded = False
    for n in range(30):
        if n % 3:
            excluded |= health.record_failure("e0", "call", 0.0)
        else:
            health.record_success("e0", 0.0)
    assert excluded


@given(
    st.lists(st.tuples(st.integers(0, 7), st.floats(0.0, 5.0)), max_size=200)
)
def test_failures_never_exclude_more_than_the_bound(steps):
    """Guards against an overload of the remaining endpoints."""
    health = pool(8)
    now_s = 0.0
    for number, wait_s in steps:
        now_s += wait_s
        health.record_failure(f"e{number}", "call", now_s)
        assert len(health.usable(now_s)) >= 4


def test_the_last_endpoint_is_never_excluded_for_failures():
    """Guards against a pool of one endpoint that refuses all work."""
    health = pool(1)
    assert not fail(health, "e0", times=20)
    assert health.blocked_exclusions and health.may_send("e0", 0.0)


def test_exclusion_time_doubles_and_is_reset():
    """Guards against a failing endpoint that gets work every few seconds."""
    health = pool()
    now_s = 0.0
    for wanted_s in (10.0, 20.0, 40.0):
        fail(health, "e0", now_s)
        now_s += wanted_s
        assert not health.may_send("e0", now_s - 0.1)
        assert health.may_send("e0", now_s)
    now_s += SETTINGS.slow_start_s
    health.record_success("e0", now_s)
    fail(health, "e0", now_s)
    assert health.may_send("e0", now_s + SETTINGS.exclude_s)


def test_the_slots_grow_after_a_return():
    """Guards against a cold endpoint that gets its full load at once."""
    health = pool()
    health.record_leaving("e0", "probe", 0.0)
    health.record_return("e0", "probe", 100.0)
    grown = [health.usable(100.0 + s)["e0"] for s in (0.0, 5.0, 10.0)]
    assert grown == [1, 4, 8]
    # An endpoint that joins a pool in service also starts slowly.
    health.update(members(7), 200.0)
    assert health.usable(200.0)["e6"] == 1


def test_a_failed_rack_is_distinguished_from_single_failures():
    """Guards against load shedding for one failing endpoint."""
    health = pool(6, racks=2)
    fail(health, "e0")
    fail(health, "e2")
    assert health.failed_domains(0.0) == []
    fail(health, "e4")
    assert health.failed_domains(0.0) == ["dc/r0"]
    assert health.capacity_share(0.0) == 0.5
    for n in (1, 3, 5):
        fail(health, f"e{n}")
    assert "dc" not in health.failed_domains(0.0)


def test_pools_keep_their_state_over_updates():
    """Guards against exclusions lost with a new configuration."""
    health = PoolsHealth(SETTINGS)
    health.update({"p": members(3)}, 0.0)
    health.pool("p").record_leaving("e0", "refusal", 0.0)
    health.update({"p": members(3), "q": ()}, 1.0)
    assert not health.pool("p").may_send("e0", 1.0)
    assert health.find_by_endpoint("e1") is health.pool("p")
    assert health.pool("unknown").usable(1.0) == {}
    assert health.take_signals() == [HealthSignal("e0", "leaving")]
