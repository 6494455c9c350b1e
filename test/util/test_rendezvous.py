"""Tests of rendezvous hashing."""

from cyclamenscale.util.rendezvous import choose_node, choose_nodes

NODES = [f"e{number}" for number in range(20)]


def test_removing_a_node_reassigns_only_its_names():
    """Guards against replacing all connections when one entry is removed."""
    before = choose_nodes("me", NODES, 8)
    removed = before[3]
    after = choose_nodes("me", [n for n in NODES if n != removed], 8)
    assert set(before) - {removed} < set(after)
    assert after[:3] == before[:3]


def test_first_of_several_nodes_is_the_chosen_one():
    """Guards against an order of preference that differs by count."""
    assert choose_node("me", NODES) == choose_nodes("me", NODES, 3)[0]
    assert choose_nodes("me", [], 3) == []
