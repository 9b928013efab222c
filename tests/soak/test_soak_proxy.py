"""The proxy of the soak applies its faults to connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import closing

import pytest

from cassiahitch.soak.proxy import FaultyProxy, LinkFault
from cassiahitch.util.endpoints import Endpoint

LOOPBACK = '127.0.0.1'
#: Seconds in which an expected event must happen, and for which a blocked link is observed.
TIMEOUT_S = 10
QUIET_S = 0.3

ProxyTest = Callable[[FaultyProxy, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with closing(writer):
        while chunk := await reader.read(100):
            writer.write(chunk)


def with_proxy(run_test: ProxyTest) -> None:
    async def run() -> None:
        server = await asyncio.start_server(echo, LOOPBACK, 0)
        proxy = FaultyProxy(Endpoint(LOOPBACK, server.sockets[0].getsockname()[1]))
        await proxy.start(LOOPBACK)
        reader, writer = await asyncio.open_connection(LOOPBACK, proxy.port)
        async with asyncio.timeout(TIMEOUT_S):
            await run_test(proxy, reader, writer)
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
    async def run_test(
        _: FaultyProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'ping')
        assert await reader.readexactly(4) == b'ping'
        writer.write_eof()
        assert await reader.read() == b''

    with_proxy(run_test)


@pytest.mark.parametrize(
    'fault', [LinkFault.silence, LinkFault.cut_to_server, LinkFault.cut_to_client]
)
def test_blocked_link_delivers_once_the_fault_ends(fault: LinkFault) -> None:
    async def run_test(
        proxy: FaultyProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        proxy.set_fault(fault)
        writer.write(b'ping')
        assert await is_quiet(reader)
        proxy.set_fault(LinkFault.none)
        assert await reader.readexactly(4) == b'ping'

    with_proxy(run_test)


def test_reset_link_resets_open_and_new_connections() -> None:
    async def run_test(
        proxy: FaultyProxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'ping')
        assert await reader.readexactly(4) == b'ping'
        proxy.set_fault(LinkFault.reset)
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        new_reader, new_writer = await asyncio.open_connection(LOOPBACK, proxy.port)
        with closing(new_writer):
            new_writer.write(b'ping')
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await new_reader.readexactly(4)

    with_proxy(run_test)
