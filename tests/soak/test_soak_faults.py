"""Tests of the faults of the soak, whose events overlap."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from virtual_loop import virtual_time

from cassiahitch.soak.events import Declaration, Declare, Event
from cassiahitch.soak.faults import FaultInjector
from cassiahitch.soak.records import ReplicaLeft

DRAIN_S = 2.0
#: Longer than two replacements take one after the other, in seconds.
TIMEOUT_S = 60.0


class DrainedSite:
    """A site with one replica, which has requests unless it is draining."""

    def __init__(self) -> None:
        self.replica = SimpleNamespace(id='m-1', running=1, started_at_ms=1, stopping=False)
        self.backends = {'m-1': self.replica}
        self.record = SimpleNamespace(
            changes=[], disturbances=[], events=[], bounds=SimpleNamespace(drain_s=DRAIN_S)
        )
        self.store = SimpleNamespace(remove=lambda _table, _key: None)

    def register(self, _name: str, state: str = 'ready') -> None:
        """Send requests to the replica, or none any more."""
        self.replica.running = int(state == 'ready')


async def run_no_load(_seconds: float) -> None:
    """Run no additional callers."""


def test_replica_whose_replacements_overlap_is_replaced_once() -> None:
    """A second drain would wait for the requests that came back after the first one."""
    site: Any = DrainedSite()
    plan: tuple[Event, ...] = (
        Declare(1, Declaration.drain, 1),
        Declare(3, Declaration.drain, 1),
        Declare(20, Declaration.drain, 1),
    )

    async def body() -> None:
        injector = FaultInjector(site, run_no_load, run_no_load)
        async with asyncio.timeout(TIMEOUT_S):
            await injector.run(plan, asyncio.get_running_loop().time())

    with virtual_time(settle_s=0) as runner:
        runner.run(body())
    assert [
        change.backend for change in site.record.changes if isinstance(change, ReplicaLeft)
    ] == [
        'm-1',
        'm-1x',
    ]
