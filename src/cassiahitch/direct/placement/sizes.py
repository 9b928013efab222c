"""Rank of the size of a request among the recent requests of its route.

Load pattern: an overload in which large requests are refused while small ones are placed. Counters
by size rank show this.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

#: Recent requests of a route whose sizes are kept.
MAX_SIZES_PER_ROUTE = 400
#: Routes whose sizes are kept separately; all others are counted together.
MAX_ROUTES = 15
OTHER_ROUTES = 'other'
DECILES = 10
#: Groups of deciles that counters distinguish, by their last decile.
DECILE_GROUPS = ((5, '1-5'), (7, '6-7'), (9, '8-9'), (DECILES, '10'))


@dataclass(slots=True)
class RouteSizes:
    """The recent request sizes of a route, in order of arrival and sorted by size."""

    latest: deque[int] = field(default_factory=deque)
    sorted_sizes: list[int] = field(default_factory=list)

    def add(self, size: int) -> None:
        """Add a size, and drop the oldest one if the limit is reached.

        :param size: tokens or bytes.
        """
        if len(self.latest) >= MAX_SIZES_PER_ROUTE:
            oldest = self.latest.popleft()
            del self.sorted_sizes[bisect_left(self.sorted_sizes, oldest)]
        self.latest.append(size)
        insort(self.sorted_sizes, size)

    def fraction_smaller(self, size: int) -> float:
        """Return the fraction of the recent sizes that is smaller.

        :param size: tokens or bytes.
        :return: 0 to 1.
        """
        return bisect_left(self.sorted_sizes, size) / max(1, len(self.sorted_sizes))


@dataclass(frozen=True, slots=True)
class SizeRank:
    """Size of a request, and the fraction of the recent requests of its route that is smaller."""

    route: str
    size: int
    fraction_smaller: float

    @property
    def decile(self) -> int:
        """The decile to which the request belongs, 10 for the largest requests."""
        return min(DECILES, int(self.fraction_smaller * DECILES) + 1)

    @property
    def label(self) -> str:
        """The route and the group of deciles, as the label of a counter."""
        group = next(name for last, name in DECILE_GROUPS if self.decile <= last)
        return f'{self.route} {group}'


@dataclass(slots=True)
class SizeTracker:
    """Tracks the recent request sizes of each route."""

    routes: dict[str, RouteSizes] = field(default_factory=dict)

    def rank(self, route: str, size: int) -> SizeRank:
        """Rank a request among the recent requests of its route, and add its size.

        :param route: name of the route.
        :param size: tokens of its prompt, or bytes of its body if it has no prompt.
        :return: the rank.
        """
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        sizes = self.routes.setdefault(route, RouteSizes())
        rank = SizeRank(route, size, sizes.fraction_smaller(size))
        sizes.add(size)
        return rank


__all__ = ('SizeTracker', 'SizeRank')
