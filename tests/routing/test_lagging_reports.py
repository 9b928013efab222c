"""Tests of several entries that select replicas by outdated load reports."""

from __future__ import annotations

from collections import Counter, deque
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahitch.routing.api import Choice, LoadReport, Outcome, Replica, RouteQuery
from cassiahitch.routing.router import Router

HOSTS = tuple(f'host-{index}' for index in range(6))
CAPACITY = 8
STEP_S = 0.02
SERVICE_S = 0.5
#: Mean requests per step, for half of the replicas' capacity.
ARRIVALS = 6 * CAPACITY * STEP_S / SERVICE_S / 2


#: Time and load by host.
Reports = tuple[float, Counter[str]]


class Fleet:
    """Simulates entries with their own routers and shared replicas in time steps."""

    def __init__(self, entries: int, seed: int, lag_s: float) -> None:
        self.random = Random(seed)
        self.lag_s = lag_s
        self.routers = [
            Router('lagos', 'lagos-1', Random(seed + index)) for index in range(entries)
        ]
        self.running: deque[tuple[float, Router, str]] = deque()
        self.load = Counter(dict.fromkeys(HOSTS, 0))
        self.reports: deque[Reports] = deque()
        self.max_load = 0
        for router in self.routers:
            for host in HOSTS:
                router.update_replica(Replica(host, 1, 'lagos', 'lagos-1'), -60)
                router.apply_report(host, LoadReport(0, 0, CAPACITY, -60), -60)

    def step(self, now: float) -> None:
        while self.running and self.running[0][0] <= now:
            _, router, host = self.running.popleft()
            router.record_outcome(host, Outcome.success, SERVICE_S, now)
            self.load[host] -= 1
        self.reports.append((now, self.load.copy()))
        if now - self.reports[0][0] >= self.lag_s:
            self.deliver(now, *self.reports.popleft())
        fixed = int(ARRIVALS)
        for _ in range(fixed + (self.random.random() < ARRIVALS - fixed)):
            self.send(now)

    def deliver(self, now: float, measured_at: float, load: Counter[str]) -> None:
        for router in self.routers:
            for host in HOSTS:
                router.apply_report(host, LoadReport(load[host], 0, CAPACITY, measured_at), now)

    def send(self, now: float) -> None:
        router = self.random.choice(self.routers)
        choice = router.choose(RouteQuery('drafts'), now)
        assert isinstance(choice, Choice)
        router.record_dispatch(choice.host)
        self.running.append((now + SERVICE_S, router, choice.host))
        self.load[choice.host] += 1
        if now > 1:
            self.max_load = max(self.max_load, self.load[choice.host])


@given(entries=st.integers(1, 6), seed=st.integers(0, 10_000), lag_s=st.floats(0, 2))
@settings(max_examples=25)
def test_lagging_reports_do_not_make_entries_herd(entries: int, seed: int, lag_s: float) -> None:
    fleet = Fleet(entries, seed, lag_s)
    for step in range(300):
        fleet.step(step * STEP_S)
    assert fleet.max_load <= 2 * CAPACITY
