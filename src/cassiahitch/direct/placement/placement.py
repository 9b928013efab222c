"""Selection of the replica for a request, or refusal of the request.

Load pattern: more requests arrive than the engines can start within the objective. Requests that
can still meet their objective have priority. A late request is queued behind them at engines that
would start it soon, and one that cannot be started is refused at once with a retry time.

Admission at an engine depends neither on the length of the prompt nor on how long the objective of
the route is. Otherwise the engines would fill up until only the shortest prompts and the longest
objectives were admitted. Requests with less slack than the average are queued first instead. Where
the routes of a service differ, ``AdmissionTerms`` bound the queue for all of them alike.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.assignments import Assignment, NoCapacity
from cassiahitch.direct.placement.costs import RequestCosts
from cassiahitch.direct.placement.load import LoadTracker, prefill_s, queue_delay_s
from cassiahitch.direct.placement.plainload import PlainLoadTracker, distance_s
from cassiahitch.direct.placement.timelimits import (
    LATE_RANK,
    OWN_REGION_FRACTION,
    FirstEventEstimate,
    can_meet_objective,
    is_in_time,
    queue_rank,
    time_limit_s,
)

if TYPE_CHECKING:
    from cassiahitch.direct.placement.assignments import Candidate, PlacementRequest
    from cassiahitch.direct.state.catalogue import Engine

#: Seconds by which a replica of another region has to be faster than one of the own region.
CROSS_REGION_COST_S = 0.02
#: Maximum jitter of the cost of a replica in seconds, so that entries with the same reports choose
#: different replicas.
COST_JITTER_S = 0.02
#: Randomly drawn candidates that are compared before all others are considered.
SAMPLE_SIZE = 3
#: Shortest and longest retry time of a refused caller, in seconds.
RETRY_AFTER_RANGE_S = (0.7, 1.9)
#: Maximum delay of the retry time after the next permit of a limited replica, in seconds.
PERMIT_SPREAD_S = 1.0
#: Fraction of its remaining time up to which a caller honours the retry time.
HONOURED_FRACTION = 1 / 3
#: Seconds after a report of a full engine for which it is not queried again.
FULL_REPORT_EXPIRY_S = 0.3
#: Slots of an engine that are reserved for requests which can still meet their objective.
RESERVED_SLOTS = 1


@dataclass(slots=True)
class Placement:
    """Assigns requests to replicas by the load that this entry tracks.

    ``engines`` and ``plain`` hold the load trackers of the replicas by key, and ``costs`` what
    requests are expected to cost.
    """

    rng: random.Random
    engines: dict[str, LoadTracker] = field(default_factory=dict)
    plain: dict[str, PlainLoadTracker] = field(default_factory=dict)
    costs: RequestCosts = field(default_factory=RequestCosts)

    def engine_load(self, key: str) -> LoadTracker:
        """Return the load tracker of an engine, which is created if needed.

        :param key: key of the replica.
        :return: the load tracker.
        """
        return self.engines.setdefault(key, LoadTracker())

    def plain_load(self, key: str) -> PlainLoadTracker:
        """Return the load tracker of a plain replica, which is created if needed.

        :param key: key of the replica.
        :return: the load tracker.
        """
        return self.plain.setdefault(key, PlainLoadTracker(forgets=self.costs.learns))

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop the load of replicas that are no longer registered.

        :param keys: keys of the registered replicas.
        """
        self.engines = {key: load for key, load in self.engines.items() if key in keys}
        self.plain = {key: load for key, load in self.plain.items() if key in keys}

    def place_plain(
        self, request: PlacementRequest, candidates: tuple[Candidate, ...], now: float
    ) -> Assignment:
        """Assign a request to a replica of a plain service.

        :param request: the request.
        :param candidates: replicas to choose from, at least one.
        :param now: current time in seconds.
        :return: the assignment.
        """
        cost_s = self.costs.service_s(request.route.name, now)
        expected_s = {
            candidate: self.plain_load(candidate.replica.key).expected_s(
                cost_s, candidate.replica.slots, now
            )
            for candidate in candidates
        }
        chosen = min(
            candidates, key=lambda candidate: self.plain_cost_s(candidate, expected_s[candidate])
        )
        return Assignment(chosen, expected_s[chosen], cost_s=cost_s)

    def plain_cost_s(self, candidate: Candidate, expected_s: float) -> float:
        """Return the cost of a plain replica: the predicted time with jitter, and its distance.

        Without learned costs, the distance does not count.

        :param candidate: the replica.
        :param expected_s: expected response time in seconds.
        :return: seconds.
        """
        if not self.costs.learns:
            return expected_s * self.rng.uniform(1, 1.2)
        return expected_s + distance_s(candidate) + self.rng.uniform(0, COST_JITTER_S)

    def place_engine(
        self,
        engine: Engine,
        request: PlacementRequest,
        candidates: tuple[Candidate, ...],
        entries: int,
        now: float,
    ) -> Assignment | NoCapacity:
        """Assign a request to a model engine, or refuse it.

        :param engine: speed of the engines.
        :param request: the request.
        :param candidates: replicas to choose from, at least one.
        :param entries: number of entries that send to them.
        :param now: current time in seconds.
        :return: the assignment or the refusal.
        """
        estimates = {
            candidate: self.estimate(engine, request, candidate, entries, now)
            for candidate in candidates
        }
        local = tuple(candidate for candidate in candidates if candidate.in_own_region)
        prefers_own_region = len(local) >= SAMPLE_SIZE
        chosen = self.best_of_sample(local if prefers_own_region else candidates, estimates)
        if prefers_own_region and not is_in_time(request, estimates[chosen], OWN_REGION_FRACTION):
            chosen = self.best_of_sample(candidates, estimates)
        if not is_in_time(request, estimates[chosen]):
            chosen = min(
                candidates, key=lambda candidate: self.cost_s(candidate, estimates[candidate])
            )
        estimate = estimates[chosen]
        is_within_limit = is_in_time(request, estimate)
        starts_before_deadline = estimate.expected_s <= request.remaining_s
        if starts_before_deadline and (
            is_within_limit or estimate.requests <= engine.slots - RESERVED_SLOTS
        ):
            rank = (
                queue_rank(engine, request) if can_meet_objective(request, estimate) else LATE_RANK
            )
            near_capacity = not is_in_time(request, estimate, OWN_REGION_FRACTION)
            return Assignment(chosen, estimate.expected_s, rank, near_capacity)
        available_in_s = max(0, estimate.mean_prompt_s - time_limit_s(request))
        return NoCapacity(self.retry_after_s(request), estimate.expected_s, available_in_s)

    def is_full(
        self, engine: Engine, request: PlacementRequest, candidate: Candidate, now: float
    ) -> bool:
        """Return whether the last report shows that an engine cannot admit a request.

        The queue delay shrinks by at most the time since the report, unless callers disconnect.

        :param engine: speed of the engines.
        :param request: the request.
        :param candidate: the replica.
        :param now: current time in seconds.
        :return: whether a query of its agent is pointless.
        """
        load = self.engine_load(candidate.replica.key)
        if now - load.reported_at > FULL_REPORT_EXPIRY_S:
            return False
        estimate = self.estimate(engine, request, candidate, 1, now)
        return estimate.mean_prompt_s - (now - load.reported_at) > time_limit_s(request)

    def retry_after_s(self, request: PlacementRequest) -> float:
        """Return the time after which a refused caller may retry.

        Load pattern: callers wait no longer than a fraction of their remaining time. If they were
        given longer retry times, those with the same deadline would all retry at the same moment.

        :param request: the request.
        :return: seconds, randomly spread over callers.
        """
        shortest_s, longest_s = RETRY_AFTER_RANGE_S
        scale = min(1, HONOURED_FRACTION * max(0, request.remaining_s) / longest_s)
        return self.rng.uniform(shortest_s, longest_s) * scale

    def no_permit(self, request: PlacementRequest, wait_s: float, limited: int) -> NoCapacity:
        """Refuse a request since all replicas are limited and have no permit left.

        Load pattern: many more callers are refused than the limits allow. They return after the
        next permit is available, spread over the time that they honour.

        :param request: the request.
        :param wait_s: seconds until the next permit is available.
        :param limited: number of the limited replicas.
        :return: the refusal.
        """
        honoured_s = HONOURED_FRACTION * max(0, request.remaining_s)
        spread_s = max(0, min(PERMIT_SPREAD_S, honoured_s - wait_s))
        retry_after_s = wait_s + self.rng.uniform(0, spread_s)
        return NoCapacity(retry_after_s, math.inf, wait_s, limited)

    def best_of_sample(
        self, candidates: tuple[Candidate, ...], estimates: dict[Candidate, FirstEventEstimate]
    ) -> Candidate:
        """Return the best of a few randomly drawn candidates.

        Load pattern: entries with the same load reports would otherwise all choose one replica.

        :param candidates: replicas to draw from, at least one.
        :param estimates: estimates for all candidates.
        :return: the best of the drawn candidates.
        """
        sample = self.rng.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
        return min(sample, key=lambda candidate: self.cost_s(candidate, estimates[candidate]))

    def estimate(
        self,
        engine: Engine,
        request: PlacementRequest,
        candidate: Candidate,
        entries: int,
        now: float,
    ) -> FirstEventEstimate:
        """Predict the time to the first event of a request at an engine.

        :param engine: speed of the engines.
        :param request: the request.
        :param candidate: the replica.
        :param entries: number of entries that send to it.
        :param now: current time in seconds.
        :return: the estimate.
        """
        load = self.engine_load(candidate.replica.key)
        queue = load.estimate_queue(engine, entries, now)
        slowdown = load.current_slowdown(now)
        delay_s = queue_delay_s(engine, queue, slowdown) + load.lateness_s(now)
        return FirstEventEstimate(
            queue.requests,
            expected_s=delay_s + prefill_s(engine, request.prompt_tokens, slowdown),
            mean_prompt_s=delay_s + prefill_s(engine, engine.mean_prompt_tokens, slowdown),
        )

    def cost_s(self, candidate: Candidate, estimate: FirstEventEstimate) -> float:
        """Return the cost of a candidate: the predicted time with penalty and jitter.

        :param candidate: the replica.
        :param estimate: the estimate for it.
        :return: seconds.
        """
        cross_region_s = 0 if candidate.in_own_region else CROSS_REGION_COST_S
        return estimate.expected_s + cross_region_s + self.rng.uniform(0, COST_JITTER_S)


__all__ = (
    'Assignment',
    'Placement',
)
