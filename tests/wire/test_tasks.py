"""Tests of the detection of failed background tasks."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from cassiahitch.wire.tasks import ProcessTasks


async def run_forever() -> None:
    await asyncio.Event().wait()


async def fail_at_once() -> None:
    raise ValueError('an error in the task')


async def run_until_closed(*, failing: bool) -> tuple[bool, bool]:
    """Return whether a failure was recorded while the tasks ran, and after they were cancelled."""
    tasks = ProcessTasks()
    async with AsyncExitStack() as stack:
        tasks.start((run_forever(), fail_at_once() if failing else run_forever()), stack)
        for _ in range(3):
            await asyncio.sleep(0)
        has_failed = tasks.failed.is_set()
    await asyncio.sleep(0)
    return has_failed, tasks.failed.is_set()


@pytest.mark.parametrize('failing', [True, False], ids=['one-fails', 'none-fails'])
def test_failed_task_is_noticed_and_a_cancelled_one_is_no_failure(*, failing: bool) -> None:
    assert asyncio.run(run_until_closed(failing=failing)) == (failing, failing)
