"""Tests that a stream over real sockets ends with an end event or with an error event."""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
from typing import Any

from process_site import SECRET, ProcessSite, until

from cassiahitch.codes import Code
from cassiahitch.standins.engines import engine_response
from cassiahitch.stores.http_client import HttpCall

BODY = 'menu with ünicode and new prices'
Event = tuple[str, dict[str, Any]]


def parse_events(raw: bytes) -> list[Event]:
    """Return the events of a stream in order."""
    blocks = raw.decode().split('\n\n')
    assert blocks.pop() == ''
    events = []
    for block in blocks:
        kind, data = block.split('\n')
        events.append((kind.removeprefix('event: '), json.loads(data.removeprefix('data: '))))
    return events


def streaming_call(site: ProcessSite) -> HttpCall:
    headers = (('Authorization', f'Bearer {SECRET}'), ('Accept', 'text/event-stream'))
    url = f'{site.url(0)}/v1/services/draft/requests'
    return HttpCall('POST', url, BODY.encode(), 30, repeatable=False, headers=headers)


async def start(site: ProcessSite) -> str:
    await site.start(entries=1, models=1)
    digest = await site.declare(replicas=1)
    await until(lambda: is_serving(site, digest))
    return digest


async def is_serving(site: ProcessSite, digest: str) -> bool:
    answer = await site.ask('draft', 'probe')
    return bool(answer.get('weights') == digest)


async def stream_completely() -> tuple[list[Event], str]:
    async with ProcessSite() as site:
        digest = await start(site)
        response = await site.caller.call(streaming_call(site))
        return parse_events(response.body), digest


def test_streamed_parts_make_the_whole_answer_that_the_end_names() -> None:
    events, digest = asyncio.run(stream_completely())
    *parts, (last, end) = events
    text = ''.join(part['text'] for _, part in parts)
    assert len(parts) > 1
    assert {kind for kind, _ in parts} == {'part'}
    assert (last, end['code'], end['weights']) == ('end', Code.ok, digest)
    assert text == engine_response(digest, BODY.encode()).decode()
    assert end['length'] == len(text.encode())
    assert end['sha256'] == hashlib.sha256(text.encode()).hexdigest()


async def stream_until_agent_is_killed() -> list[Event]:
    """Kill the agent once the first part of a response has arrived."""
    async with ProcessSite() as site:
        await start(site)
        site.engines['model-0'].step_s = 0.3
        raw = bytearray()
        async for chunk in site.caller.stream(streaming_call(site)):
            raw += chunk
            await site.agents['model-0'].end(signal.SIGKILL)
        return parse_events(bytes(raw))


def test_stream_that_is_cut_short_ends_with_an_error() -> None:
    events = asyncio.run(stream_until_agent_is_killed())
    kinds = [kind for kind, _ in events]
    assert (kinds[0], kinds[-1]) == ('part', 'error')
    assert 'end' not in kinds
    assert events[-1][1]['ran'] == 'unknown'
