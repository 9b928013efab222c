"""What ends a process of a role, and what it still does then."""

from __future__ import annotations

import asyncio

import pytest

from cassiahitch.cli import role_runner
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.wire.tasks import ProcessTasks


class FakeProcess:
    """A process one of whose tasks fails at once."""

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


def end_of(process: FakeProcess) -> CassiahitchError:
    with pytest.raises(CassiahitchError) as caught:
        asyncio.run(role_runner.run_until_stopped(process, 'entry-0'))
    return caught.value


def test_process_whose_task_failed_finishes_what_it_has_taken() -> None:
    process = FakeProcess(0.1)
    assert end_of(process).code is Code.internal
    assert process.stopped


def test_process_whose_task_failed_ends_though_its_stop_hangs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(role_runner, 'FAILED_STOP_TIMEOUT_S', 0.1, raising=False)
    process = FakeProcess(60)
    assert end_of(process).code is Code.internal
    assert not process.stopped
