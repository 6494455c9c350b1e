"""Quantiles."""

from collections.abc import Iterable
from math import ceil


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile by the nearest-rank method; 0 if there are no values.

    :param values: values in any order.
    :param share: rank of the quantile, 0 to 1.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, ceil(share * len(ordered)) - 1)]
