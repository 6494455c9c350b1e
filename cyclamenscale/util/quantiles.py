"""Quantiles of measured values."""

from collections.abc import Iterable
from math import ceil


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile by nearest rank, 0 without values.

    :param values: the values, in any order.
    :param share: 0 to 1.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, ceil(share * len(ordered)) - 1)]
