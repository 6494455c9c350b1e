"""Rendezvous hashing: all parties with the same nodes choose alike."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def choose_node(name: str, nodes: Iterable[str]) -> str:
    """Return the node that a name is assigned to.

    Adding or removing a node reassigns only the names of that node.

    :param name: name to assign.
    :param nodes: names of the nodes, at least one.
    """
    return choose_nodes(name, nodes, 1)[0]


def choose_nodes(name: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the nodes that a name is assigned to, in order of preference.

    :param count: maximum number of nodes.
    """

    def weight(node: str) -> tuple[int, str]:
        return xxh64_intdigest(f"{name}\0{node}".encode()), node

    return sorted(nodes, key=weight, reverse=True)[:count]
