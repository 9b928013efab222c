"""A request to a backend server whose response a test sends byte by byte."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from tornado.iostream import IOStream

from cassiahitch.direct.api import ResponseHead
from cassiahitch.direct.backends.attempt import AttemptSender
from cassiahitch.direct.backends.buffering import BufferBudget
from cassiahitch.direct.backends.connection import BackendConnection
from cassiahitch.direct.backends.exchange import Exchange
from cassiahitch.direct.backends.outcomes import Outcome
from cassiahitch.direct.backends.responserelay import ResponseRelay
from cassiahitch.direct.backends.stalls import StallDetector
from cassiahitch.direct.backends.streamstate import ProgressTimeouts, StreamState
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.direct.state.versions import VersionPolicy
from cassiahitch.settings.limits import ResponseLimits
from cassiahitch.util.endpoints import Endpoint

HEAD = ResponseHead(200, 'OK', (), 'a', not_run=False, sealed=True, content_encoded=False)
EVENT = b'id: 1\ndata: x\n\n'
#: Seconds without progress after which an attempt counts as stalled.
STALL_TIMEOUT_S = 0.2
REPLICA = Replica('replica', 'service', Endpoint('127.0.0.1', 1), 'zone', slots=1)


class RecordingCaller:
    """Records the body that is forwarded to the caller."""

    def __init__(self) -> None:
        self.received = b''

    async def start_response(self, *_: object, close_delimited: bool = False) -> None:
        await asyncio.sleep(0)

    async def write_body(self, data: bytes) -> None:
        self.received += data
        await asyncio.sleep(0)

    def end_response(self) -> None:
        """Accept the end of the response."""


class ScriptedBackend:
    """An attempt at a backend server; the test sends the response on ``backend_socket``."""

    def __init__(self, repeat_policy: str = 'idempotent') -> None:
        entry_socket, backend_socket = socket.socketpair()
        self.backend_socket = backend_socket
        self.connection = BackendConnection(IOStream(entry_socket), REPLICA)
        self.caller = RecordingCaller()
        self.reservation_count = 0
        self.stream = StreamState(self.caller, reserve=self.reserve)  # type: ignore[arg-type]
        codec: Any = SimpleNamespace(
            write_headers=lambda *_: (('Host', 'x'),), read_response=lambda *_: HEAD
        )
        unused: Any = None
        response_relay = ResponseRelay(BufferBudget(ResponseLimits(100_000, 100_000, 100_000)))
        signals: Any = SimpleNamespace(telemetry=unused)
        self.attempts = AttemptSender(
            unused, codec, unused, unused, signals, response_relay, unused, VersionPolicy(8)
        )
        request = SimpleNamespace(method='GET', target='/', body=b'', attempt_id='a')
        self.call: Any = SimpleNamespace(
            request=request,
            deadline=10,
            organisation=None,
            require_route=lambda: SimpleNamespace(repeat_policy=repeat_policy, may_resume=True),
        )
        self.exchange = Exchange(
            self.connection, codec, StallDetector(self.stream.reserve_alternative)
        )

    async def reserve(self) -> bool:
        self.reservation_count += 1
        return True

    async def run_exchange(self) -> Outcome:
        replica: Any = SimpleNamespace(replica=None, version=0, model='')
        assignment: Any = SimpleNamespace(candidate=replica, rank=None)
        timeouts = ProgressTimeouts(STALL_TIMEOUT_S, STALL_TIMEOUT_S)
        return await self.attempts.run_exchange(
            self.call, assignment, self.exchange, self.stream, timeouts
        )


def run_test(body: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await body()

    asyncio.run(bounded())
