"""Tells how large a request is among those of its route.

Load pattern: overload in which large requests find no place while small ones do.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

#: Requests of a route whose sizes are kept.
MAX_SIZES_PER_ROUTE = 400
#: Routes of which sizes are kept; all further ones share one entry.
MAX_ROUTES = 15
OTHER_ROUTES = 'other'
TENTHS = 10
#: Groups of tenths that counters tell apart, by their last tenth.
GROUPS = ((5, '1-5'), (7, '6-7'), (9, '8-9'), (TENTHS, '10'))


@dataclass(slots=True)
class RouteSizes:
    """The last sizes of a route, as they came and in order."""

    latest: deque[int] = field(default_factory=deque)
    ordered: list[int] = field(default_factory=list)

    def add(self, size: int) -> None:
        """Keep a size, and forget the oldest one if there are many.

        :param size: tokens or bytes.
        """
        if len(self.latest) >= MAX_SIZES_PER_ROUTE:
            oldest = self.latest.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]
        self.latest.append(size)
        insort(self.ordered, size)

    def fraction_smaller(self, size: int) -> float:
        """Return which part of the sizes is smaller.

        :param size: tokens or bytes.
        :return: 0 to 1.
        """
        return bisect_left(self.ordered, size) / max(1, len(self.ordered))


@dataclass(frozen=True, slots=True)
class SizeRank:
    """How large a request is: the part of its route's requests that is smaller."""

    route: str
    size: int
    fraction_smaller: float

    @property
    def decile(self) -> int:
        """The tenth to which it belongs, 10 for the largest requests."""
        return min(TENTHS, int(self.fraction_smaller * TENTHS) + 1)

    @property
    def label(self) -> str:
        """The route and the group of tenths, for counters."""
        group = next(name for last, name in GROUPS if self.decile <= last)
        return f'{self.route} {group}'


@dataclass(slots=True)
class SizeTracker:
    """Keeps the sizes of the requests of each route."""

    routes: dict[str, RouteSizes] = field(default_factory=dict)

    def rank(self, route: str, size: int) -> SizeRank:
        """Rank a request among those before it, and keep its size.

        :param route: name of the route.
        :param size: tokens of its prompt, or bytes of its body where it has none.
        :return: the rank.
        """
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        sizes = self.routes.setdefault(route, RouteSizes())
        rank = SizeRank(route, size, sizes.fraction_smaller(size))
        sizes.add(size)
        return rank


__all__ = ('SizeTracker', 'SizeRank')
