"""Tests of the peer table."""

from cyclamenscale.members.peer_table import MAX_PEERS, PeerTable
from cyclamenscale.metrics import Metrics
from cyclamenscale.model import MemberList, MemberRecord
from cyclamenscale.settings import EntrySettings, PeersSettings, Settings
from cyclamenscale.util.clock import VirtualClock

SETTINGS = Settings(
    entry=EntrySettings(name="a"), peers=PeersSettings(seeds=("s:1", "a:1"))
)


def make_table():
    clock = VirtualClock(100.0)
    return clock, PeerTable(SETTINGS, Metrics(SETTINGS), clock)


def test_a_silent_peer_is_suspected_and_then_dead():
    """Guards against messages to an entry that has terminated."""
    clock, table = make_table()
    table.record_message("b", 1, "b:1")
    states = []
    for _ in range(3):
        states.append(table.state("b"))
        clock.advance(1.5)
    assert states == ["alive", "suspect", "dead"]
    assert table.alive() == ["a"]


def test_a_lower_incarnation_does_not_count():
    """Guards against messages of a replaced process."""
    _, table = make_table()
    table.update_members(MemberList((MemberRecord("b", 7, "b:2", ""),)))
    assert not table.record_message("b", 6, "b:1") and table.alive() == ["a"]
    assert (
        table.record_message("b", 8, "b:3") and table.address_of("b") == "b:3"
    )


def test_members_stay_targets_and_others_only_while_alive():
    """Guards against an entry that never reconnects to its peers."""
    clock, table = make_table()
    table.own_address = "a:1"
    table.update_members(MemberList((MemberRecord("b", 1, "b:1", ""),)))
    table.record_message("c", 1, "c:1")
    table.record_message("s", 1, "s:1")
    assert table.targets() == {"s:1": "s", "b:1": "b", "c:1": "c"}
    clock.advance(10.0)
    assert table.targets() == {"s:1": "s", "b:1": "b"}


def test_the_table_is_bounded_and_keeps_members():
    """Guards against unbounded growth by made-up names."""
    clock, table = make_table()
    table.update_members(MemberList((MemberRecord("b", 1, "b:1", ""),)))
    for number in range(MAX_PEERS + 9):
        table.record_message(f"x{number}", 1)
    assert len(table.peers) == MAX_PEERS and "b" in table.peers
    clock.advance(10.0)
    assert table.record_message("new", 1) and len(table.peers) == MAX_PEERS
