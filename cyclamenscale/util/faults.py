"""Serialization of errors.

A command thus ends with the error that the server's call raised.
"""

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

#: Exit status of internal errors, ``EX_SOFTWARE``.
INTERNAL_ERROR_STATUS = 70


def iter_errors(error: BaseException) -> Iterator[BaseException]:
    """Yield the errors of an exception group, or the error itself."""
    if isinstance(error, BaseExceptionGroup):
        for part in error.exceptions:
            yield from iter_errors(part)
    else:
        yield error


def user_errors(base: type = UserError) -> dict[str, type]:
    """Return a user-facing error type and its subclasses by code."""
    found = {base.code: base}
    for subclass in base.__subclasses__():
        found.update(user_errors(subclass))
    return found


def serialize_error(error: BaseException) -> list[dict[str, Any]]:
    """Convert an error or exception group to plain data.

    :returns: code, message and attributes of each error.
    """
    items = []
    for leaf in iter_errors(error):
        if isinstance(leaf, UserError):
            code, message, attributes = leaf.code, str(leaf), vars(leaf)
        elif isinstance(leaf, StoreError):
            code, message, attributes = "store_error", str(leaf), {}
        else:
            # The message of an unexpected error may expose internals.
            code, message, attributes = "internal", type(leaf).__name__, {}
        items.append(
            {"code": code, "message": message, **to_plain(attributes)}
        )
    return items


def deserialize_error(
    fields: dict[str, Any], url: str, status: int
) -> UserError:
    """Convert plain data back to an error.

    :param fields: item of :func:`serialize_error`.
    :param url: URL of the call that failed.
    :param status: HTTP status of the response.
    """
    error_type = user_errors().get(fields.get("code", ""))
    if error_type:
        names = list(inspect.signature(error_type.__init__).parameters)[1:]
        if "args" not in names and all(name in fields for name in names):
            return error_type(*(fields[name] for name in names))
    return ServerFaultError(url, status, fields.get("message", ""))


def deserialize_errors(
    items: list[dict[str, Any]], url: str, status: int
) -> Exception:
    """Convert the errors of a response to an error or exception group."""
    errors = [deserialize_error(fields, url, status) for fields in items]
    if len(errors) == 1:
        return errors[0]
    return ExceptionGroup(f"{len(errors)} errors", errors)


def exit_status(error: BaseException) -> int:
    """Return the exit status of a command that failed with an error."""
    first = next(iter_errors(error))
    if isinstance(first, CyclamenError):
        return getattr(first, "exit_status", INTERNAL_ERROR_STATUS)
    return INTERNAL_ERROR_STATUS
