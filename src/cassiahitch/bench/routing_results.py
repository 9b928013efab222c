"""Results of a simulation of routing: counts, latencies and fairness."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from hdrh.histogram import HdrHistogram

from cassiahitch.bench.load_model import ORGANISATIONS

#: Largest latency of the histogram, and its units per second.
MAX_LATENCY_MS = 60_000
MS_PER_S = 1_000
#: Significant digits of the histogram.
SIGNIFICANT_DIGITS = 3


@dataclass(slots=True)
class RoutingResults:
    """Counts and latencies of the requests of a burst."""

    successes: int = 0
    shed: int = 0
    unknown: int = 0
    late: int = 0
    attempts: int = 0
    hits: int = 0
    prefixed: int = 0
    useful_s: float = 0
    capacity_s: float = 0
    offered: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(
        default_factory=partial(HdrHistogram, 1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    )

    @property
    def goodput(self) -> float:
        """Slot time of responses within the deadline, as a share of that of healthy replicas."""
        return self.useful_s / self.capacity_s

    @property
    def attempts_per_success(self) -> float:
        """Attempts per response within the deadline."""
        return self.attempts / max(1, self.successes)

    def record_latency(self, seconds: float) -> None:
        """Record the latency of a response.

        :param seconds: time from arrival to response in seconds.
        """
        self.latency.record_value(max(1, int(MS_PER_S * seconds)))

    def latency_s(self, percentile: float) -> float:
        """Return a percentile of the latency of responses.

        :param percentile: between 0 and 100.
        :return: the latency in seconds.
        """
        return float(self.latency.get_value_at_percentile(percentile)) / MS_PER_S

    def fairness(self) -> float:
        """Return Jain's index of the served requests relative to weighted max-min fair shares.

        :return: at most 1, which is perfectly fair.
        """
        entitled = max_min_shares(self.offered, self.served.total())
        ratios = [self.served[name] / entitled[name] for name in entitled if entitled[name]]
        squares = sum(ratio**2 for ratio in ratios)
        return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0


def max_min_shares(offered: Counter[str], served: int) -> dict[str, float]:
    """Return the weighted max-min fair shares; no share exceeds the offered requests.

    :param offered: offered requests of each organisation.
    :param served: total number of served requests.
    :return: the fair share of each organisation.
    """
    remaining = float(served)
    weights = {
        organisation.name: organisation.weight
        for organisation in ORGANISATIONS
        if offered[organisation.name]
    }
    shares: dict[str, float] = {}
    demand = sorted((offered[name] / weight, name) for name, weight in weights.items())
    for _, name in demand:
        shares[name] = min(offered[name], remaining * weights[name] / sum(weights.values()))
        remaining -= shares[name]
        weights.pop(name)
    return shares


__all__ = (
    'RoutingResults',
    'max_min_shares',
)
