"""Unusual and faulty ends of the responses of the soak's backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cassiahitch.platform import names
from cassiahitch.soak.answers import FAILED_BODY
from cassiahitch.soak.backend import SoakBackend
from cassiahitch.soak.responses import WorkSpec, stream_event
from cassiahitch.standins.engineweights import EngineWeights
from cassiahitch.standins.faults import Fault

LOOPBACK = '127.0.0.1'
#: Seconds after which no more bytes are expected on a connection that stays open.
QUIET_S = 0.3
WORK = WorkSpec(parts=5, pause_s=0.001, size=60)
#: Ids of attempts, of which half get the first variant of a fault.
EVEN = 's2'
ODD = 's1'


def run(body: Callable[[SoakBackend], Awaitable[None]], *, engine: bool = True) -> None:
    async def serve() -> None:
        weights = EngineWeights('m1', version=1) if engine else None
        backend = SoakBackend('m-0', 'drafts', 'north-1', engine=weights, host='m-0')
        await backend.start(LOOPBACK)
        async with asyncio.timeout(20):
            await body(backend)
        await backend.stop()

    asyncio.run(serve())


def request(attempt: str, after: int = 0) -> bytes:
    lines = (
        f'POST /draft/{attempt}?{WORK.query()} HTTP/1.1',
        'Host: x',
        'Content-Length: 0',
        f'{names.ATTEMPT_ID}: {attempt}',
        f'{names.LAST_EVENT}: {after}',
    )
    return '\r\n'.join((*lines, '', '')).encode()


async def exchange(backend: SoakBackend, *requests: bytes) -> tuple[bytes, bool]:
    """Send requests one after the other; return all bytes, and whether the peer closed."""
    reader, writer = await asyncio.open_connection(backend.address, backend.port)
    received = b''
    closed = False
    for one in requests:
        writer.write(one)
        try:
            async with asyncio.timeout(QUIET_S):
                while chunk := await reader.read(65_536):
                    received += chunk
            closed = True
        except TimeoutError:
            pass
        except ConnectionError:
            closed = True
    writer.close()
    return received, closed


def test_unframed_stream_and_body_end_with_their_connection() -> None:
    async def body(backend: SoakBackend) -> None:
        backend.fault = Fault.unframed
        received, closed = await exchange(backend, request(EVEN))
        head, _, content = received.partition(b'\r\n\r\n')
        assert (b'Transfer-Encoding' in head, b'Content-Length' in head) == (False, False)
        if backend.engine is not None:
            events = (stream_event(EVEN, number, WORK) for number in range(1, WORK.parts + 1))
            assert content == b''.join(events)
        assert (closed, content.count(b'.') > 0) == (True, True)
        assert not any(one.broke_off for one in backend.executions)

    run(body)
    run(body, engine=False)


@pytest.mark.parametrize(('attempt', 'closes'), [(EVEN, True), (ODD, False)])
def test_stream_ends_inside_an_event(attempt: str, *, closes: bool) -> None:
    async def body(backend: SoakBackend) -> None:
        backend.fault = Fault.half_event
        received, closed = await exchange(backend, request(attempt))
        assert (received.count(b'id: '), closed) == (3, closes)
        assert received.count(b'\n\n') == 2
        assert received.endswith(b'0\r\n\r\n') is not closes
        assert backend.executions[0].broke_off

    run(body)


def test_resumed_streams_fail_with_several_statuses() -> None:
    async def body(backend: SoakBackend) -> None:
        backend.fault = Fault.fail_resumed
        received, closed = await exchange(backend, request(EVEN))
        assert (received.count(b'\n\n'), received.count(b'id: '), closed) == (2, 2, True)
        statuses = set()
        for number in range(10, 22):
            received, closed = await exchange(backend, request(f's{number}', after=2))
            status = received.split(maxsplit=2)[1]
            statuses.add(status)
            assert not closed
            assert (FAILED_BODY in received) is (status != b'204')
            assert (names.RESPONSE_SEAL.encode() in received) is (status != b'200')
        assert statuses == {b'500', b'504', b'400', b'302', b'204', b'200'}

    run(body)


@pytest.mark.parametrize(('attempt', 'ids'), [(EVEN, 2), (ODD, 1)])
def test_refusal_is_written_once_more_before_the_next_response(attempt: str, ids: int) -> None:
    async def body(backend: SoakBackend) -> None:
        backend.fault = Fault.repeat_refusal
        received, closed = await exchange(backend, request(attempt), request('s8'))
        first, second, third = received.split(b'HTTP/1.1 ')[1:]
        assert (first[:3], second[:3], third[:3]) == (b'503', b'503', b'200')
        id_line = f'{names.ATTEMPT_ID}: {attempt}\r\n'.encode()
        assert received.count(id_line) == ids
        assert (closed, id_line in first) == (False, True)
        assert [one.refused for one in backend.executions] == [True, False]

    run(body)


@pytest.mark.parametrize('attempt', [f's{number}' for number in range(8)])
def test_stream_that_is_broken_off_is_no_whole_one_and_the_engine_goes_on(attempt: str) -> None:
    async def body(backend: SoakBackend) -> None:
        backend.fault = Fault.break_off
        received, closed = await exchange(backend, request(attempt))
        assert closed
        whole = b''.join(stream_event(attempt, number, WORK) for number in range(1, 6))
        content = received.partition(b'\r\n\r\n')[2]
        assert whole.startswith(content)
        assert backend.executions[0].broke_off == (content != whole)
        backend.fault = Fault.none
        assert (await exchange(backend, request(attempt)))[0].endswith(b'0\r\n\r\n')

    run(body)
