"""Errors as plain data, so that a command ends as the server's call did."""

import inspect
from collections.abc import Iterator
from typing import Any

from cyclamenscale.errors import (
    CyclamenError,
    ServerFaultError,
    StoreError,
    UserError,
)
from cyclamenscale.util.codec import to_plain

#: Exit status of failures that are no one's input: ``EX_SOFTWARE``.
INTERNAL_STATUS = 70


def iter_errors(error: BaseException) -> Iterator[BaseException]:
    """Yield the single errors of an exception group, or the error."""
    if isinstance(error, BaseExceptionGroup):
        for part in error.exceptions:
            yield from iter_errors(part)
    else:
        yield error


def user_errors(kind: type = UserError) -> dict[str, type]:
    """Return all user-facing error types by code."""
    found = {kind.code: kind}
    for child in kind.__subclasses__():
        found.update(user_errors(child))
    return found


def serialize_error(error: BaseException) -> list[dict[str, Any]]:
    """Turn an error or exception group into plain data.

    :returns: for each single error its code, message and attributes.
    """
    faults = []
    for leaf in iter_errors(error):
        if isinstance(leaf, UserError):
            code, message, parts = leaf.code, str(leaf), vars(leaf)
        elif isinstance(leaf, StoreError):
            code, message, parts = "store_error", str(leaf), {}
        else:
            # The message of an unexpected error may show internals.
            code, message, parts = "internal", type(leaf).__name__, {}
        faults.append({"code": code, "message": message, **to_plain(parts)})
    return faults


def deserialize_error(
    fault: dict[str, Any], url: str, status: int
) -> UserError:
    """Turn plain data back into the error.

    :param fault: made by :func:`to_faults`.
    :param url: where it came from.
    :param status: HTTP status of the answer.
    """
    kind = user_errors().get(fault.get("code", ""))
    if kind:
        names = list(inspect.signature(kind.__init__).parameters)[1:]
        if "args" not in names and all(name in fault for name in names):
            return kind(*(fault[name] for name in names))
    return ServerFaultError(url, status, fault.get("message", ""))


def deserialize_errors(
    faults: list[dict[str, Any]], url: str, status: int
) -> Exception:
    """Turn the faults of an answer back into an error or a group."""
    errors = [deserialize_error(fault, url, status) for fault in faults]
    if len(errors) == 1:
        return errors[0]
    return ExceptionGroup(f"{len(errors)} faults", errors)


def exit_status(error: BaseException) -> int:
    """Return the exit status of a command that ends with an error."""
    first = next(iter_errors(error))
    if isinstance(first, CyclamenError):
        return getattr(first, "exit_status", INTERNAL_STATUS)
    return INTERNAL_STATUS
