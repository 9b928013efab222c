"""Failures beside the path of a request are answered with a numbered code and leave a line."""

from __future__ import annotations

import pytest
from direct_callers import ask, run
from slow_callers import connect

from cassiahitch.codes import Code
from cassiahitch.direct.front import CallerExchange
from cassiahitch.standins.directsite import DirectSite, DirectSize

ONE = DirectSize(entries=1, models=1, plain=1)


async def fail_at_once(caller: CallerExchange) -> None:
    raise ValueError(caller.incoming.target)


async def fail_halfway(caller: CallerExchange) -> None:
    await caller.start(200, 'OK', ())
    await caller.write(b'id: 1\n\n')
    raise ValueError(caller.incoming.target)


def lines(caplog: pytest.LogCaptureFixture, message: str) -> list[dict[str, object]]:
    return [vars(one) for one in caplog.records if one.getMessage() == message]


def test_fault_inside_is_answered_and_leaves_a_line(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        serve = entry.front.serve
        entry.front.serve = fail_at_once
        caller = await connect(entry)
        await caller.send('/lookup/1')
        got = await caller.answer()
        assert (got.status, got.whole, got.code) == (500, True, Code.internal)
        line = lines(caplog, 'request failed inside').pop()
        assert (line['error'], line['request']) == ('ValueError', got.attempt)
        entry.front.serve = serve
        assert (await ask(entry, '/lookup/1')).status == 200

    run(body, ONE)


def test_fault_inside_a_stream_does_not_look_whole_and_leaves_a_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        site.entries[0].front.serve = fail_halfway
        caller = await connect(site.entries[0])
        await caller.send('/lookup/1')
        got = await caller.answer()
        assert (got.status, got.whole) == (200, False)
        found = lines(caplog, 'request failed inside')
        assert [line['error'] for line in found] == ['ValueError']

    run(body, ONE)


def test_failure_of_a_request_without_a_body_in_its_answer_is_whole() -> None:
    async def body(site: DirectSite) -> None:
        caller = await connect(site.entries[0])
        await caller.send('/elsewhere/1', method='HEAD')
        got = await caller.answer()
        assert (got.status, got.whole, got.body) == (404, True, b'')

    run(body, ONE)
