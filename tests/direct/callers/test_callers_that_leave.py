"""Backend servers do not work on for callers that have left."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from direct_callers import ask, run, run_virtually, until

from cassiahitch.direct.callers.progress import Phase
from cassiahitch.metrics.names import CounterName
from cassiahitch.metrics.snapshots import Series
from cassiahitch.standins.directsite import DirectSite


@pytest.mark.parametrize('resumable', [True, False])
def test_stream_ends_at_its_engine_when_its_caller_has_left(*, resumable: bool) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        knowledge = entry.parts.knowledge
        assert knowledge.catalogue is not None
        routes = tuple(replace(one, resumable=resumable) for one in knowledge.catalogue.routes)
        knowledge.catalogue = replace(knowledge.catalogue, routes=routes)
        for model in site.models:
            model.pause_s = 3
        await ask(entry, '/draft/1', deadline_ms=8000, leave_after_s=0.5)
        await asyncio.sleep(0.5)
        assert not entry.front.running

    run(body)


def test_line_of_a_caller_that_left_says_where_its_request_was(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        for model in site.models:
            model.pause_s = 3
        got = await ask(entry, '/draft/1', deadline_ms=8000, leave_after_s=0.5)
        await until(lambda: not entry.front.running)
        line = next(vars(one) for one in caplog.records if one.getMessage() == 'caller left')
        assert (line['request'], line['phase']) == (got.attempt, Phase.replica.value)
        assert line['replica'] in {model.id for model in site.models}
        assert 0.3 < line['placed_s'] < 2
        counted = entry.parts.journal.metrics.snapshot().counters
        assert counted[Series(CounterName.requests_cancelled, Phase.replica.name)] == 1

    caplog.set_level('INFO')
    run_virtually(body)
