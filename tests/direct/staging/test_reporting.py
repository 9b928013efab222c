"""Tests of the engine load that an agent sends to entries."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from modelled_engine import ENGINE
from virtual_loop import virtual_time

from cassiahitch.direct.staging.announcedrequests import ARRIVAL_S
from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.enginestate import EngineReport
from cassiahitch.direct.staging.reporting import (
    PENDING_EXPIRY_S,
    REFUSED_WAITING,
    SUBSCRIPTION_S,
    LoadReporter,
)
from cassiahitch.direct.state.ratelimits import LimitObservation
from cassiahitch.direct.statelog import StateLog
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import (
    EngineLoad,
    LimitNotice,
    LimitRecord,
    PlaceQuery,
    PlaceReturn,
    RequestCost,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from cassiahitch.wire.datagrammessages import DatagramMessage

FIRST = Endpoint('10.1.0.1', 7700)
SECOND = Endpoint('10.2.0.1', 7700)


@dataclass
class RecordingSocket:
    """Records each message with its receiver."""

    sent: list[tuple[Endpoint, EngineLoad]] = field(default_factory=list)

    def send(self, message: DatagramMessage, receiver: Endpoint) -> None:
        assert isinstance(message, EngineLoad)
        self.sent.append((receiver, message))


def make_report(running: int, *, version: int = 1, loading: bool = False) -> EngineReport:
    weights = (('m1', version),)
    return EngineReport(weights, loading=loading, running=running, born_ms=1)


def run_in_virtual_time(body: Callable[[LoadReporter, RecordingSocket], Awaitable[None]]) -> None:
    async def run_body() -> None:
        recorder = RecordingSocket()
        updater: Any = SimpleNamespace(
            target_weights=lambda: WeightsId(1, 'm1'), own_engine=lambda: ENGINE
        )
        engine: Any = None
        orders = SimpleNamespace(is_withheld=lambda model, report: False)
        loader: Any = SimpleNamespace(orders=orders)
        reporter = LoadReporter(engine, updater, loader, StateLog(), 1, random.Random(1))
        socket: Any = recorder
        reporter.socket = socket
        await body(reporter, recorder)

    with virtual_time(settle_s=0) as runner:
        runner.run(run_body())


def now() -> float:
    return asyncio.get_running_loop().time()


def test_reply_counts_the_pending_requests_of_other_queries() -> None:
    async def body(reporter: LoadReporter, recorder: RecordingSocket) -> None:
        reporter.apply_report(make_report(4), now())
        reporter.receive(PlaceQuery(1, 500), FIRST)
        reporter.receive(PlaceQuery(1, 500), SECOND)
        reporter.receive(PlaceQuery(2, 500), SECOND)
        assert [load.waiting for _, load in recorder.sent] == [0, 1, 2]
        assert {load.running for _, load in recorder.sent} == {4}
        assert [load.number for _, load in recorder.sent] == [1, 1, 2]

    run_in_virtual_time(body)


def test_request_that_is_released_or_in_the_report_is_no_longer_pending() -> None:
    async def body(reporter: LoadReporter, recorder: RecordingSocket) -> None:
        reporter.apply_report(make_report(4), now())
        reporter.receive(PlaceQuery(1, 500), FIRST)
        reporter.receive(PlaceReturn(1), FIRST)
        reporter.receive(PlaceReturn(9), FIRST)
        reporter.receive(PlaceQuery(2, 500), FIRST)
        await asyncio.sleep(PENDING_EXPIRY_S)
        reporter.receive(PlaceQuery(3, 500), FIRST)
        assert [load.waiting for _, load in recorder.sent] == [0, 0, 0]

    run_in_virtual_time(body)


def test_reply_to_a_query_with_a_cost_holds_the_work_of_the_requests_of_all_entries() -> None:
    async def body(reporter: LoadReporter, recorder: RecordingSocket) -> None:
        costs = (RequestCost(120),)
        reporter.apply_report(make_report(0), now())
        for number in range(4):
            reporter.receive(PlaceQuery(number, 500, costs=costs), FIRST)
        reporter.receive(PlaceReturn(3), FIRST)
        await asyncio.sleep(2 * ARRIVAL_S)
        reporter.apply_report(make_report(3), now())
        recorder.sent.clear()
        reporter.receive(PlaceQuery(1, 700, costs=costs), SECOND)
        reporter.receive(PlaceQuery(2, 700), SECOND)
        reporter.receive(PlaceQuery(3, 700, costs=costs), SECOND)
        replies = [load.work for _, load in recorder.sent]
        assert [bool(work) for work in replies] == [True, False, True]
        assert replies[0][0].remaining_tokens > 100
        assert replies[2][0].prompt_tokens > replies[0][0].prompt_tokens

    run_in_virtual_time(body)


def test_entries_that_sent_queries_are_sent_changes_of_weights_at_once() -> None:
    async def body(reporter: LoadReporter, recorder: RecordingSocket) -> None:
        reporter.apply_report(make_report(4), now())
        reporter.receive(PlaceQuery(1, 500), FIRST)
        await asyncio.sleep(SUBSCRIPTION_S / 2)
        reporter.receive(PlaceQuery(1, 500), SECOND)
        recorder.sent.clear()
        reporter.apply_report(make_report(5), now())
        assert not recorder.sent
        reporter.apply_report(make_report(5, loading=True), now())
        assert {entry for entry, load in recorder.sent if load.loading} == {FIRST, SECOND}
        await asyncio.sleep(SUBSCRIPTION_S / 2)
        recorder.sent.clear()
        reporter.apply_report(make_report(0, version=2), now())
        assert [(entry, load.version, load.number) for entry, load in recorder.sent] == [
            (SECOND, 2, 0)
        ]

    run_in_virtual_time(body)


def test_agent_that_does_not_reach_its_engine_does_not_reply() -> None:
    async def body(reporter: LoadReporter, recorder: RecordingSocket) -> None:
        reporter.receive(PlaceQuery(1, 500), FIRST)
        assert not recorder.sent

    run_in_virtual_time(body)


def limit_records(per_s: float) -> tuple[LimitRecord, ...]:
    return (LimitObservation(per_s, now(), now()).record(now(), born_ms=1),)


def test_query_with_a_limit_is_refused_without_reserving_a_slot() -> None:
    async def body(reporter: LoadReporter, recorder: RecordingSocket) -> None:
        reporter.rate_limit.apply_report(make_report(4), now(), now())
        reporter.apply_report(make_report(4), now())
        reporter.receive(PlaceQuery(1, 500, limit_records(2)), FIRST)
        await asyncio.sleep(0.5)
        reporter.receive(PlaceQuery(2, 500), FIRST)
        reporter.receive(PlaceQuery(3, 500), SECOND)
        replies = [load for _, load in recorder.sent if load.number]
        assert [bool(load.refusals) for load in replies] == [True, False, True]
        # Entries of versions without permits consider the engine full.
        assert [load.waiting for load in replies] == [REFUSED_WAITING, 0, REFUSED_WAITING]
        assert replies[2].refusals[0].available_ms == 500
        assert len(reporter.pending.since) == 1

    run_in_virtual_time(body)


def test_limit_that_an_entry_observed_is_sent_to_the_other_entries_at_once() -> None:
    async def body(reporter: LoadReporter, recorder: RecordingSocket) -> None:
        reporter.rate_limit.apply_report(make_report(4), now(), now())
        reporter.apply_report(make_report(4), now())
        reporter.receive(PlaceQuery(1, 500), FIRST)
        recorder.sent.clear()
        reporter.receive(LimitNotice(limit_records(2.5)), SECOND)
        assert [
            (entry, load.number, load.limits[0].milli_per_s) for entry, load in recorder.sent
        ] == [(FIRST, 0, 2500)]

    run_in_virtual_time(body)
