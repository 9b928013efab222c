"""Tests of the placement of requests by load.

Guards against waits beyond the objective: under overload, requests have to be refused instead of
queued until their callers disconnect.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

import pytest

from cassiahitch.direct.placement.assignments import (
    Assignment,
    Candidate,
    NoCapacity,
    PlacementRequest,
)
from cassiahitch.direct.placement.load import (
    LoadReport,
    LoadTracker,
    QueueEstimate,
    first_event_s,
    pass_duration_s,
    slot_occupancy_s,
)
from cassiahitch.direct.placement.placement import HONOURED_FRACTION, RETRY_AFTER_RANGE_S, Placement
from cassiahitch.direct.placement.timelimits import ADMISSION_FRACTION, LATE_RANK
from cassiahitch.direct.state.catalogue import Engine, RepeatPolicy, Route, ServiceShare
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint

ENGINE = Engine('m', 16, 6, 0.00673, 2.19e-5, 6.8e-9, 30_600, 6.47e-10, 964, 119)
SHARES = (ServiceShare('drafts', 1),)
ROUTE = Route('draft', 'h', '/', RepeatPolicy.stream, 6, 0.405, 1, SHARES, 2, resumable=True)
ENTRIES = 3
#: Seconds without an event after which callers cancel a stream.
CALLER_TIMEOUT_S = 2.4


def candidates(count: int) -> tuple[Candidate, ...]:
    return tuple(
        Candidate(
            Replica(f'm-{number}', 'drafts', Endpoint('10.0.0.1', 1), 'north', 16),
            in_own_region=True,
        )
        for number in range(count)
    )


def report(placement: Placement, candidate: Candidate, running: int, waiting: int = 0) -> None:
    placement.engine_load(candidate.replica.key).apply_report(LoadReport(running, waiting), 0)


def place(
    placement: Placement, request: PlacementRequest, count: int = 2
) -> Assignment | NoCapacity:
    return placement.place_engine(ENGINE, request, candidates(count), ENTRIES, 0.01)


def test_request_goes_to_the_engine_with_the_earliest_first_event() -> None:
    placement = Placement(random.Random(1))
    busy, idle = candidates(2)
    report(placement, busy, 16, 3)
    report(placement, idle, 5)
    result = place(placement, PlacementRequest(ROUTE, 0, 1000))
    assert isinstance(result, Assignment)
    assert result.candidate == idle


def test_request_that_no_engine_can_start_in_time_is_refused_with_a_retry_time() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16, 12)
    refused = place(placement, PlacementRequest(ROUTE, 0, 1000))
    assert isinstance(refused, NoCapacity)
    assert RETRY_AFTER_RANGE_S[0] <= refused.retry_after_s <= RETRY_AFTER_RANGE_S[1]


def test_refused_callers_with_little_time_left_do_not_all_retry_at_once() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16, 12)
    longest_wait_s = 3 * HONOURED_FRACTION
    times: set[float] = set()
    for _ in range(200):
        refused = place(placement, PlacementRequest(ROUTE, 0, 1000, remaining_s=3))
        assert isinstance(refused, NoCapacity)
        times.add(min(longest_wait_s, refused.retry_after_s))
    assert len(times) == 200


def test_late_request_takes_no_slot_that_others_can_use_in_time() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16, 1)
    late = PlacementRequest(ROUTE, 2, 1000)
    assert isinstance(place(placement, late), NoCapacity)
    assert isinstance(place(placement, PlacementRequest(ROUTE, 0, 1000)), Assignment)
    report(placement, candidates(2)[0], 13)
    result = place(placement, late)
    assert isinstance(result, Assignment)
    assert result.rank == LATE_RANK


def test_late_request_is_queued_behind_others_at_an_engine_that_starts_it_soon() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16)
    result = place(placement, PlacementRequest(ROUTE, 2, 1000))
    assert isinstance(result, Assignment)
    assert result.rank == LATE_RANK


def test_request_that_no_engine_starts_before_its_deadline_is_refused_at_once() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16, 6)
    slow = replace(ROUTE, objective_s=4)
    assert isinstance(place(placement, PlacementRequest(slow, 0, 1000, remaining_s=1)), Assignment)
    assert isinstance(
        place(placement, PlacementRequest(slow, 0, 1000, remaining_s=0.1)), NoCapacity
    )


def test_request_that_can_meet_its_objective_is_not_ranked_with_late_ones() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 15)
        for _ in range(20):
            placement.engine_load(candidate.replica.key).record_first_event(0, 0.2, 0)
    result = place(placement, PlacementRequest(ROUTE, 0.05, 1000))
    assert isinstance(result, Assignment)
    assert 0.7 * ROUTE.objective_s < result.expected_s + 0.05 < ROUTE.objective_s
    assert result.rank != LATE_RANK


def test_slow_engine_is_avoided() -> None:
    placement = Placement(random.Random(1))
    slow, healthy = candidates(2)
    placement.engine_load(slow.replica.key).apply_report(LoadReport(2, 0, slowdown=5), 0)
    report(placement, healthy, 9)
    result = place(placement, PlacementRequest(ROUTE, 0, 1000))
    assert isinstance(result, Assignment)
    assert result.candidate == healthy


def test_own_requests_since_a_report_are_counted() -> None:
    load = LoadTracker()
    load.apply_report(LoadReport(4, 1), 10)
    for _ in range(3):
        load.record_sent(500, 10.01)
    load.record_ended(10.02)
    assert load.estimate_queue(ENGINE, ENTRIES, 10.03) == QueueEstimate(
        7, ENGINE.mean_prompt_tokens + 1500
    )
    load.apply_report(LoadReport(6, 0), 10.06)
    assert load.estimate_queue(ENGINE, ENTRIES, 10.07) == QueueEstimate(6, 0)


def test_without_reports_other_entries_are_assumed_to_send_alike() -> None:
    load = LoadTracker()
    load.record_sent(100, 1)
    load.record_sent(100, 1)
    assert load.estimate_queue(ENGINE, ENTRIES, 1) == QueueEstimate(2 * ENTRIES, 0)


def test_outdated_report_is_ignored() -> None:
    load = LoadTracker()
    load.apply_report(LoadReport(16, 9), 0)
    assert load.estimate_queue(ENGINE, ENTRIES, 5) == QueueEstimate(0, 0)


@pytest.mark.parametrize('requests', [0, 8, 15, 16, 20])
def test_predicted_time_increases_with_the_load(requests: int) -> None:
    queue = QueueEstimate(requests, 0)
    baseline_s = first_event_s(ENGINE, queue, 1000, 1)
    assert baseline_s < first_event_s(ENGINE, QueueEstimate(requests + 1, 0), 1000, 1)
    assert baseline_s < first_event_s(ENGINE, queue, 3000, 1)
    assert baseline_s < first_event_s(ENGINE, queue, 1000, 2)


@pytest.mark.parametrize('requests', [0, 8, 15])
def test_pending_prefills_count_while_slots_are_free(requests: int) -> None:
    free = first_event_s(ENGINE, QueueEstimate(requests, 0), 1000, 1)
    assert free < first_event_s(ENGINE, QueueEstimate(requests, 900), 1000, 1)


@dataclass
class Job:
    """A request at the modelled engine; prompt and output lengths are in tokens."""

    arrived_at: float
    prompt_left: int
    output_length: int
    generated: int = 0


@dataclass
class EngineModel:
    """An engine that splits prefills into chunks between the decode steps of other requests."""

    running: list[Job] = field(default_factory=list)
    waiting: list[Job] = field(default_factory=list)
    step_ends_at: float = 0

    def step(self, now: float, first_events_s: list[float]) -> None:
        while self.waiting and len(self.running) < ENGINE.slots:
            self.running.append(self.waiting.pop(0))
        prefilled = 0
        for job in self.running:
            chunk = min(job.prompt_left, 2048 - prefilled)
            prefilled += chunk
            job.prompt_left -= chunk
        step_s = pass_duration_s(ENGINE, len(self.running), 1) / ENGINE.pass_steps
        self.step_ends_at = now + max(step_s, prefilled / ENGINE.prefill_tokens_per_s)
        for job in self.running:
            if not job.prompt_left:
                job.generated += 1
            if job.generated == ENGINE.pass_steps:
                first_events_s.append(self.step_ends_at - job.arrived_at)
        self.running = [job for job in self.running if job.generated < job.output_length]


@dataclass(frozen=True)
class ReplayResult:
    """Sorted times to the first event in seconds, and the number of refusals."""

    first_events_s: list[float]
    refused: int

    @property
    def within_objective(self) -> int:
        return sum(time_s <= ROUTE.objective_s for time_s in self.first_events_s)

    def percentile(self, fraction: float) -> float:
        return self.first_events_s[int(len(self.first_events_s) * fraction)]


def replay(rate_per_s: float, seconds: float, choice: str) -> ReplayResult:
    """Replay a load on six engines that are chosen by placement or at random."""
    rng = random.Random(7)
    engines = [EngineModel() for _ in range(6)]
    placement = Placement(rng)
    engine_candidates = candidates(6)
    first_events_s: list[float] = []
    refused = 0
    events: list[tuple[float, int]] = [(0, number) for number in range(6)]
    arrived_at: float = 0
    while arrived_at < seconds:
        arrived_at += rng.expovariate(rate_per_s)
        heapq.heappush(events, (arrived_at, -1))
    while events:
        now, number = heapq.heappop(events)
        if number >= 0:
            engines[number].step(now, first_events_s)
            if now < seconds + 5:
                heapq.heappush(events, (engines[number].step_ends_at, number))
            continue
        for engine, candidate in zip(engines, engine_candidates, strict=True):
            in_prefill = sum(job.prompt_left > 0 for job in engine.running)
            load_report = LoadReport(
                len(engine.running) - in_prefill, len(engine.waiting) + in_prefill
            )
            placement.engine_load(candidate.replica.key).apply_report(load_report, now)
        request = PlacementRequest(ROUTE, 0, max(50, int(rng.expovariate(1 / 964))))
        result = placement.place_engine(ENGINE, request, engine_candidates, ENTRIES, now)
        if choice == 'random':
            target = rng.randrange(6)
        elif isinstance(result, Assignment):
            target = engine_candidates.index(result.candidate)
        else:
            refused += 1
            continue
        output_length = max(6, int(rng.expovariate(1 / 119)))
        engines[target].waiting.append(Job(now, request.prompt_tokens, output_length))
    return ReplayResult(sorted(first_events_s), refused)


def test_overload_leads_to_refusals_instead_of_waits_beyond_the_timeout_of_callers() -> None:
    result = replay(110, 20, 'placement')
    at_random = replay(110, 20, 'random')
    assert result.refused > 0
    assert result.percentile(0.99) <= CALLER_TIMEOUT_S < at_random.percentile(0.99)
    assert result.within_objective >= 2 * at_random.within_objective


def test_below_capacity_nearly_all_start_in_time_and_none_is_refused() -> None:
    result = replay(60, 20, 'placement')
    assert result.refused == 0
    assert result.percentile(0.95) <= ROUTE.objective_s


def test_slot_occupancy_scales_with_the_slowdown() -> None:
    assert slot_occupancy_s(ENGINE, 1) == pytest.approx(1.04, rel=0.2)
    assert slot_occupancy_s(ENGINE, 2) == pytest.approx(2 * slot_occupancy_s(ENGINE, 1))


def candidates_of_two_regions(own: int, other: int) -> tuple[Candidate, ...]:
    both = candidates(own + other)
    return tuple(
        replace(candidate, in_own_region=index < own) for index, candidate in enumerate(both)
    )


def test_only_replicas_of_the_own_region_are_used_while_they_are_free() -> None:
    placement = Placement(random.Random(1))
    both = candidates_of_two_regions(4, 4)
    for candidate in both:
        report(placement, candidate, running=4 if candidate.in_own_region else 0)
    request = PlacementRequest(ROUTE, 0, 964)
    results = [placement.place_engine(ENGINE, request, both, ENTRIES, 0) for _ in range(50)]
    assert all(
        isinstance(result, Assignment) and result.candidate.in_own_region for result in results
    )
    assert not any(isinstance(result, Assignment) and result.near_capacity for result in results)


def test_replicas_of_other_regions_are_used_once_those_of_the_own_region_are_full() -> None:
    placement = Placement(random.Random(1))
    both = candidates_of_two_regions(4, 4)
    for candidate in both:
        report(
            placement,
            candidate,
            running=16 if candidate.in_own_region else 0,
            waiting=6 if candidate.in_own_region else 0,
        )
    request = PlacementRequest(ROUTE, 0, 964)
    results = [placement.place_engine(ENGINE, request, both, ENTRIES, 0) for _ in range(50)]
    assert not any(
        isinstance(result, Assignment) and result.candidate.in_own_region for result in results
    )


def test_full_engine_is_queried_again_only_when_its_queue_may_have_drained() -> None:
    placement = Placement(random.Random(1))
    full = candidates(1)[0]
    request = PlacementRequest(ROUTE, 0, 964)
    assert not placement.is_full(ENGINE, request, full, 0)
    report(placement, full, running=16, waiting=6)
    estimate = placement.estimate(ENGINE, request, full, ENTRIES, 0)
    limit_s = ADMISSION_FRACTION * ROUTE.objective_s
    assert placement.is_full(ENGINE, request, full, estimate.mean_prompt_s - limit_s - 0.01)
    assert not placement.is_full(ENGINE, request, full, estimate.mean_prompt_s - limit_s + 0.01)
