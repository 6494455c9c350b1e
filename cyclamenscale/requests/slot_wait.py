"""Waiting for the decision on a request for a slot."""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from cyclamenscale.members.messages import GrantItem
from cyclamenscale.util.clock import monotonic

#: How often a waiting request checks whether its caller has disconnected.
DISCONNECT_POLL_S = 0.25


def wait_for_grant(
    future: Future, timeout_s: float, is_disconnected: Callable[[], bool]
) -> tuple[GrantItem | None, bool]:
    """Wait for the decision on a request.

    :param future: future of the decision.
    :param timeout_s: maximum wait in seconds.
    :param is_disconnected: returns whether the caller has disconnected.
    :returns: the decision or None, and whether the caller has disconnected.
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
