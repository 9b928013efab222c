"""Fuzzing of callers' and operators' requests over real sockets."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.standins.site import Site, SiteSize
from cassiahitch.stores.http_client import HttpCall, HttpClient

if TYPE_CHECKING:
    from cassiahitch.stores.http_client import HttpResponse

REQUESTS = 3_000
MAX_HEADER_BYTES = 16_384
AT_ONCE = 24
PATHS = (
    '/',
    '/v1/addresses',
    '/v1/tickets?service=%00',
    '/v1/services/draft/requests',
    '/v1/services/%2e%2e/requests',
    '/v1/resources/Model/menus',
    '/v1/resources/Door/x',
    '/v1/resources/Drain?after=%ff',
    '/v1/watch/Model?after=-1x',
    '/v1/timeline?request=%0a',
    '/v1/status',
)
METHODS = ('GET', 'PUT', 'POST', 'DELETE', 'PATCH')
HEADERS = (
    ('X-Timeout-Ms', '9' * 5000),
    ('X-Timeout-Ms', '9' * 400),
    ('X-Timeout-Ms', '-1'),
    ('X-Timeout-Ms', 'NaN'),
    ('X-Ticket', 'AAAA'),
    ('X-Ticket', 'A' * 200),
    ('Idempotency-Key', 'x' * 9000),
    ('Accept', 'text/event-stream'),
    ('If-Match', '"x"'),
    ('If-Match', '9' * 5000),
    ('If-None-Match', '*'),
    ('X-Change-Id', '../..'),
    ('Authorization', 'Basic x'),
    ('Authorization', 'Bearer'),
)
BODIES = (b'', b'{', b'\xff\x00', b'{"kind": "Model"}', b'[1e999]', b'x' * 2_000_000)


def draw_call(rng: random.Random, url: str, token: str) -> HttpCall:
    """Draw a call; half of them carry the operator's token."""
    headers = rng.sample(HEADERS, rng.randint(0, 3))
    if rng.getrandbits(1):
        headers.append(('Authorization', f'Bearer {token}'))
    body = rng.choice(BODIES)
    method = rng.choice(METHODS)
    sent = None if method == 'GET' else body
    return HttpCall(method, f'{url}{rng.choice(PATHS)}', sent, headers=tuple(headers))


def content_bytes(call: HttpCall) -> int:
    """Return the bytes of the header and the body of a call, about."""
    return len(call.body or b'') + sum(len(name) + len(text) for name, text in call.headers)


def check(call: HttpCall, reply: HttpResponse | BaseException) -> None:
    """Require success, or an error with a known code that is no fault of the program."""
    if isinstance(reply, BaseException):
        # The HTTP library closes the connection if the header or the body is too large.
        assert content_bytes(call) > MAX_HEADER_BYTES, reply
        return
    if reply.status == 200:
        return
    if reply.status == 400 and not reply.body:
        # The HTTP library refuses what is not HTTP before a handler sees it.
        return
    assert reply.body.startswith(b'{'), (call.method, call.url, reply)
    document = json.loads(reply.body)
    code = Code(document['code'])
    assert code not in {Code.ok, Code.internal}, (call, document)
    assert HasRun(document['ran']) is HasRun.no, (call, document)


async def send(caller: HttpClient, calls: list[HttpCall]) -> list[HttpResponse | BaseException]:
    return await asyncio.gather(*map(caller.call, calls), return_exceptions=True)


async def send_all() -> None:
    rng = random.Random(7)
    async with (
        Site(SiteSize(entries=1, model_hosts=1, plain_hosts=0)) as site,
        HttpClient() as caller,
    ):
        async with asyncio.timeout(60):
            while not site.entries[0].configuration.ready:
                await asyncio.sleep(0)
        calls = [draw_call(rng, site.urls[0], site.token) for _ in range(REQUESTS)]
        for start in range(0, REQUESTS, AT_ONCE):
            some = calls[start : start + AT_ONCE]
            for call, reply in zip(some, await send(caller, some), strict=True):
                check(call, reply)


def test_any_request_gives_a_numbered_answer() -> None:
    asyncio.run(send_all())
