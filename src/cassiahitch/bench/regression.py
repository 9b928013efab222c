"""Straight lines through measured points."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import linear_regression
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Sizes that a line is fitted from at least.
MIN_SIZES = 4


@dataclass(frozen=True, slots=True)
class Line:
    """Cost at size 0 and cost of each further unit of size."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the cost at a size.

        :param size: the size.
        :return: the cost.
        """
        return self.intercept + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares.

    :param points: sizes and costs, of at least ``MIN_SIZES`` sizes.
    :return: the line.
    :raises ValueError: if there are too few sizes.
    """
    if len({size for size, _ in points}) < MIN_SIZES:
        raise ValueError(f'a slope needs at least {MIN_SIZES} sizes')
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    slope, intercept = linear_regression(sizes, costs)
    return Line(intercept, slope)


__all__ = (
    'MIN_SIZES',
    'Line',
    'fit',
)
