"""Tests of the member list with three entries and one store."""

import pytest

from cyclamenscale.errors import NotAcceptedError, NotFoundError
from cyclamenscale.members.member_list import choose_incarnation
from cyclamenscale.standin.state import StoreState
from test.nodes import (
    FAST_SETTINGS,
    Node,
    eventually,
    shut_down_all,
    start_three,
)


def listed(node):
    """Return the names in an entry's member list."""
    return [member.name for member in node.table.view.members.members]


@pytest.fixture
def nodes():
    made = start_three(StoreState())
    yield made
    shut_down_all(made)


def test_a_graceful_leave_needs_no_wait(nodes):
    """Guards against a list that keeps names of stopped entries.

    Changes would then wait until the stopped entries lose freshness.
    """
    nodes[2].members.leave()
    assert nodes[2].freshness.not_admitting_reason() == "leaving"
    eventually(lambda: listed(nodes[0]) == ["a", "b"], "the list is shorter")
    change = nodes[0].operations.change("pool", "p", {}, "ops", "test")
    assert change.in_force_s < nodes[0].settings.freshness.limit_s


def test_a_replacement_takes_over_the_name(nodes):
    """Guards against two processes that count as one member."""
    old = nodes[2]
    old.shut_down()
    seeds = (nodes[0].link.address,)
    new = Node("c", old.store.state, seeds).start()
    nodes[2] = new
    assert new.freshness.incarnation == old.freshness.incarnation + 1
    eventually(new.freshness.may_admit, "the replacement admits work")
    eventually(
        lambda: (
            nodes[0].link.alive() == ["a", "b", "c"]
            and nodes[0].link.peer_table.address_of("c") == new.link.address
        ),
        "the peers have its address",
    )
    assert listed(nodes[0]) == ["a", "b", "c"]


def test_a_member_is_removed_only_after_it_lost_freshness(nodes):
    """Guards against a removed entry that still serves old state."""
    nodes[2].shut_down()
    limits = nodes[0].settings.freshness
    accepted = nodes[0].members.remove("c", "ops", "broken")
    assert accepted.in_force_s >= limits.limit_s + limits.margin_s
    assert listed(nodes[0]) == ["a", "b"]
    with pytest.raises(NotFoundError):
        nodes[0].members.remove("c", "ops", "broken")


def test_names_do_not_change_without_a_majority_unless_forced():
    """Guards against lists whose majorities do not intersect."""
    limits = FAST_SETTINGS.freshness._replace(accept_within_s=1.5)
    nodes = start_three(StoreState(), FAST_SETTINGS._replace(freshness=limits))
    first = nodes[0]
    shut_down_all(nodes[1:])
    try:
        with pytest.raises(NotAcceptedError):
            Node("d", first.store.state, (), first.settings).members.join(
                "x:1"
            )
        for name in "cb":
            first.members.remove(name, "ops", "lost", force=True)
        eventually(lambda: listed(first) == ["a"], "the names are removed")
        first.operations.change("pool", "p", {}, "ops", "test")
    finally:
        first.shut_down()


def test_a_restart_without_the_store_recovers_from_peers(nodes):
    """Guards against a restarted entry that admits no work in an outage."""
    nodes[0].operations.change("pool", "p", {}, "ops", "test")
    nodes[2].shut_down()
    for node in nodes[:2]:
        node.store.faults.down = True
    seeds = tuple(node.link.address for node in nodes[:2])
    new = Node("c", StoreState(), seeds, incarnation=2 * 10**9)
    nodes[2] = new.start(reader=False)
    eventually(lambda: "p" in new.table.view.pools, "the pool arrives")
    assert new.freshness.not_admitting_reason() == "recovering"
    eventually(new.freshness.may_admit, "it is confirmed by peers")
    limits = new.settings.freshness
    assert new.freshness.clock() >= new.freshness.recovery_start_s
    assert new.freshness.store_read_age_s() > limits.limit_s


def test_an_incarnation_is_above_the_last_one():
    """Guards against a replacement whose messages peers reject."""
    node = Node("a", StoreState(), incarnation=41)
    assert choose_incarnation(node.store, "a", lambda: 99.5) == 99
    node.members.freshness.incarnation = 41
    node.members.join("x:1")
    assert choose_incarnation(node.store, "a", lambda: 99.5) == 42
    node.store.faults.down = True
    assert choose_incarnation(node.store, "a", lambda: 99.5) == 99
