"""Waiting for the decision on a slot."""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from cyclamenscale.members.messages import GrantItem
from cyclamenscale.util.clock import monotonic

#: How often a waiting request checks whether its caller has hung up.
DISCONNECT_POLL_S = 0.25


def wait_for_grant(
    future: Future, timeout_s: float, is_disconnected: Callable[[], bool]
) -> tuple[GrantItem | None, bool]:
    """Wait for the decision on a request.

    :param future: of the decision.
    :param timeout_s: how long to wait.
    :param gone: tells whether the caller has hung up.
    :returns: the decision, or None, and whether the caller has hung up.
    """
    until_s = monotonic() + timeout_s
    while True:
        remaining_s = max(0.0, until_s - monotonic())
        try:
            return future.result(
                timeout=min(remaining_s, DISCONNECT_POLL_S)
            ), False
        except FutureTimeoutError:
            if is_disconnected():
                return None, True
            if remaining_s <= DISCONNECT_POLL_S:
                return None, False
