"""Tests of endpoints and their connections over the loopback interface."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest
from tornado.iostream import IOStream

from cassiahitch.clock import SystemClock
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, WireError
from cassiahitch.wire.connection import ConnectionLimits
from cassiahitch.wire.endpoint import Endpoint, EndpointSettings
from cassiahitch.wire.messages import (
    Answer,
    AnswerPart,
    Heartbeat,
    Hello,
    Locate,
    Message,
    PeerAddress,
    Status,
)

if TYPE_CHECKING:
    from cassiahitch.wire.api import ReplySender
    from cassiahitch.wire.connection import Connection

KEY = b'0123456789abcdef0123456789abcdef'
LOOPBACK = '127.0.0.1'
LIMITS = ConnectionLimits(max_frame_bytes=65_536, heartbeat_s=0.02, silent_after_s=0.2)


class EchoProcess:
    """Process that replies to calls and records the reasons why its connections ended."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.reasons: asyncio.Queue[WireError] = asyncio.Queue()

    def hello(self) -> Hello:
        return Hello(role='agent', host=self.name)

    def heartbeat(self) -> Heartbeat:
        return Heartbeat()

    def next_timestamp(self) -> int:
        return 1

    def merge_timestamp(self, timestamp: int) -> None:
        assert timestamp == 1

    def on_connection_opened(self, connection: Connection) -> None:
        assert connection.peer.host != self.name

    def on_connection_ended(self, _connection: Connection, reason: WireError) -> None:
        self.reasons.put_nowait(reason)

    async def handle(self, _connection: Connection, message: Message, reply: ReplySender) -> None:
        match message:
            case Locate(host=''):
                raise WireError(Code.host_unknown, 'no host')
            case Locate(host=host):
                await reply(PeerAddress(host, LOOPBACK, 1))
            case Status():
                await reply(AnswerPart(body=b'a'))
                await reply(AnswerPart(body=b'b'))
                await reply(Answer())


class EndpointPair:
    """An endpoint that listens and one that dials it."""

    def __init__(self, stack: AsyncExitStack, dialling_key: bytes = KEY) -> None:
        self.server = EchoProcess('server')
        self.client = EchoProcess('client')
        clock = SystemClock()
        self.listening = Endpoint(EndpointSettings(KEY, LIMITS), self.server, clock)
        self.dialling = Endpoint(EndpointSettings(dialling_key, LIMITS), self.client, clock)
        stack.push_async_callback(self.listening.close)
        stack.push_async_callback(self.dialling.close)
        self.port = self.listening.bind_port(LOOPBACK, 0)


async def call_concurrently() -> list[Message]:
    async with AsyncExitStack() as stack:
        pair = EndpointPair(stack)
        connection = await pair.dialling.dial(LOOPBACK, pair.port)
        hosts = [f'host-{number}' for number in range(50)]
        return await asyncio.gather(*(connection.call(Locate(host)) for host in hosts))


def test_each_call_gets_its_own_reply() -> None:
    replies = asyncio.run(call_concurrently())
    assert replies == [PeerAddress(f'host-{number}', LOOPBACK, 1) for number in range(50)]


async def stream_replies() -> list[Message]:
    async with AsyncExitStack() as stack:
        pair = EndpointPair(stack)
        connection = await pair.dialling.dial(LOOPBACK, pair.port)
        return [reply async for reply in connection.stream_call(Status())]


def test_parts_arrive_in_order_before_the_answer() -> None:
    assert asyncio.run(stream_replies()) == [AnswerPart(body=b'a'), AnswerPart(body=b'b'), Answer()]


async def make_failing_call() -> CassiahitchError:
    async with AsyncExitStack() as stack:
        pair = EndpointPair(stack)
        connection = await pair.dialling.dial(LOOPBACK, pair.port)
        with pytest.raises(CassiahitchError) as raised:
            await connection.call(Locate(''))
        return raised.value


def test_failure_of_the_peer_carries_its_code() -> None:
    assert asyncio.run(make_failing_call()).code is Code.host_unknown


async def dial_with_wrong_key() -> WireError:
    async with AsyncExitStack() as stack:
        pair = EndpointPair(stack, dialling_key=b'x' * 32)
        with pytest.raises(WireError) as raised:
            await pair.dialling.dial(LOOPBACK, pair.port)
        assert not pair.listening.connections
        return raised.value


def test_process_without_the_system_key_is_refused() -> None:
    error = asyncio.run(dial_with_wrong_key())
    assert error.code in {Code.connection_closed, Code.handshake_refused}


async def wait_for_silent_peer() -> tuple[WireError, WireError]:
    """Stop the peer's reading and writing while a call waits for its reply."""
    async with AsyncExitStack() as stack:
        pair = EndpointPair(stack)
        connection = await pair.dialling.dial(LOOPBACK, pair.port)
        pending_call = asyncio.ensure_future(connection.call(Heartbeat()))
        while not pair.listening.connections:
            await asyncio.sleep(0)
        for peer in pair.listening.connections:
            peer.close_reason = WireError(Code.connection_silent, 'stopped by the test')
        reason = await pair.client.reasons.get()
        with pytest.raises(WireError) as raised:
            await pending_call
        return reason, raised.value


def test_silent_connection_ends_and_fails_its_calls() -> None:
    reason, failure = asyncio.run(wait_for_silent_peer())
    assert (reason.code, failure.code) == (Code.connection_silent, Code.connection_silent)


async def send_raw(raw: bytes) -> int:
    """Send bytes instead of a handshake and return the number of accepted connections."""
    async with AsyncExitStack() as stack:
        pair = EndpointPair(stack)
        peer = IOStream(socket.socket())
        stack.callback(peer.close)
        await peer.connect((LOOPBACK, pair.port))
        await peer.write(raw)
        await peer.read_until_close()
        return len(pair.listening.connections)


@pytest.mark.parametrize(
    'raw',
    [
        pytest.param(b'\xff' * 64, id='huge-frame'),
        pytest.param(b'\x00\x00\x00\x04\x00\x00\x00\x00abcd', id='wrong-checksum'),
        pytest.param(b'GET / HTTP/1.1\r\n\r\n', id='http'),
    ],
)
def test_peer_without_handshake_is_refused(raw: bytes) -> None:
    assert asyncio.run(send_raw(raw)) == 0
