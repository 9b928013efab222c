"""The proxy of the soak does to connections what its harm says."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cassiahitch.soak.proxy import FaultyProxy, LinkFault
from cassiahitch.util.endpoints import Endpoint

LOOPBACK = '127.0.0.1'
#: Longest wait for something that must come, in seconds, and for something that must not.
LIMIT_S = 10
QUIET_S = 0.3

Body = Callable[[FaultyProxy, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while part := await reader.read(100):
        writer.write(part)
    writer.close()


def with_proxy(body: Body) -> None:
    async def run() -> None:
        server = await asyncio.start_server(echo, LOOPBACK, 0)
        proxy = FaultyProxy(Endpoint(LOOPBACK, server.sockets[0].getsockname()[1]))
        await proxy.start(LOOPBACK)
        reader, writer = await asyncio.open_connection(LOOPBACK, proxy.port)
        async with asyncio.timeout(LIMIT_S):
            await body(proxy, reader, writer)
        writer.close()
        await proxy.stop()
        server.close()

    asyncio.run(run())


async def is_quiet(reader: asyncio.StreamReader) -> bool:
    try:
        await asyncio.wait_for(reader.read(1), QUIET_S)
    except TimeoutError:
        return True
    return False


def test_healthy_link_forwards_both_ways_and_the_end() -> None:
    async def body(
        _: FaultyProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'ping')
        assert await reader.readexactly(4) == b'ping'
        writer.write_eof()
        assert await reader.read() == b''

    with_proxy(body)


@pytest.mark.parametrize(
    'harm', [LinkFault.silence, LinkFault.cut_to_server, LinkFault.cut_to_client]
)
def test_silent_link_delivers_once_it_heals(harm: LinkFault) -> None:
    async def body(
        proxy: FaultyProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        proxy.set_fault(harm)
        writer.write(b'ping')
        assert await is_quiet(reader)
        proxy.set_fault(LinkFault.none)
        assert await reader.readexactly(4) == b'ping'

    with_proxy(body)


def test_reset_link_resets_open_and_new_connections() -> None:
    async def body(
        proxy: FaultyProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'ping')
        assert await reader.readexactly(4) == b'ping'
        proxy.set_fault(LinkFault.reset)
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        later, there = await asyncio.open_connection(LOOPBACK, proxy.port)
        there.write(b'ping')
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await later.readexactly(4)

    with_proxy(body)
