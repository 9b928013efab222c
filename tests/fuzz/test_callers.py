"""Fuzz tests of the requests of callers and operators over real sockets."""

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
MAX_CONCURRENT = 24
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
    """Return a random call; half of the calls have the operator's token."""
    headers = rng.sample(HEADERS, rng.randint(0, 3))
    if rng.getrandbits(1):
        headers.append(('Authorization', f'Bearer {token}'))
    body = rng.choice(BODIES)
    method = rng.choice(METHODS)
    sent_body = None if method == 'GET' else body
    return HttpCall(method, f'{url}{rng.choice(PATHS)}', sent_body, headers=tuple(headers))


def content_bytes(call: HttpCall) -> int:
    """Return the approximate size of the headers and the body of a call in bytes."""
    return len(call.body or b'') + sum(len(name) + len(text) for name, text in call.headers)


def check(call: HttpCall, response: HttpResponse | BaseException) -> None:
    """Check for success or an error with a known code other than an internal error."""
    if isinstance(response, BaseException):
        # The HTTP library closes the connection if the headers or the body are too large.
        assert content_bytes(call) > MAX_HEADER_BYTES, response
        return
    if response.status == 200:
        return
    if response.status == 400 and not response.body:
        # The HTTP library rejects invalid HTTP before a handler is called.
        return
    assert response.body.startswith(b'{'), (call.method, call.url, response)
    document = json.loads(response.body)
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
        for start in range(0, REQUESTS, MAX_CONCURRENT):
            batch = calls[start : start + MAX_CONCURRENT]
            for call, response in zip(batch, await send(caller, batch), strict=True):
                check(call, response)


def test_any_request_gives_a_numbered_answer() -> None:
    asyncio.run(send_all())
