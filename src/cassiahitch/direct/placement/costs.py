"""Expected cost of requests, learned from completed ones.

Load pattern: the output lengths of one route differ by a factor of ten or more, the hints of its
callers are right in the median and often far off, and the mix changes within seconds. An entry
completes a few requests of a route per second, so that an estimate rests on few measurements.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.api import Generation
    from cassiahitch.direct.state.catalogue import Engine

#: Half-life of measured output lengths, in seconds: a changed mix is learned within seconds.
OUTPUT_HALF_LIFE_S = 6.0
#: Half-life of measured service times, in seconds. It is longer, since an entry sends a plain
#: service only about one request per second.
SERVICE_HALF_LIFE_S = 20.0
#: Completed requests that count as much as what was expected before them.
PRIOR_REQUESTS = 4.0
#: Service time that is assumed for a plain request without measurements, in seconds.
INITIAL_SERVICE_S = 0.02
#: Measurements that this counts for; with more, replicas that are in use would look slow.
INITIAL_SERVICE_WEIGHT = 0.05
#: Shortest service time in seconds, so that ratios to it stay finite.
MIN_SERVICE_S = 0.001
#: Routes that are learned separately; all others are learned together.
MAX_ROUTES = 64
OTHER_ROUTES = ''
#: Decayed number of measurements below which a route is dropped to make room for another.
MIN_KEPT_WEIGHT = 0.1


@dataclass(slots=True)
class DecayingMean:
    """Mean of measurements whose weights halve every ``half_life_s`` seconds."""

    half_life_s: float
    total: float = 0
    weight: float = 0
    updated_at: float = 0

    def add(self, measured: float, now: float) -> None:
        """Add a measurement with weight 1.

        :param measured: the measurement.
        :param now: current time in seconds.
        """
        remaining = self.remaining_fraction(now)
        self.total = self.total * remaining + measured
        self.weight = self.weight * remaining + 1
        self.updated_at = now

    def remaining_fraction(self, now: float) -> float:
        """Return the fraction of the weights that remains since the last measurement.

        :param now: current time in seconds.
        :return: 0 to 1.
        """
        return math.exp2(min(0, self.updated_at - now) / self.half_life_s)

    def estimate(self, prior: float, now: float, prior_weight: float = PRIOR_REQUESTS) -> float:
        """Return the mean, drawn towards a prior by as much as measurements are few or old.

        :param prior: the expectation without measurements.
        :param now: current time in seconds.
        :param prior_weight: number of measurements that the prior counts for, above 0.
        :return: the estimate.
        """
        remaining = self.remaining_fraction(now)
        total = self.total * remaining + prior * prior_weight
        return total / (self.weight * remaining + prior_weight)

    def is_significant(self, now: float) -> bool:
        """Return whether measurements still have a weight worth keeping.

        :param now: current time in seconds.
        :return: whether the decayed weight is at least ``MIN_KEPT_WEIGHT``.
        """
        return self.weight * self.remaining_fraction(now) >= MIN_KEPT_WEIGHT

    def confidence(self, now: float) -> float:
        """Return how much of an estimate rests on measurements.

        :param now: current time in seconds.
        :return: 0 without measurements, towards 1 with many recent ones.
        """
        weight = self.weight * self.remaining_fraction(now)
        return weight / (weight + PRIOR_REQUESTS)


def _output_mean() -> DecayingMean:
    return DecayingMean(OUTPUT_HALF_LIFE_S)


@dataclass(slots=True)
class RouteOutputs:
    """Output lengths of the streams of one route, in tokens.

    ``by_hint`` holds their means by the power of two of the hint. ``hint_error`` and
    ``mean_error`` hold the mean squared errors of the hint and of the mean of the route.
    """

    mean: DecayingMean = field(default_factory=_output_mean)
    by_hint: dict[int, DecayingMean] = field(default_factory=dict)
    hint_error: DecayingMean = field(default_factory=_output_mean)
    mean_error: DecayingMean = field(default_factory=_output_mean)

    def expected(self, hint: int, configured: float, now: float) -> float:
        """Return the expected output length of a request.

        :param hint: output length that its caller expects, 0 if unknown.
        :param configured: mean output length by the configuration.
        :param now: current time in seconds.
        :return: tokens.
        """
        prior = self.mean.estimate(configured, now)
        if hint:
            prior += self.hint_weight(now) * (hint - prior)
        similar = self.by_hint.get(hint.bit_length())
        return prior if similar is None else similar.estimate(prior, now)

    def hint_weight(self, now: float) -> float:
        """Return the weight of a hint against the mean of the route, by their errors.

        :param now: current time in seconds.
        :return: 0 without measurements, towards 1 if hints have proven right.
        """
        hint_error = self.hint_error.estimate(0, now)
        mean_error = self.mean_error.estimate(0, now)
        if not mean_error:
            return 0
        return self.hint_error.confidence(now) * mean_error / (mean_error + hint_error)

    def record(self, hint: int, tokens: float, configured: float, now: float) -> None:
        """Record the output length of a completed stream.

        :param hint: output length that its caller expected, 0 if unknown.
        :param tokens: its actual output length.
        :param configured: mean output length by the configuration.
        :param now: current time in seconds.
        """
        if hint:
            self.hint_error.add((hint - tokens) ** 2, now)
            self.mean_error.add((self.mean.estimate(configured, now) - tokens) ** 2, now)
        self.mean.add(tokens, now)
        similar = self.by_hint.setdefault(hint.bit_length(), _output_mean())
        similar.add(tokens, now)


@dataclass(slots=True)
class RequestCosts:
    """Expected output tokens of streams and service times of plain requests, by route.

    Unless ``learns`` is set, nothing is learned, no output is expected, and all plain requests cost
    the same.
    """

    learns: bool = False
    outputs: dict[str, RouteOutputs] = field(default_factory=dict)
    services: dict[str, DecayingMean] = field(default_factory=dict)

    def output_tokens(
        self, route: str, generation: Generation | None, engine: Engine, now: float
    ) -> float:
        """Return the expected output length of a stream.

        :param route: name of its route.
        :param generation: its size and the hint of its caller, None if unknown.
        :param engine: the engines of its service, with the configured mean.
        :param now: current time in seconds.
        :return: tokens, 0 if nothing is learned.
        """
        if not self.learns:
            return 0
        configured = engine.mean_output_tokens
        outputs = self.outputs.get(route) or self.outputs.get(OTHER_ROUTES)
        hint = _bounded_hint(generation)
        expected = outputs.expected(hint, configured, now) if outputs else configured
        if generation and generation.max_output_tokens:
            expected = min(expected, generation.max_output_tokens)
        return max(1, expected)

    def record_output(
        self,
        route: str,
        generation: Generation | None,
        engine: Engine,
        tokens: float,
        now: float,
    ) -> None:
        """Learn the output length of a completed stream.

        :param route: name of its route.
        :param generation: its size and the hint of its caller, None if unknown.
        :param engine: the engines of its service, with the configured mean.
        :param tokens: its output length.
        :param now: current time in seconds.
        """
        if not self.learns:
            return
        if route not in self.outputs and len(self.outputs) >= MAX_ROUTES:
            self.outputs = {
                name: kept for name, kept in self.outputs.items() if kept.mean.is_significant(now)
            }
            route = route if len(self.outputs) < MAX_ROUTES else OTHER_ROUTES
        outputs = self.outputs.setdefault(route, RouteOutputs())
        outputs.record(_bounded_hint(generation), tokens, engine.mean_output_tokens, now)

    def service_s(self, route: str, now: float) -> float:
        """Return the expected service time of a plain request.

        :param route: name of its route.
        :param now: current time in seconds.
        :return: seconds; the same for all routes if nothing is learned.
        """
        service = self.services.get(route) or self.services.get(OTHER_ROUTES)
        if service is None:
            return INITIAL_SERVICE_S
        estimate_s = service.estimate(INITIAL_SERVICE_S, now, prior_weight=INITIAL_SERVICE_WEIGHT)
        return max(MIN_SERVICE_S, estimate_s)

    def record_service(self, route: str, seconds: float, now: float) -> None:
        """Learn the service time of a completed plain request.

        :param route: name of its route.
        :param seconds: its response time.
        :param now: current time in seconds.
        """
        if not self.learns:
            return
        if route not in self.services and len(self.services) >= MAX_ROUTES:
            self.services = {
                name: kept for name, kept in self.services.items() if kept.is_significant(now)
            }
            route = route if len(self.services) < MAX_ROUTES else OTHER_ROUTES
        service = self.services.setdefault(route, DecayingMean(SERVICE_HALF_LIFE_S))
        service.add(seconds, now)


def _bounded_hint(generation: Generation | None) -> int:
    if generation is None:
        return 0
    hint = generation.expected_output_tokens
    return min(hint, generation.max_output_tokens) if generation.max_output_tokens else hint


__all__ = (
    'DecayingMean',
    'RequestCosts',
    'RouteOutputs',
)
