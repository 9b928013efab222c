"""Load of a plain replica, as this entry knows it from its own requests.

Load pattern: the reads and writes of one service cost differently, and an entry sends about one
request per second to it. A replica that has just answered a long read is not slower than the
others, and one with a single long read in flight is busier than one with a short write.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.placement.assignments import Candidate

#: Weight of the newest response time in the moving average of a replica.
NEWEST_WEIGHT = 0.3
#: Half-life of the slowness of an idle replica, in seconds.
SLOWNESS_HALF_LIFE_S = 4.0
#: Seconds by which a replica of another failure domain of the own region, and one of another
#: region, has to be faster than one of the own failure domain. The traffic between these is
#: expensive and takes milliseconds.
OTHER_DOMAIN_COST_S = 0.01
OTHER_REGION_COST_S = 0.02


@dataclass(slots=True)
class PlainLoadTracker:
    """Tracks the requests of this entry at a plain replica and how slow it is.

    A plain replica does not report its load. ``in_flight`` counts the requests, ``work_s`` is the
    sum of their expected service times, and ``slowness`` the mean ratio of response times to
    expected service times, as of ``updated_at``. If ``forgets`` is set, a new measurement counts
    against the slowness that is left by then, so that a replica which was slow once returns to use
    with its first quick response. Times in seconds.
    """

    in_flight: int = 0
    work_s: float = 0
    slowness: float = 1
    updated_at: float = 0
    forgets: bool = False

    def record_sent(self, cost_s: float) -> None:
        """Record that a request was sent.

        :param cost_s: its expected service time.
        """
        self.in_flight += 1
        self.work_s += cost_s

    def record_ended(self, cost_s: float, ratio: float, now: float) -> None:
        """Record the end of a request.

        :param cost_s: its expected service time when it was sent.
        :param ratio: its response time relative to the service time that is expected by now.
        :param now: current time in seconds.
        """
        self.in_flight -= 1
        self.work_s = max(0, self.work_s - cost_s) if self.in_flight else 0
        before = self.current_slowness(now) if self.forgets else self.slowness
        self.slowness = before + NEWEST_WEIGHT * (ratio - before)
        self.updated_at = now

    def current_slowness(self, now: float) -> float:
        """Return the slowness, which approaches 1 without measurements.

        :param now: current time in seconds.
        :return: a ratio of times.
        """
        decay = math.exp2((self.updated_at - now) / SLOWNESS_HALF_LIFE_S)
        return 1 + (self.slowness - 1) * decay

    def expected_s(self, cost_s: float, slots: int, now: float) -> float:
        """Return the expected response time of a further request.

        :param cost_s: its expected service time.
        :param slots: requests that the replica runs concurrently.
        :param now: current time in seconds.
        :return: seconds.
        """
        return self.current_slowness(now) * (cost_s + self.work_s / slots)


def distance_s(candidate: Candidate) -> float:
    """Return the seconds by which a replica has to be faster than one that is near.

    :param candidate: the replica.
    :return: seconds, 0 for a replica in the failure domain of this entry.
    """
    if candidate.in_own_domain:
        return 0
    return OTHER_DOMAIN_COST_S if candidate.in_own_region else OTHER_REGION_COST_S


__all__ = (
    'PlainLoadTracker',
    'distance_s',
)
