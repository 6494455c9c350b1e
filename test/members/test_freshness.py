"""Tests of the freshness and barrier rules, one at a time."""

import pytest

from cyclamenscale.configuration.table import ConfigTable
from cyclamenscale.members.freshness import Barrier, Freshness
from cyclamenscale.members.messages import ConfigChange
from cyclamenscale.model import MEMBERS_KEY, MemberList, MemberRecord
from cyclamenscale.settings import EntrySettings, Settings
from cyclamenscale.util.clock import VirtualClock
from cyclamenscale.util.codec import encode_record

SETTINGS = Settings(entry=EntrySettings(name="a"))


def make(names="abc", incarnation=1, leaving=False):
    """Return a clock, and an entry that has just read the list."""
    clock = VirtualClock()
    table = ConfigTable(SETTINGS)
    records = [MemberRecord(n, 1, "", "", n == "a" and leaving) for n in names]
    value = encode_record(MemberList(tuple(records)))
    table.apply([ConfigChange(MEMBERS_KEY, value, 5)], 5)
    return clock, Freshness(SETTINGS, clock, table, incarnation)


def confirm(freshness, names, applied=5, confirms=True):
    """Exchange one heartbeat with some peers."""
    sequence = len(freshness.sent_heartbeats)
    freshness.record_heartbeat_sent(sequence)
    for name in names:
        freshness.record_confirmation(name, sequence, applied, confirms)


def test_a_read_counts_for_the_limit_and_only_when_applied():
    """Guards against freshness by an answer that is not applied yet."""
    clock, entry = make()
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
    """Guards against both an outage that stops work and a stale entry."""
    clock, entry = make("abcde")
    entry.record_store_read(0.0, 5)
    clock.advance(7.0)
    confirm(entry, "b")
    assert not entry.may_admit()
    confirm(entry, "cd", confirms=False)
    assert not entry.may_admit()
    confirm(entry, "bc")
    assert entry.may_admit()
    confirm(entry, "d", applied=6)
    assert not entry.may_admit()
    entry.table.apply([], 6)
    assert entry.may_admit()


@pytest.mark.parametrize(
    ("names", "enough"), [("ab", "b"), ("abc", "bc"), ("abcdef", "bcde")]
)
def test_a_restarted_entry_needs_a_majority_without_itself(names, enough):
    """Guards against recovery by peers that lack what was lost."""
    clock, entry = make(names)
    confirm(entry, enough)
    assert entry.not_admitting_reason() == "recovering"
    clock.advance(13.0)
    confirm(entry, enough[1:])
    assert entry.recovering
    confirm(entry, enough)
    assert not entry.recovering and entry.may_admit()


@pytest.mark.parametrize(
    ("made", "reason"),
    [
        ({"names": "bc"}, "not_member"),
        ({"incarnation": 0}, "superseded"),
        ({"leaving": True}, "leaving"),
    ],
)
def test_a_fresh_entry_without_its_place_does_not_admit(made, reason):
    """Guards against work at an entry that no barrier waits for."""
    _, entry = make(**made)
    entry.record_store_read(0.0, 5)
    assert entry.not_admitting_reason() == reason


def test_a_barrier_that_ended_is_never_accepted_later():
    """Guards against acknowledgements of members restarted since."""
    clock = VirtualClock()
    barrier = Barrier(5, "abc", 0.0, SETTINGS, clock)
    barrier.record_ack("a")
    clock.advance(6.0)
    barrier.record_ack("b")
    clock.advance(6.0)
    assert barrier.state == "unknown" and barrier.unacknowledged == ["c"]
    barrier.record_ack("c")
    assert barrier.state == "unknown"
