"""Tests that work which takes long is done in turns, and that no turn is kept for a closed client.

They guard against a crowd whose headers of many short fields stayed in memory after their
connections had been closed, since new ones came faster than turns.
"""

from __future__ import annotations

import asyncio

import pytest
from tornado.iostream import StreamClosedError

from cassiahitch.direct.connections.turns import Turns


def test_turns_are_given_in_order_and_other_tasks_run_between_them() -> None:
    events: list[str] = []

    async def work(turns: Turns, name: str) -> None:
        await turns.wait()
        events.append(name)

    async def body() -> None:
        turns = Turns()
        tasks = [asyncio.create_task(work(turns, name)) for name in 'abc']
        while not all(task.done() for task in tasks):
            events.append('-')
            await asyncio.sleep(0)

    asyncio.run(body())
    assert ''.join(events).replace('-', '') == 'abc'
    assert not {'ab', 'bc'} & {''.join(pair) for pair in zip(events, events[1:], strict=False)}


def test_dropped_turn_fails_at_once_and_delays_no_other() -> None:
    async def body() -> None:
        turns = Turns()
        dropped, kept = turns.wait(), turns.wait()
        turns.drop(dropped, StreamClosedError())
        assert list(turns.waiting) == [kept]
        with pytest.raises(StreamClosedError):
            await dropped
        await kept
        assert not turns.waiting
        turns.drop(kept, StreamClosedError())
        await turns.wait()

    asyncio.run(body())


def test_cancelled_wait_gives_the_turn_to_the_next() -> None:
    async def body() -> None:
        turns = Turns()
        first = asyncio.ensure_future(turns.wait())
        second = turns.wait()
        first.cancel()
        await second
        assert not turns.waiting

    asyncio.run(body())
