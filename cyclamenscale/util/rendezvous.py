"""Rendezvous hashing: a choice that all who know the same nodes agree on."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def choose_node(name: str, nodes: Iterable[str]) -> str:
    """Return the node that a name belongs to.

    A node that comes or goes changes only the names that it has.

    :param name: the name.
    :param nodes: names of the nodes, at least one.
    """
    return choose_nodes(name, nodes, 1)[0]


def choose_nodes(name: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the nodes that a name belongs to, the first choice first.

    :param count: at most so many.
    """

    def weight(node: str) -> tuple[int, str]:
        return xxh64_intdigest(f"{name}\0{node}".encode()), node

    return sorted(nodes, key=weight, reverse=True)[:count]
