"""Ranges of store keys."""


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys that start with a prefix.

    :param prefix: prefix of the keys; empty for all keys.
    :returns: end of the range (exclusive); one zero byte for no end, as in
        the etcd API.
    """
    start = prefix.encode().rstrip(b"\xff")
    if not start:
        return b"\0"
    return start[:-1] + bytes((start[-1] + 1,))
