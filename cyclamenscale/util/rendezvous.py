"""Rendezvous hashing: a choice that all who know the same nodes agree on."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def choose(name: str, nodes: Iterable[str]) -> str:
    """Return the node that a name belongs to.

    A node that comes or goes changes only the names that it has.

    :param name: the name.
    :param nodes: names of the nodes, at least one.
    """
    return max(
        nodes,
        key=lambda node: (xxh64_intdigest(f"{name}\0{node}".encode()), node),
    )
