"""Fair shares of the organisations in the capacity of a service.

Load pattern: one organisation sends most of the requests of an overloaded service. If all requests
were refused alike, the small organisations would lose as much as the one that causes the overload.
The begun work is divided so that each organisation has an equal share, and what some do not need
goes to the others. Requests of organisations that are above their share are admitted only by
engines that start them almost at once, at random, the more often the further they are above it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cassiahitch.direct.placement.pressure import DecayingCount

#: Organisations of a service whose work is counted; others are never above their share.
MAX_ORGANISATIONS = 64
#: Prompt tokens that count as much work as a request by itself.
REQUEST_TOKENS = 1000
#: Seconds for which a computed share is used.
SHARE_REFRESH_S = 0.25
#: Work of an organisation, in requests, below which its share is not significant.
MIN_WORK = 4.0
#: Work of an organisation relative to its share above which its requests are restricted, and from
#: which on all of them are. Few requests of each organisation pass one entry, so that their number
#: varies.
EXCESS_RANGE = (1.5, 3.0)


@dataclass(slots=True)
class OrganisationWork:
    """Recent work that an organisation asked for, and the part of it that began."""

    asked: DecayingCount = field(default_factory=DecayingCount)
    begun: DecayingCount = field(default_factory=DecayingCount)


@dataclass(slots=True)
class FairShares:
    """Recent work of the organisations of one service.

    ``share`` is the work per organisation, as of ``updated_at`` in seconds; infinite if all work
    that organisations ask for begins.
    """

    organisations: dict[str, OrganisationWork] = field(default_factory=dict)
    share: float = math.inf
    updated_at: float = -math.inf

    def record(self, organisation: str, prompt_tokens: int, now: float, *, begun: bool) -> None:
        """Record the outcome of the placement of a request.

        :param organisation: name of its organisation, empty if it has none.
        :param prompt_tokens: length of its prompt.
        :param now: current time in seconds.
        :param begun: whether it found capacity.
        """
        if not organisation:
            return
        if organisation not in self.organisations and not self.has_room(now):
            return
        work = 1 + prompt_tokens / REQUEST_TOKENS
        counted = self.organisations.setdefault(organisation, OrganisationWork())
        counted.asked.add(work, now)
        if begun:
            counted.begun.add(work, now)

    def has_room(self, now: float) -> bool:
        """Return whether a further organisation can be counted, after idle ones are dropped.

        :param now: current time in seconds.
        :return: whether there are fewer than ``MAX_ORGANISATIONS``.
        """
        if len(self.organisations) >= MAX_ORGANISATIONS:
            self.current_share(now)
        return len(self.organisations) < MAX_ORGANISATIONS

    def current_share(self, now: float) -> float:
        """Return the work that each organisation may begin.

        :param now: current time in seconds.
        :return: the share, at most ``SHARE_REFRESH_S`` old.
        """
        if now - self.updated_at >= SHARE_REFRESH_S:
            self.updated_at = now
            self.organisations = {
                name: work for name, work in self.organisations.items() if work.asked.at(now) >= 1
            }
            works = self.organisations.values()
            capacity = sum(work.begun.at(now) for work in works)
            self.share = equal_share([work.asked.at(now) for work in works], capacity)
        return self.share

    def excess(self, organisation: str, now: float) -> float:
        """Return the begun work of an organisation relative to its share.

        :param organisation: name of the organisation.
        :param now: current time in seconds.
        :return: a ratio; 0 if there was too little work.
        """
        counted = self.organisations.get(organisation)
        if counted is None:
            return 0
        begun = counted.begun.at(now)
        share = self.current_share(now)
        return begun / share if share and begun >= MIN_WORK else 0

    def restricted_share(self, organisation: str, now: float) -> float:
        """Return which share of the requests of an organisation is restricted.

        :param organisation: name of the organisation.
        :param now: current time in seconds.
        :return: 0 to 1.
        """
        lowest, complete = EXCESS_RANGE
        excess = self.excess(organisation, now)
        return max(0, min(1, (excess - lowest) / (complete - lowest)))


def equal_share(asked: list[float], capacity: float) -> float:
    """Return the largest work per organisation that the capacity allows.

    :param asked: work that each organisation asks for.
    :param capacity: work that begins.
    :return: the share; infinite if the capacity is enough for all.
    """
    left = capacity
    for index, work in enumerate(sorted(asked)):
        share = left / (len(asked) - index)
        if work > share:
            return share
        left -= work
    return math.inf


__all__ = ('FairShares', 'OrganisationWork', 'equal_share')
