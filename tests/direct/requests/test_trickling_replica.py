"""Bytes without progress are no news: stalled answers end, slow but sound ones don't."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Iterator
from contextlib import contextmanager, suppress
from itertools import repeat
from typing import Any

import pytest
from sent_requests import EVENT, LIMIT_S, Sent
from virtual_loop import virtual_time

from cassiahitch.direct.api import Answered
from cassiahitch.direct.backends.attempt import Delivered, Lost, Outcome

STREAM = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
END = b'0\r\n\r\n'
BODY = b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n'
INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
#: Bytes that come now and then from a backend server that is stuck.
COMMENT = b': still here\n\n'
#: Seconds between the pieces of a trickle, and after which a stalled answer is left at the latest.
EVERY_S = (LIMIT_S / 40, LIMIT_S / 2)
LEFT_S = 4 * LIMIT_S


def played(body: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with virtual_time() as runner:
        runner.run(body())


def chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


async def trickle(sent: Sent, start: bytes, piece: bytes, every_s: float) -> None:
    sent.theirs.send(start)
    with suppress(OSError):
        while True:
            await asyncio.sleep(every_s)
            sent.theirs.send(piece)


@contextmanager
def trickling(sent: Sent, start: bytes, piece: bytes, every_s: float) -> Iterator[None]:
    task = asyncio.create_task(trickle(sent, start, piece, every_s))
    try:
        yield
    finally:
        task.cancel()


async def stalled(sent: Sent, start: bytes, piece: bytes, every_s: float) -> Outcome:
    with trickling(sent, start, piece, every_s):
        async with asyncio.timeout(LEFT_S):
            return await sent.run_exchange()


@pytest.mark.parametrize('every_s', EVERY_S)
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
def test_stream_that_trickles_without_an_event_is_left(
    start: bytes, piece: bytes, every_s: float
) -> None:
    async def body() -> None:
        outcome = await stalled(Sent('stream'), start, piece, every_s)
        assert isinstance(outcome, Lost)
        assert outcome.stalled

    played(body)


@pytest.mark.parametrize('every_s', EVERY_S)
def test_whole_answer_that_trickles_is_left(every_s: float) -> None:
    async def body() -> None:
        outcome = await stalled(Sent(), BODY, b'x', every_s)
        assert isinstance(outcome, Lost)
        assert outcome.stalled

    played(body)


def test_interim_heads_are_no_progress() -> None:
    async def body() -> None:
        outcome = await stalled(Sent(), INTERIM, INTERIM, LIMIT_S / 2)
        assert isinstance(outcome, Lost)
        assert outcome.stalled

    played(body)


def test_trickling_backend_server_is_kept_while_there_is_nowhere_else() -> None:
    async def body() -> None:
        sent = Sent('stream')
        asked = []

        async def reserve() -> bool:
            asked.append(asyncio.get_running_loop().time())
            return False

        sent.stream.reserve = reserve
        with trickling(sent, STREAM, chunk(COMMENT), LIMIT_S / 10):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(10 * LIMIT_S):
                    await sent.run_exchange()
        # Looked for again and again, though not with each byte.
        assert 2 <= len(asked) <= 12

    played(body)


async def followed(
    sent: Sent, start: bytes, pieces: Iterable[bytes], every_s: float, end: bytes = END
) -> Outcome:
    """Follow an answer that comes piece by piece to its end."""

    async def answer() -> None:
        sent.theirs.send(start)
        for piece in pieces:
            await asyncio.sleep(every_s)
            sent.theirs.send(piece)
        sent.theirs.send(end)

    answering = asyncio.create_task(answer())
    outcome = await sent.run_exchange()
    await answering
    return outcome


def test_slow_but_sound_stream_is_followed_to_its_end() -> None:
    async def body() -> None:
        sent = Sent('stream')

        outcome = await followed(sent, STREAM, repeat(chunk(EVENT), 8), LIMIT_S / 2)
        assert isinstance(outcome, Delivered)
        assert (sent.caller.got, sent.asked) == (8 * EVENT, 0)

    played(body)


def test_large_event_that_comes_steadily_is_progress() -> None:
    async def body() -> None:
        sent = Sent('stream')
        large = b'data: %b\n\n' % (b'x' * 20_000)
        pieces = [chunk(large[start : start + 1_000]) for start in range(0, len(large), 1_000)]
        outcome = await followed(sent, STREAM, pieces, LIMIT_S / 10)
        assert isinstance(outcome, Delivered)
        assert (sent.caller.got, sent.asked) == (large, 0)

    played(body)


def test_caller_that_reads_slowly_is_no_silence_of_the_backend_server() -> None:
    async def body() -> None:
        sent = Sent('stream')
        write = sent.caller.write_body

        async def slowly(data: bytes) -> None:
            await asyncio.sleep(2 * LIMIT_S)
            await write(data)

        sent.caller.write_body = slowly  # type: ignore[method-assign]
        every_s = 2 * LIMIT_S + LIMIT_S / 4
        outcome = await followed(sent, STREAM + chunk(EVENT), repeat(chunk(EVENT), 3), every_s)
        assert isinstance(outcome, Delivered)
        assert (sent.caller.got, sent.asked) == (4 * EVENT, 0)

    played(body)


def test_short_answer_in_pieces_within_the_bound_is_sound() -> None:
    async def body() -> None:
        sent = Sent()
        start = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'
        outcome = await followed(sent, start, repeat(b'x', 4), LIMIT_S / 8, end=b'')
        assert isinstance(outcome, Answered)
        assert (outcome.body, sent.asked) == (b'xxxx', 0)

    played(body)
