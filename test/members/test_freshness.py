"""Tests of the individual freshness and barrier rules."""

import pytest

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.members.freshness import Barrier, Freshness
from cyclamenscale.members.messages import ConfigChange
from cyclamenscale.model import MEMBERS_KEY, MemberList, MemberRecord
from cyclamenscale.settings import EntrySettings, Settings
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import encode_record

SETTINGS = Settings(entry=EntrySettings(name="a"))


def make_entry(names="abc", incarnation=1, leaving=False):
    """Return a clock, and the freshness of an entry that has the list."""
    clock = VirtualClock()
    table = ConfigTable(SETTINGS)
    records = [MemberRecord(n, 1, "", "", n == "a" and leaving) for n in names]
    value = encode_record(MemberList(tuple(records)))
    table.apply([ConfigChange(MEMBERS_KEY, value, 5)], 5)
    return clock, Freshness(SETTINGS, clock, table, incarnation)


def exchange_heartbeat(freshness, names, applied_revision=5, confirms=True):
    """Send one heartbeat and record the responses of some peers."""
    sequence = len(freshness.sent_heartbeats)
    freshness.record_heartbeat_sent(sequence)
    for name in names:
        freshness.record_confirmation(
            name, sequence, applied_revision, confirms
        )


def test_a_read_counts_for_the_limit_and_only_when_applied():
    """Guards against freshness by a read that is not applied yet."""
    clock, entry = make_entry()
    assert (
        not entry.record_store_read(0.0, 6)
        and entry.not_admitting_reason() == "recovering"
    )
    assert entry.record_store_read(0.0, 5) and entry.may_admit()
    clock.advance(6.0)
    assert entry.may_admit()
    clock.advance(0.1)
    assert entry.not_admitting_reason() == "stale"


def test_a_majority_keeps_an_entry_fresh_unless_one_reports_more():
    """Guards against a store outage that stops work, and stale entries."""
    clock, entry = make_entry("abcde")
    entry.record_store_read(0.0, 5)
    clock.advance(7.0)
    exchange_heartbeat(entry, "b")
    assert not entry.may_admit()
    exchange_heartbeat(entry, "cd", confirms=False)
    assert not entry.may_admit()
    exchange_heartbeat(entry, "bc")
    assert entry.may_admit()
    exchange_heartbeat(entry, "d", applied_revision=6)
    assert not entry.may_admit()
    entry.table.apply([], 6)
    assert entry.may_admit()


@pytest.mark.parametrize(
    ("names", "enough"), [("ab", "b"), ("abc", "bc"), ("abcdef", "bcde")]
)
def test_a_restarted_entry_needs_a_majority_without_itself(names, enough):
    """Guards against recovery from peers that lack the lost revisions."""
    clock, entry = make_entry(names)
    exchange_heartbeat(entry, enough)
    assert entry.not_admitting_reason() == "recovering"
    clock.advance(13.0)
    exchange_heartbeat(entry, enough[1:])
    assert entry.recovering
    exchange_heartbeat(entry, enough)
    assert not entry.recovering and entry.may_admit()


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        ({"names": "bc"}, "not_member"),
        ({"incarnation": 0}, "superseded"),
        ({"leaving": True}, "leaving"),
    ],
)
def test_a_fresh_entry_that_is_no_valid_member_does_not_admit(options, reason):
    """Guards against admission at an entry that no barrier waits for."""
    _, entry = make_entry(**options)
    entry.record_store_read(0.0, 5)
    assert entry.not_admitting_reason() == reason


def test_a_barrier_that_ended_is_never_accepted_later():
    """Guards against acknowledgements of members restarted meanwhile."""
    clock = VirtualClock()
    barrier = Barrier(5, "abc", 0.0, SETTINGS, clock)
    barrier.record_ack("a")
    clock.advance(6.0)
    barrier.record_ack("b")
    clock.advance(6.0)
    assert barrier.state == "unknown" and barrier.unacknowledged == ["c"]
    barrier.record_ack("c")
    assert barrier.state == "unknown"
