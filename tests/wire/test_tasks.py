"""Tests of the tasks of a process."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from cassiahitch.wire.tasks import ProcessTasks


async def work_for_ever() -> None:
    await asyncio.Event().wait()


async def work_and_fail() -> None:
    raise ValueError('a fault of the program')


async def run_until_closed(*, failing: bool) -> tuple[bool, bool]:
    """Return whether a failure was noticed while the tasks ran, and after they were cancelled."""
    tasks = ProcessTasks()
    async with AsyncExitStack() as stack:
        tasks.start((work_for_ever(), work_and_fail() if failing else work_for_ever()), stack)
        for _ in range(3):
            await asyncio.sleep(0)
        noticed = tasks.failed.is_set()
    await asyncio.sleep(0)
    return noticed, tasks.failed.is_set()


@pytest.mark.parametrize('failing', [True, False], ids=['one-fails', 'none-fails'])
def test_failed_task_is_noticed_and_a_cancelled_one_is_no_failure(*, failing: bool) -> None:
    assert asyncio.run(run_until_closed(failing=failing)) == (failing, failing)
