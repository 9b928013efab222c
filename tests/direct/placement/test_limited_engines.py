"""Tests of engines that name a rate limit, under load and in large fleets, in virtual time.

Guards against limits that are exceeded or left unused, limited engines that attract requests by
their short queues, and a cost per request that grows with the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from limited_replicas import STABLE_S, allowed_in_window, most_in_window
from modelled_engine import ROUTE, requests_begun_per_s
from overload_model import OverloadResult, OverloadSimulation
from virtual_loop import START_S

from cassiahitch.direct.requests.runner import QUEUE_WAIT_FRACTION

LIMIT_PER_S = 2.0
DURATION_S = 10.0
#: Fraction of requests that may be late while there is capacity for all of them.
MAX_LATE_FRACTION = 0.05
#: Time of a query and its reply, in seconds.
ROUND_TRIP_S = 0.01
#: Fraction of the limits that has to be used while more requests arrive.
USED_FRACTION = 0.75


@dataclass(repr=False)
class LimitedRun:
    """A simulation in which some engines name a limit from their first response on."""

    simulation: OverloadSimulation
    result: OverloadResult

    @property
    def most_in_window(self) -> int:
        """The largest number of requests in a window at a limited engine."""
        return max(
            most_in_window(self.simulation.arrivals.get(number, []), START_S + STABLE_S)
            for number in self.simulation.limits_per_s
        )

    @property
    def used_fraction(self) -> float:
        """The fraction of all limits that was used once they applied."""
        since, until = START_S + STABLE_S, START_S + DURATION_S
        used = sum(
            since <= at < until
            for number in self.simulation.limits_per_s
            for at in self.simulation.arrivals.get(number, [])
        )
        return used / (sum(self.simulation.limits_per_s.values()) * (until - since))


def simulate(load: float, limited: int, engines: int, entries: int, regions: int = 1) -> LimitedRun:
    limits = dict.fromkeys(range(limited), LIMIT_PER_S)
    simulation = OverloadSimulation(
        load, 1, DURATION_S, engines=engines, entries=entries, regions=regions, limits_per_s=limits
    )
    return LimitedRun(simulation, simulation.simulate())


def test_limited_engine_does_not_attract_requests_while_others_are_free() -> None:
    limited = simulate(0.5, 1, 4, 9)
    assert limited.most_in_window <= allowed_in_window(LIMIT_PER_S)
    # The other three engines have the capacity for all requests.
    late = 1 - limited.result.within_objective
    assert late <= MAX_LATE_FRACTION


@pytest.mark.parametrize(('engines', 'entries', 'regions'), [(4, 9, 1), (60, 99, 5)])
def test_limits_are_kept_and_used_under_overload(engines: int, entries: int, regions: int) -> None:
    limited = simulate(1.2, engines // 2, engines, entries, regions)
    assert limited.most_in_window <= allowed_in_window(LIMIT_PER_S)
    assert limited.used_fraction >= USED_FRACTION


def test_requests_are_refused_at_once_if_all_engines_are_limited() -> None:
    load = 4 * LIMIT_PER_S / requests_begun_per_s()
    limited = simulate(load, 4, 4, 9)
    assert limited.most_in_window <= allowed_in_window(LIMIT_PER_S)
    assert limited.used_fraction >= USED_FRACTION
    longest_wait_s = ROUTE.objective_s * QUEUE_WAIT_FRACTION + ROUND_TRIP_S
    assert max(limited.simulation.refusal_delays_s) <= longest_wait_s
    started = [request for request in limited.result.requests if request.served]
    assert all(request.attempt_s <= ROUTE.objective_s for request in started)
