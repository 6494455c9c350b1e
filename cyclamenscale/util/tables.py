"""Plain tables for people."""

from collections.abc import Iterable, Sequence
from typing import Any


def format_value(value: Any) -> str:
    """Write a value in one line."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        # Not "g": it would round seconds since the epoch to hours.
        return f"{value:.6f}".rstrip("0").rstrip(".")
    if isinstance(value, dict):
        return ", ".join(f"{k}={format_value(v)}" for k, v in value.items())
    if isinstance(value, list | tuple):
        return ", ".join(format_value(part) for part in value)
    return " ".join(str(value).split())


def format_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Write rows under a head; columns of numbers are set to the right.

    :param head: names of the columns.
    :param rows: values, one for each column.
    """
    rows = [list(row) for row in rows]
    right = [
        bool(rows)
        and all(
            isinstance(row[i], int | float) and not isinstance(row[i], bool)
            for row in rows
        )
        for i in range(len(head))
    ]
    lines = [
        list(head),
        *([format_value(value) for value in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            text.rjust(width) if to_right else text.ljust(width)
            for text, width, to_right in zip(line, widths, right, strict=True)
        ).rstrip()
        for line in lines
    )


def flatten(values: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    """Turn nested dictionaries into one with dotted names."""
    flat = {}
    for name, value in values.items():
        if isinstance(value, dict) and value:
            flat.update(flatten(value, f"{prefix}{name}."))
        else:
            flat[prefix + name] = value
    return flat
