"""Tests of placing requests; each replays the load that a decision answers."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

import pytest

from cassiahitch.direct.placement.load import (
    LoadReport,
    LoadTracker,
    QueueEstimate,
    first_event_s,
    pass_duration_s,
    slot_occupancy_s,
)
from cassiahitch.direct.placement.placement import (
    ADMISSION_FRACTION,
    HONOURED_FRACTION,
    LATE_RANK,
    RETRY_AFTER_RANGE_S,
    Assignment,
    Candidate,
    NoCapacity,
    Placement,
    PlacementRequest,
)
from cassiahitch.direct.state.catalogue import Engine, Repeat, Route, ServiceShare
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint

ENGINE = Engine('m', 16, 6, 0.00673, 2.19e-5, 6.8e-9, 30_600, 6.47e-10, 964, 119)
SHARES = (ServiceShare('drafts', 1),)
ROUTE = Route('draft', 'h', '/', Repeat.stream, 6, 0.405, 1, SHARES, 2, resumable=True)
ENTRIES = 3
#: Seconds without an event after which callers leave a stream.
PATIENCE_S = 2.4


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
    placement: Placement, demand: PlacementRequest, count: int = 2
) -> Assignment | NoCapacity:
    return placement.place_engine(ENGINE, demand, candidates(count), ENTRIES, 0.01)


def test_request_goes_where_the_first_event_comes_soonest() -> None:
    placement = Placement(random.Random(1))
    busy, idle = candidates(2)
    report(placement, busy, 16, 3)
    report(placement, idle, 5)
    placed = place(placement, PlacementRequest(ROUTE, 0, 1000))
    assert isinstance(placed, Assignment)
    assert placed.candidate == idle


def test_request_that_no_engine_can_begin_in_time_is_refused_with_a_time_to_return() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16, 12)
    refused = place(placement, PlacementRequest(ROUTE, 0, 1000))
    assert isinstance(refused, NoCapacity)
    assert RETRY_AFTER_RANGE_S[0] <= refused.retry_after_s <= RETRY_AFTER_RANGE_S[1]


def test_refused_callers_with_little_time_left_do_not_come_back_all_at_once() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16, 12)
    heeded_s = 3 * HONOURED_FRACTION
    times: set[float] = set()
    for _ in range(200):
        refused = place(placement, PlacementRequest(ROUTE, 0, 1000, remaining_s=3))
        assert isinstance(refused, NoCapacity)
        times.add(min(heeded_s, refused.retry_after_s))
    assert len(times) == 200


def test_request_whose_objective_has_passed_takes_no_place_that_others_can_use_in_time() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16, 1)
    late = PlacementRequest(ROUTE, 2, 1000)
    assert isinstance(place(placement, late), NoCapacity)
    assert isinstance(place(placement, PlacementRequest(ROUTE, 0, 1000)), Assignment)
    report(placement, candidates(2)[0], 13)
    placed = place(placement, late)
    assert isinstance(placed, Assignment)
    assert placed.rank == LATE_RANK


def test_request_whose_objective_has_passed_gets_behind_others_where_it_begins_soon() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16)
    placed = place(placement, PlacementRequest(ROUTE, 2, 1000))
    assert isinstance(placed, Assignment)
    assert placed.rank == LATE_RANK


def test_request_that_no_engine_begins_before_its_deadline_is_refused_at_once() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 16, 6)
    slow = replace(ROUTE, objective_s=4)
    assert isinstance(place(placement, PlacementRequest(slow, 0, 1000, remaining_s=1)), Assignment)
    assert isinstance(
        place(placement, PlacementRequest(slow, 0, 1000, remaining_s=0.1)), NoCapacity
    )


def test_request_that_can_still_be_in_time_is_not_put_behind_late_ones() -> None:
    placement = Placement(random.Random(1))
    for candidate in candidates(2):
        report(placement, candidate, 15)
        for _ in range(20):
            placement.engine_load(candidate.replica.key).record_first_event(0, 0.2, 0)
    placed = place(placement, PlacementRequest(ROUTE, 0.05, 1000))
    assert isinstance(placed, Assignment)
    assert 0.7 * ROUTE.objective_s < placed.expected_s + 0.05 < ROUTE.objective_s
    assert placed.rank != LATE_RANK


def test_slow_engine_is_avoided() -> None:
    placement = Placement(random.Random(1))
    slow, sound = candidates(2)
    placement.engine_load(slow.replica.key).apply_report(LoadReport(2, 0, slowdown=5), 0)
    report(placement, sound, 9)
    placed = place(placement, PlacementRequest(ROUTE, 0, 1000))
    assert isinstance(placed, Assignment)
    assert placed.candidate == sound


def test_own_sends_since_a_report_count() -> None:
    load = LoadTracker()
    load.apply_report(LoadReport(4, 1), 10)
    for _ in range(3):
        load.record_sent(500, 10.01)
    load.record_ended(10.02)
    assert load.queue(ENGINE, ENTRIES, 10.03) == QueueEstimate(7, ENGINE.mean_prompt_tokens + 1500)
    load.apply_report(LoadReport(6, 0), 10.06)
    assert load.queue(ENGINE, ENTRIES, 10.07) == QueueEstimate(6, 0)


def test_without_reports_other_entries_are_taken_to_send_as_much() -> None:
    load = LoadTracker()
    load.record_sent(100, 1)
    load.record_sent(100, 1)
    assert load.queue(ENGINE, ENTRIES, 1) == QueueEstimate(2 * ENTRIES, 0)


def test_old_report_no_longer_tells_the_load() -> None:
    load = LoadTracker()
    load.apply_report(LoadReport(16, 9), 0)
    assert load.queue(ENGINE, ENTRIES, 5) == QueueEstimate(0, 0)


@pytest.mark.parametrize('requests', [0, 8, 15, 16, 20])
def test_prediction_grows_with_the_load(requests: int) -> None:
    queue = QueueEstimate(requests, 0)
    now = first_event_s(ENGINE, queue, 1000, 1)
    assert now < first_event_s(ENGINE, QueueEstimate(requests + 1, 0), 1000, 1)
    assert now < first_event_s(ENGINE, queue, 3000, 1)
    assert now < first_event_s(ENGINE, queue, 1000, 2)


@pytest.mark.parametrize('requests', [0, 8, 15])
def test_prompts_that_wait_to_be_read_count_while_places_are_free(requests: int) -> None:
    free = first_event_s(ENGINE, QueueEstimate(requests, 0), 1000, 1)
    assert free < first_event_s(ENGINE, QueueEstimate(requests, 900), 1000, 1)


@dataclass
class Job:
    arrived: float
    unread: int
    unwritten: int
    written: int = 0


@dataclass
class EngineModel:
    """An engine that reads prompts in pieces between the token steps of its other requests."""

    running: list[Job] = field(default_factory=list)
    waiting: list[Job] = field(default_factory=list)
    free_at: float = 0

    def step(self, now: float, started: list[float]) -> None:
        while self.waiting and len(self.running) < ENGINE.slots:
            self.running.append(self.waiting.pop(0))
        read = 0
        for job in self.running:
            piece = min(job.unread, 2048 - read)
            read += piece
            job.unread -= piece
        step_s = pass_duration_s(ENGINE, len(self.running), 1) / ENGINE.pass_steps
        self.free_at = now + max(step_s, read / ENGINE.prefill_tokens_per_s)
        for job in self.running:
            if not job.unread:
                job.written += 1
            if job.written == ENGINE.pass_steps:
                started.append(self.free_at - job.arrived)
        self.running = [job for job in self.running if job.written < job.unwritten]


@dataclass(frozen=True)
class Replayed:
    """Times to the first event in seconds, in order, and the number of refusals."""

    started: list[float]
    refused: int

    @property
    def in_time(self) -> int:
        return sum(one <= ROUTE.objective_s for one in self.started)

    def percentile(self, part: float) -> float:
        return self.started[int(len(self.started) * part)]


def replay(rate_per_s: float, seconds: float, choose: str) -> Replayed:
    """Replay a load on six engines."""
    rng = random.Random(7)
    engines = [EngineModel() for _ in range(6)]
    placement = Placement(rng)
    options = candidates(6)
    started: list[float] = []
    refused = 0
    events: list[tuple[float, int]] = [(0, number) for number in range(6)]
    arrivals: float = 0
    while arrivals < seconds:
        arrivals += rng.expovariate(rate_per_s)
        heapq.heappush(events, (arrivals, -1))
    while events:
        now, number = heapq.heappop(events)
        if number >= 0:
            engines[number].step(now, started)
            if now < seconds + 5:
                heapq.heappush(events, (engines[number].free_at, number))
            continue
        for engine, option in zip(engines, options, strict=True):
            reading = sum(job.unread > 0 for job in engine.running)
            seen = LoadReport(len(engine.running) - reading, len(engine.waiting) + reading)
            placement.engine_load(option.replica.key).apply_report(seen, now)
        demand = PlacementRequest(ROUTE, 0, max(50, int(rng.expovariate(1 / 964))))
        placed = placement.place_engine(ENGINE, demand, options, ENTRIES, now)
        if choose == 'random':
            target = rng.randrange(6)
        elif isinstance(placed, Assignment):
            target = options.index(placed.candidate)
        else:
            refused += 1
            continue
        answer = max(6, int(rng.expovariate(1 / 119)))
        engines[target].waiting.append(Job(now, demand.prompt_tokens, answer))
    return Replayed(sorted(started), refused)


def test_overload_ends_in_refusals_and_not_in_waiting_past_the_patience_of_callers() -> None:
    placed = replay(110, 20, 'placed')
    by_chance = replay(110, 20, 'random')
    assert placed.refused > 0
    assert placed.percentile(0.99) <= PATIENCE_S < by_chance.percentile(0.99)
    assert placed.in_time >= 2 * by_chance.in_time


def test_below_capacity_nearly_all_begin_in_time_and_none_is_refused() -> None:
    placed = replay(60, 20, 'placed')
    assert placed.refused == 0
    assert placed.percentile(0.95) <= ROUTE.objective_s


def test_service_time_follows_the_engine() -> None:
    assert slot_occupancy_s(ENGINE, 1) == pytest.approx(1.04, rel=0.2)
    assert slot_occupancy_s(ENGINE, 2) == pytest.approx(2 * slot_occupancy_s(ENGINE, 1))


def regions(near: int, far: int) -> tuple[Candidate, ...]:
    found = candidates(near + far)
    return tuple(replace(one, in_own_region=index < near) for index, one in enumerate(found))


def test_replicas_of_other_regions_are_left_to_their_own_callers_while_near_ones_are_free() -> None:
    placement = Placement(random.Random(1))
    both = regions(4, 4)
    for one in both:
        report(placement, one, running=4 if one.in_own_region else 0)
    demand = PlacementRequest(ROUTE, 0, 964)
    placed = [placement.place_engine(ENGINE, demand, both, ENTRIES, 0) for _ in range(50)]
    assert all(isinstance(one, Assignment) and one.candidate.in_own_region for one in placed)
    assert not any(isinstance(one, Assignment) and one.near_capacity for one in placed)


def test_replicas_of_other_regions_are_used_once_near_ones_are_crowded() -> None:
    placement = Placement(random.Random(1))
    both = regions(4, 4)
    for one in both:
        report(
            placement,
            one,
            running=16 if one.in_own_region else 0,
            waiting=6 if one.in_own_region else 0,
        )
    demand = PlacementRequest(ROUTE, 0, 964)
    placed = [placement.place_engine(ENGINE, demand, both, ENTRIES, 0) for _ in range(50)]
    assert not any(isinstance(one, Assignment) and one.candidate.in_own_region for one in placed)


def test_engine_that_was_full_is_asked_again_only_when_its_queue_may_have_ended() -> None:
    placement = Placement(random.Random(1))
    full = candidates(1)[0]
    demand = PlacementRequest(ROUTE, 0, 964)
    assert not placement.is_full(ENGINE, demand, full, 0)
    report(placement, full, running=16, waiting=6)
    estimate = placement.estimate(ENGINE, demand, full, ENTRIES, 0)
    room_s = ADMISSION_FRACTION * ROUTE.objective_s
    assert placement.is_full(ENGINE, demand, full, estimate.usual_s - room_s - 0.01)
    assert not placement.is_full(ENGINE, demand, full, estimate.usual_s - room_s + 0.01)
