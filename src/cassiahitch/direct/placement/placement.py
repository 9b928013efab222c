"""Chooses the replica for a request, or refuses the request.

Load pattern: more requests arrive than the engines can begin within the objective. Requests that
can still meet it go first, a request whose time has passed gets behind them into engines that would
begin it soon, and one that has no chance is refused at once with a time at which to come back.

Whether an engine takes one more request depends neither on the length of its prompt nor on the
objective of its route: if each were judged by its own, engines would fill up to where only the
shortest prompts and the longest objectives still fit. Requests that can wait less than usual go to
the front of the engine's queue instead.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.load import LoadTracker, prefill_s, queue_delay_s

if TYPE_CHECKING:
    from cassiahitch.direct.state.catalogue import Engine, Route
    from cassiahitch.direct.state.replicas import Replica

#: Part of the objective up to which the first event of a usual prompt may be expected. The rest is
#: for the reading of longer prompts and for what predictions miss.
ADMISSION_FRACTION = 0.7
#: Part of the objective up to which replicas of other regions are left to their own callers.
NEAR_PART = 0.5
#: Part of the objective within which an engine has to begin a request whose time has passed.
RETURNED_PART = 0.5
#: Seconds by which a replica of another region must be better than one of the own.
CROSS_REGION_COST_S = 0.02
#: Seconds by which choices are spread, so that entries with the same reports differ.
SPREAD_S = 0.02
#: Candidates that are compared at first.
SAMPLE = 3
#: Shortest and longest time after which a refused caller may come back, in seconds.
RETRY_AFTER_RANGE_S = (0.7, 1.9)
#: Part of the time that a caller has left up to which it waits as told.
HONOURED_FRACTION = 1 / 3
#: Weight of the newest time in the mean time of a plain replica.
NEWEST_WEIGHT = 0.3
#: Seconds after which the mean time of an idle plain replica counts half.
FADE_S = 4.0
#: Time that a plain replica is taken to need before it is known, in seconds.
FIRST_MEAN_S = 0.02
#: Seconds for which an engine that was full is not asked again.
FULL_S = 0.3
#: Places of an engine that are kept for requests which can still be in time.
KEPT_PLACES = 1
#: Rank in the queue of an engine of requests whose objective has passed.
LATE_RANK = 8
HIGHEST_RANK = 7
#: Ranks of each priority: requests that can wait less than usual, and all others.
RANKS_OF_PRIORITY = 2


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may get the request."""

    replica: Replica
    in_own_region: bool
    version: int = 0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What is to be placed; ``elapsed_s`` is the time since the caller first asked.

    ``remaining_s`` is the time until nobody waits for it any more. ``mean_objective_s`` is the mean
    objective of the routes of the service, if it is known.
    """

    route: Route
    elapsed_s: float
    prompt_tokens: int = 0
    priority: int = 0
    remaining_s: float = math.inf
    mean_objective_s: float = 0

    @property
    def admission_objective_s(self) -> float:
        """The objective by which engines are full, the same for all routes of a service."""
        return self.mean_objective_s or self.route.objective_s

    @property
    def is_late(self) -> bool:
        """Whether its objective has passed, as it has for callers that come back."""
        return self.elapsed_s >= self.admission_objective_s

    def is_short_of_time(self, engine: Engine) -> bool:
        """Tell whether it can wait less than a usual request of the service.

        :param engine: speed of the engines.
        :return: whether its prompt is longer, or its objective shorter, than usual.
        """
        spared_s = self.route.objective_s - self.admission_objective_s
        longer_s = prefill_s(engine, self.prompt_tokens, 1) - prefill_s(
            engine, engine.mean_prompt_tokens, 1
        )
        return longer_s > spared_s


@dataclass(frozen=True, slots=True)
class Assignment:
    """The request goes to a replica; ``expected_s`` is the time to its first byte.

    ``near_capacity`` tells that another replica may well be better.
    """

    candidate: Candidate
    expected_s: float
    rank: int | None = None
    near_capacity: bool = True


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """No replica can begin the request in time.

    ``best_expected_s`` is when the best of them would begin it, and ``available_in_s`` the time after which that
    one may be able to begin it in time.
    """

    retry_after_s: float
    best_expected_s: float
    available_in_s: float


@dataclass(frozen=True, slots=True)
class FirstEventEstimate:
    """Requests of an engine, and the time until the first event of one more.

    ``expected_s`` is that of the request itself, ``usual_s`` that of one with a usual prompt.
    """

    requests: int
    expected_s: float
    usual_s: float


@dataclass(slots=True)
class PlainLoadTracker:
    """Requests at a plain replica and its mean time."""

    in_flight: int = 0
    mean_s: float = FIRST_MEAN_S
    updated: float = 0

    def record_ended(self, seconds: float, now: float) -> None:
        """Count the end of a request.

        :param seconds: how long it took.
        :param now: seconds.
        """
        self.in_flight -= 1
        self.mean_s += NEWEST_WEIGHT * (seconds - self.mean_s)
        self.updated = now

    def expected_s(self, slots: int, now: float) -> float:
        """Return the time that one more request would take.

        :param slots: requests that the replica runs at once.
        :param now: seconds.
        :return: seconds.
        """
        faded = math.exp2((self.updated - now) / FADE_S)
        mean_s = FIRST_MEAN_S + (self.mean_s - FIRST_MEAN_S) * faded
        return mean_s * (1 + self.in_flight / slots)


@dataclass(slots=True)
class Placement:
    """Chooses among replicas by what this entry knows of their load."""

    rng: random.Random
    engines: dict[str, LoadTracker] = field(default_factory=dict)
    plain: dict[str, PlainLoadTracker] = field(default_factory=dict)

    def engine_load(self, key: str) -> LoadTracker:
        """Return what is known of the load of an engine.

        :param key: the incarnation of the replica.
        :return: the load.
        """
        return self.engines.setdefault(key, LoadTracker())

    def plain_load(self, key: str) -> PlainLoadTracker:
        """Return what is known of the load of a plain replica.

        :param key: the incarnation of the replica.
        :return: the load.
        """
        return self.plain.setdefault(key, PlainLoadTracker())

    def keep_only(self, keys: frozenset[str]) -> None:
        """Forget replicas that are gone.

        :param keys: names of the incarnations that are known.
        """
        self.engines = {key: load for key, load in self.engines.items() if key in keys}
        self.plain = {key: load for key, load in self.plain.items() if key in keys}

    def place_plain(self, candidates: tuple[Candidate, ...], now: float) -> Assignment:
        """Choose a replica of a plain service.

        :param candidates: at least one.
        :param now: seconds.
        :return: the choice.
        """
        times = {
            candidate: self.plain_load(candidate.replica.key).expected_s(
                candidate.replica.slots, now
            )
            for candidate in candidates
        }
        chosen = min(candidates, key=lambda one: times[one] * self.rng.uniform(1, 1.2))
        return Assignment(chosen, times[chosen])

    def place_engine(
        self,
        engine: Engine,
        demand: PlacementRequest,
        candidates: tuple[Candidate, ...],
        entries: int,
        now: float,
    ) -> Assignment | NoCapacity:
        """Choose a model engine, or refuse.

        :param engine: speed of the engines.
        :param demand: the request.
        :param candidates: at least one.
        :param entries: entries that send to them.
        :param now: seconds.
        :return: the choice.
        """
        prospects = {one: self.estimate(engine, demand, one, entries, now) for one in candidates}
        near = tuple(one for one in candidates if one.in_own_region)
        is_near_enough = len(near) >= SAMPLE
        chosen = self.best_of_few(near if is_near_enough else candidates, prospects)
        if is_near_enough and not _is_in_time(demand, prospects[chosen], NEAR_PART):
            chosen = self.best_of_few(candidates, prospects)
        if not _is_in_time(demand, prospects[chosen]):
            chosen = min(candidates, key=lambda one: self.cost_s(one, prospects[one]))
        estimate = prospects[chosen]
        in_time = _is_in_time(demand, estimate)
        begins = estimate.expected_s <= demand.remaining_s
        if begins and (in_time or estimate.requests <= engine.slots - KEPT_PLACES):
            rank = _rank(engine, demand) if _can_be_in_time(demand, estimate) else LATE_RANK
            near_capacity = not _is_in_time(demand, estimate, NEAR_PART)
            return Assignment(chosen, estimate.expected_s, rank, near_capacity)
        available_in_s = max(0, estimate.usual_s - _room_s(demand))
        return NoCapacity(self.return_s(demand), estimate.expected_s, available_in_s)

    def is_full(
        self, engine: Engine, demand: PlacementRequest, candidate: Candidate, now: float
    ) -> bool:
        """Tell whether an engine cannot take a request, as follows from its last report.

        Its queue was told of, and gets shorter by no more than the time that has passed, unless
        callers leave.

        :param engine: speed of the engines.
        :param demand: the request.
        :param candidate: the replica.
        :param now: seconds.
        :return: whether it need not be asked.
        """
        load = self.engine_load(candidate.replica.key)
        if now - load.heard_at > FULL_S:
            return False
        estimate = self.estimate(engine, demand, candidate, 1, now)
        return estimate.usual_s - (now - load.heard_at) > _room_s(demand)

    def return_s(self, demand: PlacementRequest) -> float:
        """Return after which time a refused caller may come back.

        Load pattern: callers that have less time left than they are told to wait come back all at
        once, at the end of what they heed.

        :param demand: the request.
        :return: seconds, spread over callers.
        """
        shortest_s, longest_s = RETRY_AFTER_RANGE_S
        heeded = min(1, HONOURED_FRACTION * max(0, demand.remaining_s) / longest_s)
        return self.rng.uniform(shortest_s, longest_s) * heeded

    def best_of_few(
        self, candidates: tuple[Candidate, ...], prospects: dict[Candidate, FirstEventEstimate]
    ) -> Candidate:
        """Choose among a few candidates that are drawn.

        Load pattern: entries that know the same would all choose the same.

        :param candidates: at least one.
        :param prospects: what the request can expect of each.
        :return: the best of those that were drawn.
        """
        few = self.rng.sample(candidates, min(SAMPLE, len(candidates)))
        return min(few, key=lambda one: self.cost_s(one, prospects[one]))

    def estimate(
        self,
        engine: Engine,
        demand: PlacementRequest,
        candidate: Candidate,
        entries: int,
        now: float,
    ) -> FirstEventEstimate:
        """Return what a request can expect of an engine.

        :param engine: speed of the engines.
        :param demand: the request.
        :param candidate: the replica.
        :param entries: entries that send to it.
        :param now: seconds.
        :return: the expectation.
        """
        load = self.engine_load(candidate.replica.key)
        queue = load.queue(engine, entries, now)
        slowdown = load.slowdown(now)
        begin_s = queue_delay_s(engine, queue, slowdown) + load.lateness_s(now)
        return FirstEventEstimate(
            queue.requests,
            expected_s=begin_s + prefill_s(engine, demand.prompt_tokens, slowdown),
            usual_s=begin_s + prefill_s(engine, engine.mean_prompt_tokens, slowdown),
        )

    def cost_s(self, candidate: Candidate, estimate: FirstEventEstimate) -> float:
        """Return what a choice costs, in seconds, with a random part.

        :param candidate: the replica.
        :param estimate: what the request can expect there.
        :return: seconds.
        """
        crossing_s = 0 if candidate.in_own_region else CROSS_REGION_COST_S
        return estimate.expected_s + crossing_s + self.rng.uniform(0, SPREAD_S)


def _room_s(demand: PlacementRequest, part: float = ADMISSION_FRACTION) -> float:
    if demand.is_late:
        return demand.admission_objective_s * min(part, RETURNED_PART)
    return demand.admission_objective_s * part - demand.elapsed_s


def _is_in_time(
    demand: PlacementRequest, estimate: FirstEventEstimate, part: float = ADMISSION_FRACTION
) -> bool:
    return estimate.usual_s <= _room_s(demand, part)


def _can_be_in_time(demand: PlacementRequest, estimate: FirstEventEstimate) -> bool:
    return not demand.is_late and _is_in_time(demand, estimate, 1)


def _rank(engine: Engine, demand: PlacementRequest) -> int:
    rank = RANKS_OF_PRIORITY * max(0, demand.priority)
    if not demand.is_short_of_time(engine):
        rank += 1
    return min(HIGHEST_RANK, rank)


__all__ = (
    'Candidate',
    'NoCapacity',
    'PlacementRequest',
    'Assignment',
    'Placement',
    'PlainLoadTracker',
    'FirstEventEstimate',
)
