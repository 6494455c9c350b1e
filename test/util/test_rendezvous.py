"""Tests of rendezvous hashing."""

from cyclamenscale.util.rendezvous import choose_node, choose_nodes

NODES = [f"e{number}" for number in range(20)]


def test_a_node_that_goes_changes_only_its_own_names():
    """Guards against links that are all remade when one entry goes."""
    before = choose_nodes("me", NODES, 8)
    gone = before[3]
    after = choose_nodes("me", [n for n in NODES if n != gone], 8)
    assert set(before) - {gone} < set(after)
    assert after[:3] == before[:3]


def test_the_first_of_some_is_the_one_chosen():
    """Guards against two orders of one choice."""
    assert choose_node("me", NODES) == choose_nodes("me", NODES, 3)[0]
    assert choose_nodes("me", [], 3) == []
