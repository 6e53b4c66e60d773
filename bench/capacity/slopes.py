"""Fits a straight line to a cost measured at several sizes."""

import statistics
from collections.abc import Sequence

import msgspec


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """How a cost grows with a size.

    :param name: what costs, and in which unit, such as ``replay.cpu_s``.
    :param per: what it grows with, such as ``organisation``.
    :param sizes: sizes that were measured.
    :param values: cost at each size.
    :param slope: cost of one more.
    :param intercept: cost at size zero.
    :param residual_ratio: largest distance of a value from the line, over the
        largest value.
    """

    name: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual_ratio: float

    def at(self, size: float) -> float:
        """Return the cost at a size, never less than nothing."""
        return max(0.0, self.intercept + self.slope * size)


def fit_slope(
    name: str, *, per: str, sizes: Sequence[float], values: Sequence[float]
) -> Slope:
    """Fit a line by least squares."""
    line = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Slope(
        name=name,
        per=per,
        sizes=tuple(sizes),
        values=tuple(values),
        slope=line.slope,
        intercept=line.intercept,
        residual_ratio=max(distances) / max(map(abs, values)) if any(values) else 0.0,
    )
