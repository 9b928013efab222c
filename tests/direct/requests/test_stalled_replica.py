"""A stalled backend server ends an attempt, and no event that was received is lost."""

from __future__ import annotations

import asyncio
import time

import pytest
from sent_requests import EVENT, STALL_TIMEOUT_S, ScriptedBackend, run_test

from cassiahitch.direct.api import Answered
from cassiahitch.direct.backends.outcomes import Delivered, Lost


def test_stalled_attempt_ends_when_another_assignment_is_available() -> None:
    async def body() -> None:
        outcome = await ScriptedBackend().run_exchange()
        assert isinstance(outcome, Lost)
        assert outcome.stalled

    run_test(body)


def test_large_response_that_arrives_steadily_is_not_a_stall() -> None:
    async def body() -> None:
        backend = ScriptedBackend()

        async def respond() -> None:
            backend.backend_socket.send(b'HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n')
            for _ in range(20):
                await asyncio.sleep(STALL_TIMEOUT_S / 10)
                backend.backend_socket.send(b'x' * 1000)

        responding = asyncio.create_task(respond())
        outcome = await backend.run_exchange()
        await responding
        assert isinstance(outcome, Answered)

    run_test(body)


@pytest.mark.parametrize('loop_iterations', range(8))
def test_stall_of_this_process_is_not_a_stall_of_the_replica_and_loses_no_event(
    loop_iterations: int,
) -> None:
    async def body() -> None:
        backend = ScriptedBackend('stream')
        loop = asyncio.get_running_loop()
        response = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(EVENT), EVENT)

        def block_loop(remaining: int) -> None:
            if remaining:
                loop.call_soon(block_loop, remaining - 1)
                return
            time.sleep(STALL_TIMEOUT_S * 1.5)

        def respond() -> None:
            backend.backend_socket.send(response)
            block_loop(loop_iterations)

        loop.call_later(STALL_TIMEOUT_S / 4, respond)
        outcome = await backend.run_exchange()
        assert isinstance(outcome, Delivered)
        assert (backend.stream.splitter.last_event_id, backend.caller.received) == ('1', EVENT)
        assert backend.reservation_count == 0

    run_test(body)


def test_event_that_arrives_as_the_attempt_ends_is_not_counted_as_forwarded() -> None:
    async def body() -> None:
        backend = ScriptedBackend('stream')

        async def reserve() -> bool:
            backend.backend_socket.send(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n%b' % EVENT)
            return True

        backend.stream.reserve = reserve
        assert isinstance(await backend.run_exchange(), Lost)
        assert (backend.stream.splitter.last_event_id, backend.caller.received) == ('', b'')

    run_test(body)
