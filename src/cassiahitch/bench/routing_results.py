"""Counts what became of the requests of a run, and how fairly."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from hdrh.histogram import HdrHistogram

from cassiahitch.bench.load_model import ORGANISATIONS

#: Largest latency in the histogram, and units in a second.
LONGEST_MS = 60_000
MS = 1_000
#: Significant digits of the histogram.
DIGITS = 3


@dataclass(slots=True)
class RoutingResults:
    """What became of the requests of a burst."""

    successes: int = 0
    shed: int = 0
    unknown: int = 0
    late: int = 0
    sends: int = 0
    hits: int = 0
    prefixed: int = 0
    useful_s: float = 0
    capacity_s: float = 0
    offered: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=partial(HdrHistogram, 1, LONGEST_MS, DIGITS))

    @property
    def goodput(self) -> float:
        """Slot time spent on answers in time, as a share of that of all healthy replicas."""
        return self.useful_s / self.capacity_s

    @property
    def sends_per_success(self) -> float:
        """Sends of a request for each answer in time."""
        return self.sends / max(1, self.successes)

    def record_latency(self, seconds: float) -> None:
        """Record the latency of an answer.

        :param seconds: from arrival to answer.
        """
        self.latency.record_value(max(1, int(MS * seconds)))

    def latency_s(self, percentile: float) -> float:
        """Return a percentile of the latency of answers.

        :param percentile: 0 to 100.
        :return: seconds.
        """
        return float(self.latency.get_value_at_percentile(percentile)) / MS

    def fairness(self) -> float:
        """Return Jain's index of what was served over what max-min fairness by weight gives.

        :return: up to 1, which is perfectly fair.
        """
        entitled = max_min_shares(self.offered, self.served.total())
        ratios = [self.served[name] / entitled[name] for name in entitled if entitled[name]]
        squares = sum(ratio**2 for ratio in ratios)
        return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0


def max_min_shares(offered: Counter[str], served: int) -> dict[str, float]:
    """Divide what was served by weight; nobody gets more than it asked for.

    :param offered: requests of each organisation.
    :param served: requests that were served in all.
    :return: the fair share of each organisation.
    """
    left = float(served)
    weights = {
        organisation.name: organisation.weight
        for organisation in ORGANISATIONS
        if offered[organisation.name]
    }
    shares: dict[str, float] = {}
    demand = sorted((offered[name] / weight, name) for name, weight in weights.items())
    for _, name in demand:
        shares[name] = min(offered[name], left * weights[name] / sum(weights.values()))
        left -= shares[name]
        weights.pop(name)
    return shares


__all__ = (
    'RoutingResults',
    'max_min_shares',
)
