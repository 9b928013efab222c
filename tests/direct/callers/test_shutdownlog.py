"""The shutdown of an entry logs what happened to each request that it had read."""

from __future__ import annotations

import asyncio
from itertools import repeat

import pytest
from direct_callers import SMALL_SITE, run, send_request, wait_until
from slow_callers import connect

from cassiahitch.direct.callers.progress import Phase
from cassiahitch.direct.callers.shutdownlog import MAX_CUT_LINES, ShutdownLog
from cassiahitch.metrics.names import CounterName
from cassiahitch.metrics.registry import Metrics
from cassiahitch.metrics.snapshots import Series
from cassiahitch.platform.requests import PlatformRequests
from cassiahitch.standins.directsite import DirectSite

CUT_MESSAGE = 'request cut by the end of the entry'
CLOSING_MESSAGE = 'entry closes its connections'
BODY = b'x' * 1000


def log_records(caplog: pytest.LogCaptureFixture, message: str) -> list[dict[str, object]]:
    return [vars(record) for record in caplog.records if record.getMessage() == message]


def only_record(log_records: list[dict[str, object]]) -> dict[str, object]:
    assert len(log_records) == 1
    return log_records[0]


def test_request_cut_at_a_replica_logs_a_warning(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        for model in site.models:
            model.pause_s = 0.3
            model.events = 100
        request_task = asyncio.create_task(send_request(site.entries[0], '/draft/1'))
        await wait_until(lambda: any(model.running for model in site.models))
        await site.entries[0].stop()
        got = await request_task
        assert not got.complete
        record = only_record(log_records(caplog, CUT_MESSAGE))
        assert (record['request'], record['phase']) == (got.attempt, Phase.replica.value)
        assert record['levelname'] == 'WARNING'
        assert record['answer_started']
        counted = site.entries[0].parts.telemetry.metrics.snapshot().counters
        assert counted[Series(CounterName.requests_cut, 'replica')] == 1
        assert 'caller left' not in caplog.text

    caplog.set_level('INFO')
    run(body, SMALL_SITE, grace_s=1)


def test_request_with_an_incomplete_body_is_logged_with_its_phase(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        caller = await connect(entry)
        await caller.send('/order/1', body=BODY)
        await wait_until(lambda: len(entry.frontend.open) == 1)
        entry.shutdown_log.closing_connections(1, 1, entry.frontend.open)
        record = only_record(log_records(caplog, CUT_MESSAGE))
        assert (record['request'], record['phase']) == (caller.got.attempt, Phase.body.value)
        await entry.stop()
        caller.writer.close()

    caplog.set_level('INFO')
    run(body, SMALL_SITE, grace_s=1)


def test_shutdown_without_cut_requests_logs_the_connections_at_the_signal(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        idle = await connect(entry)
        await wait_until(lambda: len(entry.frontend.connections) == 1)
        await entry.stop()
        record = only_record(log_records(caplog, CLOSING_MESSAGE))
        assert (record['cut'], record['connections_at_signal']) == (0, 1)
        assert not log_records(caplog, CUT_MESSAGE)
        idle.writer.close()

    caplog.set_level('INFO')
    run(body, SMALL_SITE, grace_s=1)


def test_many_cut_requests_are_counted_and_only_some_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        caller = await connect(entry)
        await caller.send('/order/1', body=BODY)
        await wait_until(lambda: len(entry.frontend.open) == 1)
        log = ShutdownLog(Metrics('entry-0'), PlatformRequests())
        log.shutdown_started(0, 1, ())
        log.closing_connections(5, 1, repeat(next(iter(entry.frontend.open)), MAX_CUT_LINES + 20))
        record = only_record(log_records(caplog, CLOSING_MESSAGE))
        assert (record['cut'], record['after_signal_s']) == (MAX_CUT_LINES + 20, 5)
        assert len(log_records(caplog, CUT_MESSAGE)) == MAX_CUT_LINES
        caller.writer.close()

    caplog.set_level('INFO')
    run(body, SMALL_SITE, grace_s=1)
