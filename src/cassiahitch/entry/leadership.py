"""Holds or waits for the lease of the controllers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cassiahitch.controllers.lease import (
    CONTROLLERS,
    TABLE,
    CommitLease,
    Gained,
    Lease,
    LeaseAnswer,
    LeaseRead,
    Lost,
    ReadLease,
)
from cassiahitch.errors import PlatformError
from cassiahitch.metrics.names import CounterName, GaugeName
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire.node import incarnation_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.controllers.lease import LeaseAction
    from cassiahitch.stores.api import TableService
    from cassiahitch.wire.node import Node

#: Seconds between looks at what is due.
TICK_S = 0.1


class Leadership:
    """Drives the lease over the table service."""

    def __init__(self, node: Node, tables: TableService, on_gained: Callable[[], None]) -> None:
        """Create a candidate.

        :param node: this process.
        :param tables: the table service.
        :param on_gained: called when the lease came to this entry in a new term.
        """
        self.node = node
        self.tables = tables
        self.on_gained = on_gained
        self.term = 0
        holder = incarnation_name(node.settings.name, node.incarnation)
        self.lease = Lease(CONTROLLERS, holder, random.Random(node.incarnation))

    @property
    def is_held(self) -> bool:
        """Whether this entry may act as controller right now."""
        return self.lease.held(self.node.clock.monotonic())

    async def run(self) -> None:
        """Acquire and renew until cancelled."""
        while True:
            await self._perform(self.lease.poll(self.node.clock.monotonic()))
            await asyncio.sleep(TICK_S)

    async def resign(self) -> None:
        """Give the lease up."""
        await self._perform(self.lease.resign(self.node.clock.monotonic()))

    async def _perform(self, actions: tuple[LeaseAction, ...]) -> None:
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            match action:
                case ReadLease() | CommitLease():
                    answer = await self._ask(action)
                    pending += self.lease.handle(answer, self.node.clock.monotonic())
                case Gained(fencing_number=number):
                    self._gained(number)
                case Lost(fencing_number=number):
                    self._note(EventKind.lease_lost, number, held=False)

    def _gained(self, number: int) -> None:
        if number == self.term:
            return
        self.term = number
        self.node.metrics.count(CounterName.leases_acquired)
        self._note(EventKind.lease_acquired, number, held=True)
        self.on_gained()

    def _note(self, kind: EventKind, number: int, *, held: bool) -> None:
        self.node.metrics.gauge(GaugeName.leases_held, int(held))
        self.node.timeline.record(kind, detail=f'fencing number {number}')

    async def _ask(self, action: ReadLease | CommitLease) -> LeaseRead | LeaseAnswer:
        try:
            match action:
                case ReadLease(attempt=attempt, key=key):
                    return LeaseRead(attempt, await self.tables.read(TABLE, key))
                case CommitLease(attempt=attempt, condition=condition, write=write):
                    outcome = await self.tables.commit((condition,), (write,))
                    return LeaseAnswer(attempt, outcome)
        except PlatformError:
            return LeaseAnswer(action.attempt, None)


__all__ = ('Leadership',)
