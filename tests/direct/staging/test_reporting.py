"""Tests of what an agent tells entries of its engine."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from virtual_loop import virtual_time

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.enginestate import EngineReport
from cassiahitch.direct.staging.reporting import PENDING_EXPIRY_S, SUBSCRIPTION_S, LoadReporter
from cassiahitch.direct.telemetry import StateLog
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.beats import EngineLoad, PlaceQuery, PlaceReturn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from cassiahitch.wire.beats import Beat

FIRST = Endpoint('10.1.0.1', 7700)
SECOND = Endpoint('10.2.0.1', 7700)


@dataclass
class Sink:
    """Keeps what is sent to whom."""

    sent: list[tuple[Endpoint, EngineLoad]] = field(default_factory=list)

    def send(self, message: Beat, receiver: Endpoint) -> None:
        assert isinstance(message, EngineLoad)
        self.sent.append((receiver, message))


def make_report(running: int, *, version: int = 1, loading: bool = False) -> EngineReport:
    weights = (('m1', version),)
    return EngineReport(weights, loading=loading, running=running, born_ms=1)


def play(body: Callable[[LoadReporter, Sink], Awaitable[None]]) -> None:
    async def whole() -> None:
        sink = Sink()
        updater: Any = SimpleNamespace(target_weights=lambda: WeightsId(1, 'm1'))
        nothing: Any = None
        reporter = LoadReporter(nothing, updater, nothing, StateLog(), 1, random.Random(1))
        socket: Any = sink
        reporter.socket = socket
        await body(reporter, sink)

    with virtual_time(settle_s=0) as runner:
        runner.run(whole())


def now() -> float:
    return asyncio.get_running_loop().time()


def test_answer_counts_the_requests_that_other_entries_have_asked_for() -> None:
    async def body(reporter: LoadReporter, sink: Sink) -> None:
        reporter.apply_report(make_report(4), now())
        reporter.receive(PlaceQuery(1, 500), FIRST)
        reporter.receive(PlaceQuery(1, 500), SECOND)
        reporter.receive(PlaceQuery(2, 500), SECOND)
        assert [load.waiting for _, load in sink.sent] == [0, 1, 2]
        assert {load.running for _, load in sink.sent} == {4}
        assert [load.number for _, load in sink.sent] == [1, 1, 2]

    play(body)


def test_request_that_goes_elsewhere_or_is_in_the_report_counts_no_longer() -> None:
    async def body(reporter: LoadReporter, sink: Sink) -> None:
        reporter.apply_report(make_report(4), now())
        reporter.receive(PlaceQuery(1, 500), FIRST)
        reporter.receive(PlaceReturn(1), FIRST)
        reporter.receive(PlaceReturn(9), FIRST)
        reporter.receive(PlaceQuery(2, 500), FIRST)
        await asyncio.sleep(PENDING_EXPIRY_S)
        reporter.receive(PlaceQuery(3, 500), FIRST)
        assert [load.waiting for _, load in sink.sent] == [0, 0, 0]

    play(body)


def test_entries_that_have_asked_are_told_at_once_of_other_weights() -> None:
    async def body(reporter: LoadReporter, sink: Sink) -> None:
        reporter.apply_report(make_report(4), now())
        reporter.receive(PlaceQuery(1, 500), FIRST)
        await asyncio.sleep(SUBSCRIPTION_S / 2)
        reporter.receive(PlaceQuery(1, 500), SECOND)
        sink.sent.clear()
        reporter.apply_report(make_report(5), now())
        assert not sink.sent
        reporter.apply_report(make_report(5, loading=True), now())
        assert {entry for entry, load in sink.sent if load.loading} == {FIRST, SECOND}
        await asyncio.sleep(SUBSCRIPTION_S / 2)
        sink.sent.clear()
        reporter.apply_report(make_report(0, version=2), now())
        assert [(entry, load.version, load.number) for entry, load in sink.sent] == [(SECOND, 2, 0)]

    play(body)


def test_agent_that_does_not_reach_its_engine_does_not_answer() -> None:
    async def body(reporter: LoadReporter, sink: Sink) -> None:
        reporter.receive(PlaceQuery(1, 500), FIRST)
        assert not sink.sent

    play(body)
