"""A response without a length whose replica crashes is broken off, also right after an event.

They guard against answers that are framed as complete and are not, since the end of a connection
looks the same at a crash and at the end of a response.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest
from direct_callers import CallerResponse, run_site_in_virtual_time, send_request
from scripted_replicas import (
    ADDRESS,
    CHUNKED,
    EVENT_TYPE,
    LAST_CHUNK,
    ONCE_STREAM_PREFIX,
    SEAL,
    ScriptedRequest,
    ScriptedServer,
    add_once_stream_route,
    chunk,
    events,
    head,
)

from cassiahitch.direct.backends.connection import ConnectFailed
from cassiahitch.direct.backends.pool import CONNECT_TIMEOUT_S, ConnectionPool
from cassiahitch.standins.directsite import DirectSite
from cassiahitch.util.endpoints import Endpoint

RESUMABLE_PATH = '/draft/1'
ONCE_PATH = f'{ONCE_STREAM_PREFIX}1'
EVENTS = 4
BLANK_LINE = b'\n'
WHOLE_BODY = b'whole body'
#: Larger than the buffer of a response, so that it is forwarded in parts.
LARGE_BODY = bytes(2_000_000)


@dataclass
class CrashingServer:
    """A replica that ends a response with its connection, or crashes there.

    ``connections`` counts the connections that it accepted.
    """

    scripted: ScriptedServer
    server: asyncio.Server | None = None
    connections: int = 0

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await self.scripted.accept(reader, writer)

    def close_port(self) -> None:
        assert self.server is not None
        self.server.close()


@dataclass
class CrashingReplicas:
    """Replicas of which the first one that is sent a request crashes, if ``crashes`` is set."""

    crashes: bool
    whole: Callable[[ScriptedRequest], bytes]
    cut: bytes
    lines: tuple[str, ...] = ()
    servers: list[CrashingServer] = field(default_factory=list)
    sent: int = 0

    async def add(self) -> int:
        """Start a replica, and return its port."""

        async def script(request: ScriptedRequest) -> None:
            await self.respond(request, crashing)

        crashing = CrashingServer(ScriptedServer(script))
        crashing.server = await asyncio.start_server(crashing.accept, ADDRESS, 0)
        self.servers.append(crashing)
        return int(crashing.server.sockets[0].getsockname()[1])

    async def respond(self, request: ScriptedRequest, crashing: CrashingServer) -> None:
        self.sent += 1
        is_cut = self.crashes and self.sent == 1
        lines = (request.attempt_line, SEAL, *self.lines)
        if request.last_event_id:
            rest = self.whole(request)
            request.write(head('200 OK', *lines, CHUNKED), chunk(rest) if rest else b'', LAST_CHUNK)
            return
        request.write(head('200 OK', *lines), self.cut if is_cut else self.whole(request))
        await request.settle()
        if is_cut:
            crashing.close_port()
        request.close()


@asynccontextmanager
async def serve(site: DirectSite, replicas: CrashingReplicas) -> AsyncIterator[None]:
    """Replace all replicas in the registry of the first entry."""
    registry = site.entries[0].parts.entry_state.replicas
    for key, replica in tuple(registry.replicas.items()):
        endpoint = Endpoint(ADDRESS, await replicas.add())
        registry.replicas[key] = replace(replica, endpoint=endpoint)
    try:
        yield
    finally:
        for crashing in replicas.servers:
            crashing.close_port()
            await crashing.scripted.stop()


def streams(*lines: str, crashes: bool = True) -> CrashingReplicas:
    return CrashingReplicas(
        crashes,
        lambda request: events(request.last_event_id + 1, EVENTS),
        events(1, 2),
        (EVENT_TYPE, *lines),
    )


def bodies(whole: bytes = WHOLE_BODY, *, crashes: bool = True) -> CrashingReplicas:
    return CrashingReplicas(crashes, lambda _: whole, whole[: len(whole) // 2])


def run_with(
    replicas: CrashingReplicas,
    path: str,
    check: Callable[[CallerResponse], None],
    requests: int = 1,
) -> None:
    async def body(site: DirectSite) -> None:
        await add_once_stream_route(site)
        async with serve(site, replicas):
            for _ in range(requests):
                check(await send_request(site.entries[0], path))

    run_site_in_virtual_time(body)


def test_stream_whose_replica_crashes_after_an_event_is_resumed() -> None:
    def check(got: CallerResponse) -> None:
        assert (got.status, got.complete, got.body) == (200, True, events(1, EVENTS))

    run_with(streams(), RESUMABLE_PATH, check)


def test_stream_whose_replica_crashes_after_an_event_is_not_completed() -> None:
    def check(got: CallerResponse) -> None:
        assert (got.status, got.complete, got.body) == (200, False, events(1, 2))

    run_with(streams(), ONCE_PATH, check)


def test_body_whose_replica_crashes_is_sent_again_if_it_may() -> None:
    def check(got: CallerResponse) -> None:
        assert (got.status, got.body) == (200, WHOLE_BODY)
        assert got.ended_as_replica_did

    run_with(bodies(), '/lookup/1', check)


def test_body_whose_replica_crashes_is_no_answer_of_a_request_that_runs_once() -> None:
    def check(got: CallerResponse) -> None:
        assert (got.status, got.complete) == (502, True)

    run_with(bodies(), '/order/1', check)


def test_large_body_whose_replica_crashes_is_not_completed() -> None:
    def check(got: CallerResponse) -> None:
        assert (got.status, got.complete) == (200, False)

    run_with(bodies(LARGE_BODY), '/order/1', check)


def test_stream_of_a_stopping_replica_ends_as_it_did_although_its_port_is_closed() -> None:
    replicas = streams('Server-Leaving: 1')

    def check(got: CallerResponse) -> None:
        assert (got.status, got.body) == (200, events(1, 2))
        assert got.ended_as_replica_did
        assert replicas.sent == 1

    run_with(replicas, ONCE_PATH, check)


def test_stream_of_a_replica_that_crashes_after_it_announced_its_stop_is_resumed() -> None:
    replicas = streams('Server-Leaving: 1')

    def check(got: CallerResponse) -> None:
        assert (got.status, got.complete, got.body) == (200, True, events(1, EVENTS))
        assert replicas.sent == 2

    run_with(replicas, RESUMABLE_PATH, check)


def test_whole_stream_of_a_stopping_replica_is_complete_with_an_empty_rest() -> None:
    replicas = streams('Server-Leaving: 1')
    replicas.cut = events(1, EVENTS) + BLANK_LINE

    def check(got: CallerResponse) -> None:
        assert (got.status, got.complete) == (200, True)
        assert got.body == events(1, EVENTS) + BLANK_LINE
        assert replicas.sent == 2

    run_with(replicas, RESUMABLE_PATH, check)


@pytest.mark.parametrize('path', [ONCE_PATH, '/order/1'])
def test_response_of_a_replica_that_does_not_answer_any_more_is_not_completed(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def time_out(*_: object) -> None:
        await asyncio.sleep(CONNECT_TIMEOUT_S)
        raise ConnectFailed('timed out while connecting', refused=False)

    monkeypatch.setattr(ConnectionPool, 'replace', time_out)

    def check(got: CallerResponse) -> None:
        expected = (200, False) if path == ONCE_PATH else (502, True)
        assert (got.status, got.complete) == expected

    run_with(streams() if path == ONCE_PATH else bodies(), path, check)


def test_response_of_a_replica_with_too_many_connections_ends_as_it_did(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def reset(*_: object) -> None:
        raise ConnectFailed('connection reset by peer', refused=False, reset=True)

    monkeypatch.setattr(ConnectionPool, 'replace', reset)

    def check(got: CallerResponse) -> None:
        assert (got.status, got.body) == (200, WHOLE_BODY)
        assert got.ended_as_replica_did

    run_with(bodies(crashes=False), '/order/1', check)


REQUESTS = 6


@pytest.mark.parametrize(
    ('replicas', 'path'),
    [(streams(crashes=False), ONCE_PATH), (bodies(crashes=False), '/order/1')],
    ids=['stream', 'body'],
)
def test_replica_that_always_ends_responses_with_its_connection_needs_no_further_connections(
    replicas: CrashingReplicas, path: str
) -> None:
    def check(got: CallerResponse) -> None:
        assert got.status == 200
        assert got.ended_as_replica_did

    run_with(replicas, path, check, REQUESTS)
    used = [server.connections for server in replicas.servers if server.connections]
    assert replicas.sent == REQUESTS
    assert sum(used) <= REQUESTS + len(used)
