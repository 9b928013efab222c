"""A request at a backend server that a test plays byte by byte."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from tornado.iostream import IOStream

from cassiahitch.direct.api import ResponseHead
from cassiahitch.direct.backends.attempt import (
    AttemptSender,
    Outcome,
    ProgressTimeouts,
    StreamState,
)
from cassiahitch.direct.backends.buffering import BufferBudget
from cassiahitch.direct.backends.connection import BackendConnection
from cassiahitch.direct.backends.exchange import Exchange
from cassiahitch.direct.backends.responserelay import ResponseRelay
from cassiahitch.direct.backends.stalls import StallDetector
from cassiahitch.settings.limits import ResponseLimits

HEAD = ResponseHead(200, 'OK', (), 'a', not_run=False, sealed=True, content_encoded=False)
EVENT = b'id: 1\ndata: x\n\n'
#: Seconds of silence that are borne.
STALL_TIMEOUT_S = 0.2


class RecordingCaller:
    def __init__(self) -> None:
        self.received = b''

    async def start_response(self, *_: object) -> None:
        await asyncio.sleep(0)

    async def write_body(self, data: bytes) -> None:
        self.received += data
        await asyncio.sleep(0)

    def end_response(self) -> None:
        """Take in that the answer is whole."""


class ScriptedBackend:
    """A request at a backend server that the test plays."""

    def __init__(self, repeat_policy: str = 'idempotent') -> None:
        ours, backend_socket = socket.socketpair()
        self.backend_socket = backend_socket
        self.connection = BackendConnection(IOStream(ours), None)  # type: ignore[arg-type]
        self.caller = RecordingCaller()
        self.reservation_count = 0
        self.stream = StreamState(self.caller, reserve=self.reserve)  # type: ignore[arg-type]
        codec: Any = SimpleNamespace(
            write_headers=lambda *_: (('Host', 'x'),), read_response=lambda *_: HEAD
        )
        nothing: Any = None
        response_relay = ResponseRelay(BufferBudget(ResponseLimits(100_000, 100_000, 100_000)))
        self.attempts = AttemptSender(nothing, codec, nothing, nothing, nothing, response_relay)
        request = SimpleNamespace(method='GET', target='/', body=b'', attempt_id='a')
        self.call: Any = SimpleNamespace(
            request=request,
            deadline=10,
            organisation=None,
            require_route=lambda: SimpleNamespace(repeat_policy=repeat_policy),
        )
        self.exchange = Exchange(
            self.connection, codec, StallDetector(self.stream.reserve_alternative)
        )

    async def reserve(self) -> bool:
        self.reservation_count += 1
        return True

    async def run_exchange(self) -> Outcome:
        replica: Any = SimpleNamespace(replica=None, version=0)
        placed: Any = SimpleNamespace(candidate=replica, rank=None)
        patience = ProgressTimeouts(STALL_TIMEOUT_S, STALL_TIMEOUT_S)
        return await self.attempts.run_exchange(
            self.call, placed, self.exchange, self.stream, patience
        )


def run_test(body: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await body()

    asyncio.run(bounded())
