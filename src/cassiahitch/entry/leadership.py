"""Acquisition and renewal of the lease under which one entry runs the controllers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cassiahitch.controllers.lease import (
    CONTROLLERS_LEASE,
    TABLE,
    CommitLease,
    Lease,
    LeaseAcquired,
    LeaseLost,
    LeaseRead,
    LeaseReply,
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

#: Seconds between two polls of the lease.
POLL_INTERVAL_S = 0.1


class Leadership:
    """Performs the actions of the lease on the table service, and records its changes."""

    def __init__(self, node: Node, tables: TableService, on_acquired: Callable[[], None]) -> None:
        """Create a candidate for the lease.

        :param node: this process.
        :param tables: the table service.
        :param on_acquired: called when this entry has acquired the lease for a new term.
        """
        self.node = node
        self.tables = tables
        self.on_acquired = on_acquired
        self.term = 0
        holder = incarnation_name(node.settings.name, node.incarnation)
        self.lease = Lease(CONTROLLERS_LEASE, holder, random.Random(node.incarnation))

    @property
    def is_held(self) -> bool:
        """Whether this entry holds the lease now, and so may act as controller."""
        return self.lease.is_held(self.node.clock.monotonic())

    async def work(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            await self._perform(self.lease.poll(self.node.clock.monotonic()))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def resign(self) -> None:
        """Release the lease."""
        await self._perform(self.lease.resign(self.node.clock.monotonic()))

    async def _perform(self, actions: tuple[LeaseAction, ...]) -> None:
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            match action:
                case ReadLease() | CommitLease():
                    event = await self._call_store(action)
                    pending += self.lease.handle(event, self.node.clock.monotonic())
                case LeaseAcquired(fencing_number=fencing_number):
                    self._begin_term(fencing_number)
                case LeaseLost(fencing_number=fencing_number):
                    self._record(EventKind.lease_lost, fencing_number, is_held=False)

    def _begin_term(self, fencing_number: int) -> None:
        if fencing_number == self.term:
            return
        self.term = fencing_number
        self.node.metrics.count(CounterName.leases_acquired)
        self._record(EventKind.lease_acquired, fencing_number, is_held=True)
        self.on_acquired()

    def _record(self, kind: EventKind, fencing_number: int, *, is_held: bool) -> None:
        self.node.metrics.gauge(GaugeName.leases_held, int(is_held))
        self.node.timeline.record(kind, detail=f'fencing number {fencing_number}')

    async def _call_store(self, action: ReadLease | CommitLease) -> LeaseRead | LeaseReply:
        try:
            match action:
                case ReadLease(attempt=attempt, key=key):
                    return LeaseRead(attempt, await self.tables.read(TABLE, key))
                case CommitLease(attempt=attempt, condition=condition, write=write):
                    outcome = await self.tables.commit((condition,), (write,))
                    return LeaseReply(attempt, outcome)
        except PlatformError:
            return LeaseReply(action.attempt, None)


__all__ = ('Leadership',)
