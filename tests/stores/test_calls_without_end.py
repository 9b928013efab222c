"""Answers without end to calls of the store, the origin and agents are given up."""

from __future__ import annotations

import asyncio

import pytest
from endless import ADDRESS, Endless, EndlessServer, resident_bytes

from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient

#: What one answer may take of the memory of the smallest host, which has 168 MB.
MOST_BYTES = 48 * 1024 * 1024
KINDS = (
    Endless.unframed_body,
    Endless.chunked_body,
    Endless.failure,
    Endless.head,
    Endless.header_line,
    Endless.interim_heads,
)


@pytest.mark.parametrize('kind', KINDS)
def test_answer_without_end_is_given_up(kind: Endless) -> None:
    async def body() -> None:
        own = EndlessServer(kind)
        server = await asyncio.start_server(own.accept, ADDRESS, 0)
        port = server.sockets[0].getsockname()[1]
        before = resident_bytes()
        call = HttpCall('GET', f'http://{ADDRESS}:{port}/', None, 20, transfer_extension_s=20)
        async with asyncio.timeout(60), HttpClient() as caller:
            with pytest.raises(HttpCallError):
                await caller.call(call)
            assert resident_bytes() - before < MOST_BYTES
            assert own.sent < MOST_BYTES
        server.close()
        for task in own.tasks:
            if task is not None:
                task.cancel()
        assert own.requests == 1

    asyncio.run(body())
