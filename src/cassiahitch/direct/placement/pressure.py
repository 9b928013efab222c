"""Recent demand of the classes of requests of a service, and how many of them found capacity.

Load pattern: demand exceeds capacity for some seconds. A class is the requests of one route and
priority. All counts decay, so that the state is forgotten within seconds after an overload.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: Half-life of the counts in seconds.
COUNT_HALF_LIFE_S = 2.0
#: Decayed number of requests below which a share of them is not significant.
MIN_REQUESTS = 2.0
#: Classes of a service whose requests are counted; others have no influence.
MAX_CLASSES = 32


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The requests of a route that have one priority, 0 for the most urgent ones.

    ``objective_s`` is the objective of the route in seconds.
    """

    route: str
    priority: int
    objective_s: float


@dataclass(slots=True)
class DecayingCount:
    """A count that halves with each half-life; times in seconds."""

    count: float = 0
    updated_at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Add to the count.

        :param amount: what to add.
        :param now: current time in seconds.
        """
        self.count = self.at(now) + amount
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the count that is left.

        :param now: current time in seconds.
        :return: the count.
        """
        if not self.count:
            return 0
        return self.count * math.exp2((self.updated_at - now) / COUNT_HALF_LIFE_S)

    def per_s(self, now: float) -> float:
        """Return the recent rate.

        :param now: current time in seconds.
        :return: rate per second.
        """
        return self.at(now) * math.log(2) / COUNT_HALF_LIFE_S


@dataclass(slots=True)
class ClassOutcomes:
    """Recent requests of a class that found capacity, and that were refused for lack of it."""

    begun: DecayingCount = field(default_factory=DecayingCount)
    refused: DecayingCount = field(default_factory=DecayingCount)

    def total(self, now: float) -> float:
        """Return the decayed number of requests.

        :param now: current time in seconds.
        :return: the number.
        """
        return self.begun.at(now) + self.refused.at(now)

    def begun_share(self, now: float) -> float:
        """Return the share of the requests that found capacity.

        :param now: current time in seconds.
        :return: 0 to 1; 1 if there were too few requests.
        """
        total = self.total(now)
        return self.begun.at(now) / total if total >= MIN_REQUESTS else 1


@dataclass(slots=True)
class ServicePressure:
    """Counts the recent requests of one service at this entry by class and outcome."""

    classes: dict[RequestClass, ClassOutcomes] = field(default_factory=dict)
    all_classes: ClassOutcomes = field(default_factory=ClassOutcomes)

    def record(self, request_class: RequestClass, now: float, *, begun: bool) -> None:
        """Record the outcome of the placement of a request.

        :param request_class: class of the request.
        :param now: current time in seconds.
        :param begun: whether it found capacity.
        """
        counted = [self.all_classes]
        if request_class in self.classes or self.has_room(now):
            counted.append(self.classes.setdefault(request_class, ClassOutcomes()))
        for outcomes in counted:
            (outcomes.begun if begun else outcomes.refused).add(1, now)

    def has_room(self, now: float) -> bool:
        """Return whether a further class can be counted, after classes without demand are dropped.

        :param now: current time in seconds.
        :return: whether there are fewer than ``MAX_CLASSES``.
        """
        if len(self.classes) >= MAX_CLASSES:
            self.classes = {
                request_class: outcomes
                for request_class, outcomes in self.classes.items()
                if outcomes.total(now) >= MIN_REQUESTS
            }
        return len(self.classes) < MAX_CLASSES

    def has_demand(self, now: float) -> bool:
        """Return whether there were enough recent requests for their shares to be significant.

        :param now: current time in seconds.
        :return: whether the counts say something.
        """
        return self.all_classes.total(now) >= MIN_REQUESTS

    def refused_share(self, now: float) -> float:
        """Return the share of all recent requests that found no capacity.

        :param now: current time in seconds.
        :return: 0 to 1; 0 if there were too few requests.
        """
        return 1 - self.all_classes.begun_share(now)

    def objective_range_s(self, now: float) -> tuple[float, float]:
        """Return the shortest and the longest objective of the classes with recent requests.

        :param now: current time in seconds.
        :return: seconds; infinite and 0 if there were too few requests.
        """
        objectives_s = [
            request_class.objective_s
            for request_class, outcomes in self.classes.items()
            if outcomes.total(now) >= MIN_REQUESTS
        ]
        return min(objectives_s, default=math.inf), max(objectives_s, default=0)

    def less_urgent_share(self, priority: int, now: float) -> float:
        """Return the share of recent requests that are less urgent than a priority.

        :param priority: the priority that is compared.
        :param now: current time in seconds.
        :return: 0 to 1; 0 if there were too few requests.
        """
        total = self.all_classes.total(now)
        if total < MIN_REQUESTS:
            return 0
        less_urgent = sum(
            outcomes.total(now)
            for request_class, outcomes in self.classes.items()
            if request_class.priority > priority
        )
        return min(1, less_urgent / total)

    def lowest_relative_share(self, priority: int, now: float) -> float:
        """Return how often the least served of the less urgent classes finds capacity.

        :param priority: the priority that is compared.
        :param now: current time in seconds.
        :return: ratio to the mean of all classes; infinite if there is no less urgent class.
        """
        return min(
            (
                self.relative_share(request_class, now)
                for request_class in self.classes
                if request_class.priority > priority
            ),
            default=math.inf,
        )

    def relative_share(self, request_class: RequestClass, now: float) -> float:
        """Return how often a class finds capacity, relative to all classes.

        :param request_class: the class.
        :param now: current time in seconds.
        :return: ratio of the begun shares, 1 if there were too few requests.
        """
        outcomes = self.classes.get(request_class)
        if outcomes is None or outcomes.total(now) < MIN_REQUESTS:
            return 1
        mean_share = self.all_classes.begun_share(now)
        return outcomes.begun_share(now) / mean_share if mean_share else 0


__all__ = ('ClassOutcomes', 'DecayingCount', 'RequestClass', 'ServicePressure')
