"""Removal of expired claims from the table service while this entry holds the lease."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cassiahitch.errors import PlatformError
from cassiahitch.ledger.sweep import (
    PageFailed,
    PageScanned,
    RemovalEnded,
    RemoveRows,
    RetentionSweep,
    ScanPage,
    SweepLimits,
    SweepTick,
)
from cassiahitch.metrics.names import CounterName, GaugeName
from cassiahitch.stores.api import CommitSuccess

if TYPE_CHECKING:
    from cassiahitch.entry.leadership import Leadership
    from cassiahitch.ledger.sweep import SweepAction, SweepMessage
    from cassiahitch.stores.api import TableService
    from cassiahitch.wire.node import Node

#: Seconds between checks whether the next page is due.
POLL_INTERVAL_S = 0.1


class RetentionDriver:
    """Performs the actions of the retention sweep, one call to the table service at a time."""

    def __init__(
        self,
        node: Node,
        tables: TableService,
        limits: SweepLimits | None = None,
    ) -> None:
        """Create the driver; the sweep starts at the first row.

        :param node: this process.
        :param tables: the table service.
        :param limits: rate of the sweep and age of the removed rows; the defaults if ``None``.
        """
        self.node = node
        self.tables = tables
        self.sweep = RetentionSweep(random.Random(node.incarnation), limits)

    async def work(self, leadership: Leadership) -> None:
        """Sweep until cancelled.

        :param leadership: nothing is done while it does not hold the lease.
        """
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if leadership.is_held:
                await self.step()

    async def step(self) -> None:
        """Read the next page if it is due, and remove its expired claims."""
        pending: list[SweepMessage] = [SweepTick(self.node.clock.wall())]
        while pending:
            actions = self.sweep.handle(pending.pop(), self.node.clock.monotonic())
            pending += [await self._perform(action) for action in actions]
        self.node.metrics.gauge(GaugeName.unknown_keys, len(self.sweep.unknown_keys))

    async def _perform(self, action: SweepAction) -> SweepMessage:
        match action:
            case ScanPage():
                return await self._scan(action)
            case RemoveRows():
                return await self._remove(action)

    async def _scan(self, action: ScanPage) -> SweepMessage:
        try:
            rows = await self.tables.scan(action.table, '', action.after, action.limit)
        except PlatformError:
            return PageFailed()
        return PageScanned(rows, self.node.clock.wall())

    async def _remove(self, action: RemoveRows) -> SweepMessage:
        try:
            outcome = await self.tables.commit(action.conditions, action.writes)
        except PlatformError:
            return RemovalEnded(committed=False)
        committed = isinstance(outcome, CommitSuccess)
        if committed:
            self.node.metrics.count(CounterName.claims_swept, by=len(action.writes))
        return RemovalEnded(committed)


__all__ = ('RetentionDriver',)
