"""Decides how many copies of a version the regions fetch from the origin.

Load pattern: it costs least if one copy is fetched from the origin and passed on from region to
region, but the last region then starts later by the time that the first chunks take to reach it.
While an engine may serve nothing, each of these seconds costs more than another copy.
"""

from __future__ import annotations

from dataclasses import dataclass

#: Seconds from the end of a fetch until the engine takes its first request, for the order and load.
LOAD_DURATION_S = 0.5
#: Seconds before the end of the bound on the loaded version at which more copies from the origin
#: still help. Entries leave that version sooner, but more copies would compete for the links.
URGENCY_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class FetchUrgency:
    """How soon a host needs the missing chunks of a version.

    ``remaining_s`` is the time until the engine may no longer serve the version it has loaded.
    ``fetch_s`` is the time that the missing chunks take if one copy passes through all regions.
    """

    is_serving: bool
    remaining_s: float
    fetch_s: float

    @property
    def is_urgent(self) -> bool:
        """Whether the engine serves nothing now, or will not before the version is loaded."""
        return not self.is_serving or self.remaining_s < self.fetch_s + LOAD_DURATION_S


def origin_region_capacity(origin_mbit_s: float, link_mbit_s: float) -> int:
    """Return how many regions the origin can supply at once, each at the rate of a host's link.

    A region that receives new chunks at that rate keeps the links of all its hosts busy. If the
    origin supplied more regions at once, all of them would be later than in a chain of regions.

    :param origin_mbit_s: rate of the origin, in megabits a second.
    :param link_mbit_s: rate of a host's link, in megabits a second.
    :return: the number of regions, at least one.
    """
    return max(1, int(origin_mbit_s / link_mbit_s))


__all__ = (
    'URGENCY_MARGIN_S',
    'FetchUrgency',
    'origin_region_capacity',
)
