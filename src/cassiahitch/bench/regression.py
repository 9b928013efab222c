"""Linear regression of costs over sizes."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import linear_regression
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Least number of sizes that a line is fitted to.
MIN_SIZES = 4


@dataclass(frozen=True, slots=True)
class Line:
    """A linear cost: the cost at size 0, and the cost of each unit of size."""

    intercept: float
    slope: float

    def cost_at(self, size: float) -> float:
        """Return the cost at a size.

        :param size: the size.
        :return: the cost.
        """
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares.

    :param points: pairs of size and cost, with at least ``MIN_SIZES`` different sizes.
    :return: the fitted line.
    :raises ValueError: if there are fewer sizes.
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
    'fit_line',
)
