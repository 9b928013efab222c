"""Tests of how the process of a role stops after one of its tasks failed."""

from __future__ import annotations

import asyncio

import pytest

from cassiahitch.cli import role_runner
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.wire.tasks import ProcessTasks


class FakeProcess:
    """A process one of whose tasks fails as soon as it starts."""

    def __init__(self, stop_s: float) -> None:
        self.tasks = ProcessTasks()
        self.stop_s = stop_s
        self.stopped = False

    async def start(self) -> None:
        self.tasks.failed.set()

    def ports(self) -> dict[str, int]:
        return {}

    async def stop(self) -> None:
        await asyncio.sleep(self.stop_s)
        self.stopped = True

    def reload(self) -> None:
        raise AssertionError


def run_until_error(process: FakeProcess) -> CassiahitchError:
    with pytest.raises(CassiahitchError) as caught:
        asyncio.run(role_runner.run_until_stopped(process, 'entry-0'))
    return caught.value


def test_process_whose_task_failed_still_stops_gracefully() -> None:
    process = FakeProcess(0.1)
    assert run_until_error(process).code is Code.internal
    assert process.stopped


def test_process_whose_task_failed_ends_even_if_its_stop_hangs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(role_runner, 'FAILED_STOP_TIMEOUT_S', 0.1, raising=False)
    process = FakeProcess(60)
    assert run_until_error(process).code is Code.internal
    assert not process.stopped
