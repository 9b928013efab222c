"""The three failures of docs/OPERATIONS.md write the log lines that the page explains."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest
from direct_callers import CallerResponse, reported_queue_length, run, send_request, wait_until

from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.faults import Fault

PAGE = Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'
ONE_OF_EACH = DirectSiteSize(entries=1, models=1, plain=1)


def lines_of(caplog: pytest.LogCaptureFixture, got: CallerResponse) -> list[str]:
    attempt = got.attempt
    return [
        record.getMessage()
        for record in caplog.records
        if getattr(record, 'request', '') == attempt
    ]


def test_refused_under_load(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        model = site.models[0]
        model.running = 400
        await wait_until(lambda: reported_queue_length(site, model) > 300)
        got = await send_request(site.entries[0], '/draft/1')
        assert (got.status, got.code) == (503, 1006)
        assert lines_of(caplog, got) == ['request found no place', 'request failed']

    caplog.set_level('INFO')
    run(body, ONE_OF_EACH)


def test_cut_while_a_backend_server_crashed(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        site.plain[0].fault = Fault.lose
        got = await send_request(site.entries[0], '/order/1')
        assert (got.status, got.code) == (502, 1011)
        assert lines_of(caplog, got) == ['request sent', 'request failed']

    caplog.set_level('INFO')
    run(body, ONE_OF_EACH)


def test_refused_around_new_weights(caplog: pytest.LogCaptureFixture) -> None:
    async def body(site: DirectSite) -> None:
        await site.agents[0].stack.aclose()
        site.publish_version(2)
        versions = site.entries[0].parts.entry_state.versions
        await wait_until(lambda: versions.newest('m1') == 2)
        versions.declared_at['m1'][2] = 0
        got = await send_request(site.entries[0], '/draft/1')
        assert (got.status, got.code) == (503, 1008)
        assert lines_of(caplog, got) == ['request failed']
        assert 'weights declared' in caplog.text

    caplog.set_level('INFO')
    run(body, ONE_OF_EACH)


def test_log_messages_of_the_page_are_in_the_code() -> None:
    text = PAGE.read_text(encoding='utf-8')
    quoted = {json.loads(line)['message'] for line in re.findall(r'^\{.*\}$', text, re.MULTILINE)}
    sources = Path(__file__).parents[2] / 'src' / 'cassiahitch'
    code = ''.join(path.read_text(encoding='utf-8') for path in sources.rglob('*.py'))
    assert quoted
    missing = [message for message in quoted if f"'{message}'" not in code]
    assert not missing
