"""Schedule of the times at which refused callers return.

Load pattern: callers are refused for some seconds and all of them retry once. If they returned at
random, most of them would find the same queues again. Each is given a time slot of its own, at a
fraction of the rate at which requests recently began at this entry. Callers for whom there is no
slot return as late as they are willing to.
"""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from dataclasses import dataclass, field

from cassiahitch.direct.placement.placement import HONOURED_FRACTION

#: Fraction of the rate of begun requests that is given to returning callers.
RETURN_RATE_FRACTION = 0.3
#: Shortest time after which a refused caller returns, in seconds.
SHORTEST_RETURN_S = 0.2
#: Shortest time for callers that will be late when they return, in seconds.
SHORTEST_LATE_RETURN_S = 1.0
#: Part of the longest time over which callers without a slot are spread.
UNSCHEDULED_SPREAD = 0.15
#: Slots that are remembered.
MAX_SLOTS = 64


@dataclass(frozen=True, slots=True)
class ReturnTime:
    """The time after which a refused caller returns, in seconds, and whether it has a slot."""

    after_s: float
    has_slot: bool


@dataclass(frozen=True, slots=True)
class RefusalInputs:
    """What decided on a refusal under pressure and its retry time.

    ``pressure`` is the share of the recent requests of the service that found no capacity,
    ``returned_share`` that of returning callers among those that began, and ``begun_per_s`` the
    rate at which these began. ``excess`` is the begun work of the organisation relative to its
    fair share, and ``has_slot`` is set if the caller was given a slot.
    """

    pressure: float
    returned_share: float
    begun_per_s: float
    excess: float
    has_slot: bool


@dataclass(slots=True)
class ReturnSchedule:
    """The slots that were given to refused callers of a service, in seconds, sorted."""

    slots: list[float] = field(default_factory=list)

    def return_time(
        self,
        remaining_s: float,
        in_time_s: float,
        begun_per_s: float,
        now: float,
        rng: random.Random,
    ) -> ReturnTime:
        """Return when a refused caller should return.

        :param remaining_s: seconds until its deadline.
        :param in_time_s: seconds after which it can still be served within its objective.
        :param begun_per_s: rate at which requests recently began, above 0.
        :param now: current time in seconds.
        :param rng: random number generator.
        :return: the time.
        """
        longest_s = HONOURED_FRACTION * max(0, remaining_s)
        gap_s = 1 / (RETURN_RATE_FRACTION * begun_per_s)
        slot_at = None
        if in_time_s >= SHORTEST_RETURN_S:
            slot_at = self.take(now + SHORTEST_RETURN_S, now + in_time_s, gap_s, now)
        if slot_at is None:
            start_s = min(SHORTEST_LATE_RETURN_S, longest_s)
            slot_at = self.take(now + start_s, now + longest_s, gap_s, now)
        if slot_at is None:
            return ReturnTime(longest_s * rng.uniform(1 - UNSCHEDULED_SPREAD, 1), has_slot=False)
        after_s = slot_at - now + rng.uniform(0, gap_s / 2)
        return ReturnTime(min(longest_s, after_s), has_slot=True)

    def take(self, first: float, last: float, gap_s: float, now: float) -> float | None:
        """Take the first slot that has a distance from all others.

        :param first: earliest time in seconds.
        :param last: latest time in seconds.
        :param gap_s: the distance in seconds.
        :param now: current time in seconds.
        :return: the time, or None if there is none.
        """
        del self.slots[: bisect_left(self.slots, now - gap_s)]
        slot_at = first
        for taken in self.slots[bisect_left(self.slots, first - gap_s) :]:
            if taken - slot_at >= gap_s:
                break
            slot_at = taken + gap_s
        if slot_at > last or len(self.slots) >= MAX_SLOTS:
            return None
        insort(self.slots, slot_at)
        return slot_at


__all__ = ('RefusalInputs', 'ReturnSchedule', 'ReturnTime')
