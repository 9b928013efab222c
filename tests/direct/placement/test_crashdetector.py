"""Tests of the requests that are tracked for the crash of a backend server."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest import mock

import pytest
from judged_calls import make_call, make_engine

from cassiahitch.direct.placement.crashdetector import CrashDetector


def test_bodies_of_requests_that_have_ended_are_not_kept() -> None:
    async def body() -> None:
        detector = CrashDetector(mock.Mock(), mock.Mock())
        engine = make_engine('r1')
        call = make_call('a', 'x')
        call.request = replace(call.request, headers=(('name', 'text'),), body=b'content')
        with detector.track(call, engine):
            assert detector.in_flight[engine.key][0].call is call
            call.has_begun = True
        kept = detector.in_flight[engine.key][0].call
        assert not kept.request.body
        assert not kept.request.headers
        assert kept.shared_segments == ('a', 'x')
        assert kept.has_begun

    asyncio.run(body())


@pytest.mark.parametrize('draining', [False, True])
def test_end_of_a_draining_engine_speaks_against_no_segment(draining: bool) -> None:
    async def body() -> None:
        entry_state = mock.Mock()
        detector = CrashDetector(entry_state, mock.Mock())
        engine = make_engine('r1')
        entry_state.replicas.replicas = {engine.id: replace(engine, draining=draining)}
        with detector.track(make_call('x'), engine):
            detector.record_crash(engine)
        assert entry_state.segments.record_crash.called is not draining

    asyncio.run(body())
