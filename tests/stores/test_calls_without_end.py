"""Tests that the HTTP client aborts endless responses of the store, the origin or an agent."""

from __future__ import annotations

import asyncio

import pytest
from endless import EndlessPart, EndlessServer, resident_bytes
from scripted_replicas import ADDRESS

from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient

#: Maximum memory for one response; the smallest host has 168 MB.
MAX_RESPONSE_MEMORY_BYTES = 48 * 1024 * 1024
KINDS = (
    EndlessPart.unframed_body,
    EndlessPart.chunked_body,
    EndlessPart.failure,
    EndlessPart.head,
    EndlessPart.header_line,
    EndlessPart.interim_heads,
    EndlessPart.interim_line,
    EndlessPart.chunk_size,
    EndlessPart.trailers,
)


@pytest.mark.parametrize('kind', KINDS)
def test_endless_response_is_aborted(kind: EndlessPart) -> None:
    async def body() -> None:
        endless_server = EndlessServer(kind)
        server = await asyncio.start_server(endless_server.accept, ADDRESS, 0)
        port = server.sockets[0].getsockname()[1]
        resident_before = resident_bytes()
        call = HttpCall('GET', f'http://{ADDRESS}:{port}/', None, 20, transfer_extension_s=20)
        async with asyncio.timeout(60), HttpClient() as client:
            with pytest.raises(HttpCallError):
                await client.call(call)
            assert resident_bytes() - resident_before < MAX_RESPONSE_MEMORY_BYTES
            assert endless_server.sent < MAX_RESPONSE_MEMORY_BYTES
        server.close()
        for task in endless_server.tasks:
            if task is not None:
                task.cancel()
        assert endless_server.requests == 1

    asyncio.run(body())
