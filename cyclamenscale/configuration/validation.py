"""Validation of operators' input, without side effects."""

import re
from collections.abc import Callable, Iterable
from typing import Any

from cyclamenscale.errors import FieldError
from cyclamenscale.model import (
    CLASS_PREFIX,
    INSTANCE_PREFIX,
    POOL_PREFIX,
    ConfigView,
    InstanceRecord,
    PoolRecord,
    RequestClass,
)

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
NAME_ALLOWED = (
    "1 to 63 of a-z, 0-9, '.', '_', '-', beginning and ending with a "
    "letter or digit"
)
VERSION_PATTERN = re.compile(r"[A-Za-z0-9._+-]{0,64}")

#: Longest target time of a class, seven days. A longer one would never affect
#: the order of requests.
MAX_FINISH_WITHIN_MS = 7 * 86400 * 1000

#: Store key prefix of each kind of record.
PREFIXES = {
    "class": CLASS_PREFIX,
    "pool": POOL_PREFIX,
    "instance": INSTANCE_PREFIX,
}
RECORD_TYPES = {
    "class": RequestClass,
    "pool": PoolRecord,
    "instance": InstanceRecord,
}
Record = RequestClass | PoolRecord | InstanceRecord


class FieldErrors(ExceptionGroup):
    """All errors of one input, each a :class:`FieldError`."""


class FieldReader:
    """Reads and checks the fields of a plain dict and collects the errors.

    :param where: path of the record, for error messages.
    :param fields: the operator's input.
    :param known: names of the allowed fields.
    """

    def __init__(self, where: str, fields: Any, known: Iterable[str]):
        """Check the input for unknown fields."""
        self.where = where
        self.errors: list[FieldError] = []
        self.fields: dict = fields if isinstance(fields, dict) else {}
        names = sorted(known)
        if not isinstance(fields, dict):
            self.add_error("", fields, "an object with " + ", ".join(names))
        for field in self.fields:
            if field not in names:
                allowed = "one of the fields " + ", ".join(names)
                self.add_error(str(field), self.fields[field], allowed)

    def add_error(self, field: str, found: Any, allowed: str) -> None:
        """Add an error.

        :param field: name of the field, empty for the record as a whole.
        :param found: the value that was given.
        :param allowed: description of the allowed values.
        """
        path = f"{self.where}.{field}" if field else self.where
        self.errors.append(FieldError(path, found, allowed))

    def read(
        self,
        field: str,
        accept: Callable[[Any], bool],
        allowed: str,
        default: Any = None,
    ) -> Any:
        """Return the value of a field; add an error if it is not allowed.

        :param field: name of the field.
        :param accept: returns whether a value is allowed.
        :param allowed: description of the allowed values.
        :param default: value of an absent field, None if it is required.
        """
        found = self.fields.get(field, default)
        if found is None or not accept(found):
            self.add_error(field, found, allowed)
            return default
        return found

    def raise_errors(self) -> None:
        """Raise all errors together.

        :raises FieldErrors: if there are errors.
        """
        if self.errors:
            raise FieldErrors(f"{self.where} is not valid", self.errors)


def is_name(value: Any) -> bool:
    """Return whether a value is a valid name."""
    return isinstance(value, str) and bool(NAME_PATTERN.fullmatch(value))


