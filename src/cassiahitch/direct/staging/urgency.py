"""Decides how much of a version is drawn from the origin.

Load pattern: one copy from the origin that passes through all regions costs least, and takes
longer by the time in which its first chunks come to the last region. While an engine may serve
nothing, each of these seconds costs more than a copy.
"""

from __future__ import annotations

from dataclasses import dataclass

#: Seconds between the end of a fetch and the first request on it: the load and its order.
LOAD_S = 0.5


@dataclass(frozen=True, slots=True)
class FetchUrgency:
    """How soon a host needs the rest of a version.

    ``left_s`` is the time until the engine may no longer use what it has loaded, and ``rest_s``
    the time that the rest takes if one copy passes through all regions.
    """

    is_serving: bool
    left_s: float
    rest_s: float

    @property
    def is_urgent(self) -> bool:
        """Whether the engine serves nothing now, or would before the version is loaded."""
        return not self.is_serving or self.left_s < self.rest_s + LOAD_S


def origin_region_capacity(origin_mbit_s: float, link_mbit_s: float) -> int:
    """Return how many regions the origin can feed at the rate of a host's link at the same time.

    All hosts of a region receive as fast as their links allow if the region gets new chunks at
    that rate. More regions at once would all get them later than over a chain.

    :param origin_mbit_s: rate of the origin, in megabits a second.
    :param link_mbit_s: rate of a host's link, in megabits a second.
    :return: the number, at least one.
    """
    return max(1, int(origin_mbit_s / link_mbit_s))


__all__ = (
    'FetchUrgency',
    'origin_region_capacity',
)
