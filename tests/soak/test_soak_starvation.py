"""Slow-downs of processes are noted from the kernel's figures."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

import pytest

from cassiahitch.soak.records import SOAK, Record
from cassiahitch.soak.starvation import StarvationMonitor, read_cpu_wait_s

READ_CPU_WAIT = 'cassiahitch.soak.starvation.read_cpu_wait_s'


def look_twice(monkeypatch: pytest.MonkeyPatch, waited_s: Callable[[int], float]) -> Record:
    async def look() -> Record:
        record = Record()
        watch = StarvationMonitor(record, lambda: {'entry-0': 1})
        watch.sample()
        watch.sampled_at = asyncio.get_running_loop().time() - 1
        monkeypatch.setattr(READ_CPU_WAIT, waited_s)
        watch.sample()
        return record

    monkeypatch.setattr(READ_CPU_WAIT, lambda _: 5.0)
    return asyncio.run(look())


def test_process_that_waited_most_of_the_time_was_slowed_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    record = look_twice(monkeypatch, lambda process: 5.9 if process == 1 else 5.1)
    assert [one.target for one in record.slow_downs] == ['entry-0']


def test_process_that_waited_little_was_not(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not look_twice(monkeypatch, lambda _: 5.3).slow_downs


def test_own_process_is_watched_as_well(monkeypatch: pytest.MonkeyPatch) -> None:
    record = look_twice(monkeypatch, lambda process: 6.0 if process == os.getpid() else 5.0)
    assert [one.target for one in record.slow_downs] == [SOAK]


def test_process_that_is_gone_has_not_waited() -> None:
    assert not read_cpu_wait_s(2**22 + 1)
    assert isinstance(read_cpu_wait_s(os.getpid()), float)
