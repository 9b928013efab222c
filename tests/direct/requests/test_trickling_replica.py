"""Bytes without progress count as a stall: such attempts end, slow but valid ones do not."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Iterator
from contextlib import contextmanager, suppress
from itertools import repeat
from typing import Any

import pytest
from sent_requests import EVENT, STALL_TIMEOUT_S, ScriptedBackend
from virtual_loop import virtual_time

from cassiahitch.direct.api import Answered
from cassiahitch.direct.backends.outcomes import Delivered, Lost, Outcome

STREAM = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
END = b'0\r\n\r\n'
BODY = b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n'
INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
#: Bytes that a stalled backend server sends from time to time.
COMMENT = b': still here\n\n'
#: Times between the parts of a trickled response, in seconds.
TRICKLE_INTERVALS_S = (STALL_TIMEOUT_S / 40, STALL_TIMEOUT_S / 2)
#: Longest time until the attempt of a stalled response must end, in seconds.
MAX_WAIT_S = 4 * STALL_TIMEOUT_S


def run_in_virtual_time(body: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with virtual_time() as runner:
        runner.run(body())


def chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


async def trickle(backend: ScriptedBackend, start: bytes, piece: bytes, interval_s: float) -> None:
    backend.backend_socket.send(start)
    with suppress(OSError):
        while True:
            await asyncio.sleep(interval_s)
            backend.backend_socket.send(piece)


@contextmanager
def trickling(
    backend: ScriptedBackend, start: bytes, piece: bytes, interval_s: float
) -> Iterator[None]:
    task = asyncio.create_task(trickle(backend, start, piece, interval_s))
    try:
        yield
    finally:
        task.cancel()


async def run_trickled(
    backend: ScriptedBackend, start: bytes, piece: bytes, interval_s: float
) -> Outcome:
    with trickling(backend, start, piece, interval_s):
        async with asyncio.timeout(MAX_WAIT_S):
            return await backend.run_exchange()


@pytest.mark.parametrize('interval_s', TRICKLE_INTERVALS_S)
@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (STREAM, chunk(b'x')),
        (STREAM, chunk(COMMENT)),
        (b''.join((STREAM, chunk(EVENT), chunk(b'data: '))), chunk(b'x')),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Odd: ', b'x'),
    ],
    ids=['half event', 'comments', 'after an event', 'head'],
)
def test_stream_that_trickles_without_an_event_is_stalled(
    start: bytes, piece: bytes, interval_s: float
) -> None:
    async def body() -> None:
        outcome = await run_trickled(ScriptedBackend('stream'), start, piece, interval_s)
        assert isinstance(outcome, Lost)
        assert outcome.stalled

    run_in_virtual_time(body)


@pytest.mark.parametrize('interval_s', TRICKLE_INTERVALS_S)
def test_response_that_trickles_is_stalled(interval_s: float) -> None:
    async def body() -> None:
        outcome = await run_trickled(ScriptedBackend(), BODY, b'x', interval_s)
        assert isinstance(outcome, Lost)
        assert outcome.stalled

    run_in_virtual_time(body)


def test_interim_responses_are_no_progress() -> None:
    async def body() -> None:
        outcome = await run_trickled(ScriptedBackend(), INTERIM, INTERIM, STALL_TIMEOUT_S / 2)
        assert isinstance(outcome, Lost)
        assert outcome.stalled

    run_in_virtual_time(body)


def test_request_stays_at_a_trickling_replica_without_an_alternative() -> None:
    async def body() -> None:
        backend = ScriptedBackend('stream')
        reserve_times = []

        async def reserve() -> bool:
            reserve_times.append(asyncio.get_running_loop().time())
            return False

        backend.stream.reserve = reserve
        with trickling(backend, STREAM, chunk(COMMENT), STALL_TIMEOUT_S / 10):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(10 * STALL_TIMEOUT_S):
                    await backend.run_exchange()
        # An alternative is searched for repeatedly, but not with each byte.
        assert 2 <= len(reserve_times) <= 12

    run_in_virtual_time(body)


async def run_to_end(
    backend: ScriptedBackend,
    start: bytes,
    pieces: Iterable[bytes],
    interval_s: float,
    end: bytes = END,
) -> Outcome:
    """Run an exchange whose response arrives in parts, up to its end."""

    async def respond() -> None:
        backend.backend_socket.send(start)
        for piece in pieces:
            await asyncio.sleep(interval_s)
            backend.backend_socket.send(piece)
        backend.backend_socket.send(end)

    responding = asyncio.create_task(respond())
    outcome = await backend.run_exchange()
    await responding
    return outcome


def test_slow_but_valid_stream_is_read_to_its_end() -> None:
    async def body() -> None:
        backend = ScriptedBackend('stream')

        outcome = await run_to_end(backend, STREAM, repeat(chunk(EVENT), 8), STALL_TIMEOUT_S / 2)
        assert isinstance(outcome, Delivered)
        assert (backend.caller.received, backend.reservation_count) == (8 * EVENT, 0)

    run_in_virtual_time(body)


def test_large_event_that_arrives_steadily_is_progress() -> None:
    async def body() -> None:
        backend = ScriptedBackend('stream')
        large = b'data: %b\n\n' % (b'x' * 20_000)
        pieces = [chunk(large[start : start + 1_000]) for start in range(0, len(large), 1_000)]
        outcome = await run_to_end(backend, STREAM, pieces, STALL_TIMEOUT_S / 10)
        assert isinstance(outcome, Delivered)
        assert (backend.caller.received, backend.reservation_count) == (large, 0)

    run_in_virtual_time(body)


def test_slow_caller_is_not_a_stall_of_the_backend_server() -> None:
    async def body() -> None:
        backend = ScriptedBackend('stream')
        write = backend.caller.write_body

        async def write_slowly(data: bytes) -> None:
            await asyncio.sleep(2 * STALL_TIMEOUT_S)
            await write(data)

        backend.caller.write_body = write_slowly  # type: ignore[method-assign]
        interval_s = 2 * STALL_TIMEOUT_S + STALL_TIMEOUT_S / 4
        outcome = await run_to_end(
            backend, STREAM + chunk(EVENT), repeat(chunk(EVENT), 3), interval_s
        )
        assert isinstance(outcome, Delivered)
        assert (backend.caller.received, backend.reservation_count) == (4 * EVENT, 0)

    run_in_virtual_time(body)


def test_short_response_in_parts_within_the_timeout_is_valid() -> None:
    async def body() -> None:
        backend = ScriptedBackend()
        start = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'
        outcome = await run_to_end(backend, start, repeat(b'x', 4), STALL_TIMEOUT_S / 8, end=b'')
        assert isinstance(outcome, Answered)
        assert (outcome.body, backend.reservation_count) == (b'xxxx', 0)

    run_in_virtual_time(body)
