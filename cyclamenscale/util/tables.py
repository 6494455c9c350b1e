"""Plain-text tables."""

from collections.abc import Iterable, Sequence
from typing import Any


def format_value(value: Any) -> str:
    """Format a value on one line."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        # Format "g" would round seconds since the epoch to hours.
        return f"{value:.6f}".rstrip("0").rstrip(".")
    if isinstance(value, dict):
        return ", ".join(f"{k}={format_value(v)}" for k, v in value.items())
    if isinstance(value, list | tuple):
        return ", ".join(format_value(part) for part in value)
    return " ".join(str(value).split())


def format_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Format rows as a table; columns of numbers are right-aligned.

    :param header: names of the columns.
    :param rows: rows with one value for each column.
    """
    rows = [list(row) for row in rows]
    right_aligned = [
        bool(rows)
        and all(
            isinstance(row[i], int | float) and not isinstance(row[i], bool)
            for row in rows
        )
        for i in range(len(header))
    ]
    lines = [
        list(header),
        *([format_value(value) for value in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            text.rjust(width) if align_right else text.ljust(width)
            for text, width, align_right in zip(
                line, widths, right_aligned, strict=True
            )
        ).rstrip()
        for line in lines
    )


def flatten(values: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    """Flatten nested dictionaries into one with dotted keys."""
    flat = {}
    for name, value in values.items():
        if isinstance(value, dict) and value:
            flat.update(flatten(value, f"{prefix}{name}."))
        else:
            flat[prefix + name] = value
    return flat
