"""The silence of a backend server ends a wait, and nothing that came is lost by it."""

from __future__ import annotations

import asyncio
import time

import pytest
from sent_requests import EVENT, LIMIT_S, Sent, played

from cassiahitch.direct.api import Answered
from cassiahitch.direct.backends.attempt import Delivered, Lost


def test_silent_backend_server_is_left_when_there_is_somewhere_else_to_go() -> None:
    async def body() -> None:
        outcome = await Sent().run_exchange()
        assert isinstance(outcome, Lost)
        assert outcome.stalled

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
        outcome = await sent.run_exchange()
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
        outcome = await sent.run_exchange()
        assert isinstance(outcome, Delivered)
        assert (sent.stream.splitter.last_event_id, sent.caller.got) == ('1', EVENT)
        assert sent.asked == 0

    played(body)


def test_event_that_comes_as_a_backend_server_is_left_is_not_taken_as_passed_on() -> None:
    async def body() -> None:
        sent = Sent('stream')

        async def reserve() -> bool:
            sent.theirs.send(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n%b' % EVENT)
            return True

        sent.stream.reserve = reserve
        assert isinstance(await sent.run_exchange(), Lost)
        assert (sent.stream.splitter.last_event_id, sent.caller.got) == ('', b'')

    played(body)
