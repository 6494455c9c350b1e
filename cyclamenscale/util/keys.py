"""Ranges of store keys."""


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys that start with a prefix.

    :param prefix: the prefix; empty for all keys.
    :returns: the end of the range, one zero byte for "no end", as the
        published interface of etcd has it.
    """
    start = prefix.encode().rstrip(b"\xff")
    if not start:
        return b"\0"
    return start[:-1] + bytes((start[-1] + 1,))