def is_number(value: Any) -> bool:
    """Return whether a value is a number and not a boolean."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def record_reader(kind: str, name: Any, fields: Any) -> FieldReader:
    """Return a reader of a record, its name and field names checked."""
    reader = FieldReader(f"{kind} {name}", fields, RECORD_TYPES[kind]._fields)
    if not is_name(name):
        reader.add_error("name", name, NAME_ALLOWED)
    reader.read("name", lambda found: found == name, f"{name!r}", name)
    return reader


def parse_class(name: str, fields: dict, view: ConfigView) -> RequestClass:
    """Validate a request class.

    :param name: name of the class.
    :param fields: the other fields, from the operator.
    :param view: applied configuration; the pool must exist in it.
    :raises FieldErrors: if the input is not valid.
    """
    reader = record_reader("class", name, fields)
    pool = reader.read("pool", view.pools.__contains__, describe_pools(view))
    finish_within_ms = reader.read(
        "finish_within_ms",
        lambda found: (
            isinstance(found, int)
            and is_number(found)
            and 1 <= found <= MAX_FINISH_WITHIN_MS
        ),
        f"a whole number from 1 to {MAX_FINISH_WITHIN_MS}",
    )
    max_out_share = reader.read(
        "max_out_share",
        lambda found: is_number(found) and 0 <= found <= 1,
        "a number from 0 to 1",
    )
    repeatable = reader.read(
        "repeatable",
        lambda found: isinstance(found, bool),
        "true or false",
        True,
    )
    reader.raise_errors()
    return RequestClass(
        name, pool, finish_within_ms, float(max_out_share), repeatable
    )


def parse_pool(name: str, fields: dict, view: ConfigView) -> PoolRecord:
    """Validate a pool; there may be only one spare pool.

    :raises FieldErrors: if the input is not valid.
    """
    reader = record_reader("pool", name, fields)
    spare_pools = [
        pool.name
        for pool in view.pools.values()
        if pool.spare and pool.name != name
    ]
    spare = reader.read(
        "spare",
        lambda found: isinstance(found, bool) and not (found and spare_pools),
        f"false, as {spare_pools[0]!r} is the spare pool"
        if spare_pools
        else "true or false",
        False,
    )
    version = reader.read(
        "version",
        lambda found: (
            isinstance(found, str) and bool(VERSION_PATTERN.fullmatch(found))
        ),
        "at most 64 of letters, digits, '.', '_', '+', '-'",
        "",
    )
    reader.raise_errors()
    return PoolRecord(name, spare, version)


def parse_instance(
    name: str, fields: dict, view: ConfigView
) -> InstanceRecord:
    """Validate an instance; operators may set only its pool.

    The other fields of an existing instance are kept. An instance must be
    out of service to move to another pool, as requests are routed to it
    while it is ``live``.

    :raises FieldErrors: if the input is not valid.
    """
    reader = record_reader("instance", name, fields)
    old = view.instances.get(name)
    base = old or InstanceRecord(name, "")
    for field in InstanceRecord._fields[2:]:
        value = getattr(base, field)
        reader.read(
            field,
            lambda found, value=value: found == value,
            f"{value!r}, as operators do not set it",
            value,
        )
    pool = reader.read("pool", view.pools.__contains__, describe_pools(view))
    if old and pool and pool != old.pool and old.state == "live":
        reader.add_error(
            "pool", pool, f"{old.pool!r} until the instance is drained"
        )
    reader.raise_errors()
    return base._replace(pool=pool)


PARSERS: dict[str, Callable[[str, dict, ConfigView], Record]] = {
    "class": parse_class,
    "pool": parse_pool,
    "instance": parse_instance,
}


def describe_pools(view: ConfigView) -> str:
    """Return a description of the existing pools, naming at most ten."""
    names = sorted(view.pools)
    shown = ", ".join(names[:10]) + (", ..." if len(names) > 10 else "")
    return f"an existing pool ({shown or 'there is none'})"


def check_removal(kind: str, name: str, view: ConfigView) -> None:
    """Check that a record may be removed.

    :raises FieldErrors: if a pool still has classes or instances, or an
        instance is in service.
    """
    reader = FieldReader(f"{kind} {name}", {}, ())
    if kind == "pool":
        for records, label in (
            (view.classes, "classes"),
            (view.instances, "instances"),
        ):
            found = sorted(
                record.name
                for record in records.values()
                if record.pool == name
            )
            if found:
                reader.add_error(
                    label, found[:10], "none before it is removed"
                )
    if kind == "instance" and name in view.instances:
        state = view.instances[name].state
        if state == "live":
            reader.add_error("state", state, "not 'live': drain it first")
    reader.raise_errors()
