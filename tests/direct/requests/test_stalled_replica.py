"""A stalled backend server ends an attempt, and no event that was received is lost."""

from __future__ import annotations

import asyncio
import time

import pytest
from sent_requests import EVENT, LIMIT_S, Sent, played

from cassiahitch.direct.api import Answered
from cassiahitch.direct.backends.attempt import Delivered, Lost


def test_stalled_attempt_ends_when_another_assignment_is_available() -> None:
    async def body() -> None:
        outcome = await Sent().run_exchange()
        assert isinstance(outcome, Lost)
        assert outcome.stalled

    played(body)


def test_large_response_that_arrives_steadily_is_not_a_stall() -> None:
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


@pytest.mark.parametrize('loop_iterations', range(8))
def test_stall_of_this_process_is_not_a_stall_of_the_replica_and_loses_no_event(
    loop_iterations: int,
) -> None:
    async def body() -> None:
        sent = Sent('stream')
        loop = asyncio.get_running_loop()
        response = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(EVENT), EVENT)

        def block_loop(remaining: int) -> None:
            if remaining:
                loop.call_soon(block_loop, remaining - 1)
                return
            time.sleep(LIMIT_S * 1.5)

        def answer() -> None:
            sent.theirs.send(response)
            block_loop(loop_iterations)

        loop.call_later(LIMIT_S / 4, answer)
        outcome = await sent.run_exchange()
        assert isinstance(outcome, Delivered)
        assert (sent.stream.splitter.last_event_id, sent.caller.got) == ('1', EVENT)
        assert sent.asked == 0

    played(body)


def test_event_that_arrives_as_the_attempt_ends_is_not_counted_as_forwarded() -> None:
    async def body() -> None:
        sent = Sent('stream')

        async def reserve() -> bool:
            sent.theirs.send(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n%b' % EVENT)
            return True

        sent.stream.reserve = reserve
        assert isinstance(await sent.run_exchange(), Lost)
        assert (sent.stream.splitter.last_event_id, sent.caller.got) == ('', b'')

    played(body)
