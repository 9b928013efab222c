"""The silence of a backend server ends a wait, and nothing that came is lost by it."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest
from tornado.iostream import IOStream

from cassiahitch.direct.api import Answered, AnswerHead
from cassiahitch.direct.backends.attempt import (
    Attempts,
    Delivered,
    Lost,
    Outcome,
    Patience,
    StreamState,
)
from cassiahitch.direct.backends.connection import BackendConnection
from cassiahitch.direct.backends.exchange import Exchange
from cassiahitch.direct.backends.holding import AnswerBounds, Holding
from cassiahitch.direct.backends.passing import Passing
from cassiahitch.direct.backends.silence import Silence

HEAD = AnswerHead(200, 'OK', (), 'a', not_run=False, sealed=True, encoded=False)
EVENT = b'id: 1\ndata: x\n\n'
#: Seconds of silence that are borne.
LIMIT_S = 0.2


class Caller:
    def __init__(self) -> None:
        self.got = b''

    async def start(self, *_: object) -> None:
        await asyncio.sleep(0)

    async def write(self, data: bytes) -> None:
        self.got += data
        await asyncio.sleep(0)

    def end(self) -> None:
        """Take in that the answer is whole."""


class Sent:
    """A request at a backend server that the test plays."""

    def __init__(self, repeat: str = 'idempotent') -> None:
        ours, theirs = socket.socketpair()
        self.theirs = theirs
        self.connection = BackendConnection(IOStream(ours), None)  # type: ignore[arg-type]
        self.caller = Caller()
        self.asked = 0
        self.stream = StreamState(self.caller, leave=self.leave)  # type: ignore[arg-type]
        codec: Any = SimpleNamespace(
            write_headers=lambda *_: (('Host', 'x'),), read_answer=lambda *_: HEAD
        )
        nothing: Any = None
        passing = Passing(Holding(AnswerBounds(100_000, 100_000, 100_000)))
        self.attempts = Attempts(nothing, codec, nothing, nothing, nothing, passing)
        request = SimpleNamespace(method='GET', target='/', body=b'', attempt_id='a')
        self.call: Any = SimpleNamespace(
            request=request,
            deadline=10,
            organisation=None,
            plan=lambda: SimpleNamespace(repeat=repeat),
        )
        self.exchange = Exchange(self.connection, codec, Silence(self.stream.leaves_silent))

    async def leave(self) -> bool:
        self.asked += 1
        return True

    async def follow(self) -> Outcome:
        replica: Any = SimpleNamespace(replica=None, version=0)
        placed: Any = SimpleNamespace(candidate=replica, rank=None)
        patience = Patience(LIMIT_S, LIMIT_S)
        return await self.attempts.follow(self.call, placed, self.exchange, self.stream, patience)


def played(body: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await body()

    asyncio.run(bounded())


def test_silent_backend_server_is_left_when_there_is_somewhere_else_to_go() -> None:
    async def body() -> None:
        outcome = await Sent().follow()
        assert isinstance(outcome, Lost)
        assert outcome.silent

    played(body)


def test_large_answer_that_arrives_steadily_is_no_silence() -> None:
    async def body() -> None:
        sent = Sent()

        async def answer() -> None:
            sent.theirs.send(b'HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n')
            for _ in range(20):
                await asyncio.sleep(LIMIT_S / 10)
                sent.theirs.send(b'x' * 1000)

        answering = asyncio.create_task(answer())
        outcome = await sent.follow()
        await answering
        assert isinstance(outcome, Answered)

    played(body)


@pytest.mark.parametrize('turns', range(8))
def test_stall_of_this_process_is_no_silence_and_loses_no_event(turns: int) -> None:
    async def body() -> None:
        sent = Sent('stream')
        loop = asyncio.get_running_loop()
        answered = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(EVENT), EVENT)

        def stall(left: int) -> None:
            if left:
                loop.call_soon(stall, left - 1)
                return
            time.sleep(LIMIT_S * 1.5)

        def answer() -> None:
            sent.theirs.send(answered)
            stall(turns)

        loop.call_later(LIMIT_S / 4, answer)
        outcome = await sent.follow()
        assert isinstance(outcome, Delivered)
        assert (sent.stream.splitter.last_id, sent.caller.got) == ('1', EVENT)
        assert sent.asked == 0

    played(body)


def test_event_that_comes_as_a_backend_server_is_left_is_not_taken_as_passed_on() -> None:
    async def body() -> None:
        sent = Sent('stream')

        async def leave() -> bool:
            sent.theirs.send(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n%b' % EVENT)
            return True

        sent.stream.leave = leave
        assert isinstance(await sent.follow(), Lost)
        assert (sent.stream.splitter.last_id, sent.caller.got) == ('', b'')

    played(body)
