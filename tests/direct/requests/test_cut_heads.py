"""A replica that stops within the head of its response, at each byte, has sent no response.

They guard against a short head that is taken for a whole one, whose caller gets an empty or short
body as complete.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request
from scripted_replicas import (
    CHUNKED,
    EVENT_TYPE,
    LAST_CHUNK,
    ONCE_STREAM_PREFIX,
    SEAL,
    ScriptedRequest,
    add_once_stream_route,
    chunk,
    events,
    head,
    serve_script,
)

from cassiahitch.standins.directsite import DirectSite

CONTENT = events(1, 3)
#: Headers that frame the body, and the bytes of the framed body.
FRAMINGS = {
    'length': (f'Content-Length: {len(CONTENT)}', CONTENT),
    'chunks': (CHUNKED, chunk(CONTENT) + LAST_CHUNK),
    'connection': ('X-Other: 1', CONTENT),
}
INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
PATHS = ('/order/1', f'{ONCE_STREAM_PREFIX}1', '/lookup/1', '/draft/1')
#: Requests that are sent at once.
CONCURRENCY = 16


@dataclass
class CutHeads:
    """Sends each request the start of a head first, up to a byte that differs, and then all.

    ``line`` frames the body ``framed``. ``cuts`` has the length of the start by attempt.
    """

    line: str
    framed: bytes
    is_reset: bool
    cuts: dict[str, int] = field(default_factory=dict)

    def whole_head(self, attempt_line: str) -> bytes:
        return INTERIM + head('200 OK', attempt_line, SEAL, EVENT_TYPE, self.line)

    async def respond(self, request: ScriptedRequest) -> None:
        whole = self.whole_head(request.attempt_line)
        if request.sent_count > 1:
            request.write(whole, self.framed)
            request.close()
            return
        cut = 1 + len(self.cuts) % (len(whole) - 1)
        self.cuts[request.attempt] = cut
        request.write(whole[:cut])
        await request.settle()
        if self.is_reset:
            request.reset()
        else:
            request.close()


def check(got: CallerResponse, framing: str) -> None:
    """Check that the response is an error, or that of another attempt.

    Only the latter may lack an end, and only if it comes with the connection as its end.
    """
    if got.status == 502:
        assert got.complete
        return
    assert (got.status, got.body) == (200, CONTENT)
    assert got.complete == (framing != 'connection')


@pytest.mark.parametrize('is_reset', [True, False], ids=['reset', 'closed'])
@pytest.mark.parametrize('framing', list(FRAMINGS))
@pytest.mark.parametrize('path', PATHS)
def test_response_whose_head_is_cut_is_no_answer(
    path: str, framing: str, *, is_reset: bool
) -> None:
    heads = CutHeads(*FRAMINGS[framing], is_reset)
    length = len(heads.whole_head('X-Cassiahitch-Attempt-Id: a1'))

    async def body(site: DirectSite) -> None:
        await add_once_stream_route(site)
        entry = site.entries[0]
        async with serve_script(entry, heads.respond):
            for _ in range(0, length, CONCURRENCY):
                sent = (send_request(entry, path) for _ in range(CONCURRENCY))
                for got in await asyncio.gather(*sent):
                    check(got, framing)

    run_site_in_virtual_time(body)
    assert len(set(heads.cuts.values())) >= length - 1
