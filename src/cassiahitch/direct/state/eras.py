"""Eras of the store: each restore from an older copy begins a new one.

Row versions go back with a restore and are reused, so that versions of two eras cannot be compared.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.state.feed import TableSnapshot
from cassiahitch.stores.api import NO_ERA

if TYPE_CHECKING:
    from cassiahitch.direct.state.feed import Reply

#: Seconds after a restore within which the operator has written its declarations again.
ERA_SETTLE_S = 3.0
#: Longest delay in seconds before a process writes its rows again, so that not all write at once.
REWRITE_JITTER_S = 1.0
#: Era of a store that was never restored.
FIRST_ERA = 0


@dataclass(slots=True)
class StoreEra:
    """Latest era that this process knows, from responses of the store or from other processes."""

    latest: int = NO_ERA
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def observe(self, era: int) -> None:
        """Record an era, and wake those who wait for a newer one.

        :param era: the era, ``NO_ERA`` if it is unknown.
        """
        if era > self.latest:
            self.latest = era
            self.changed.set()
            self.changed = asyncio.Event()

    async def wait_newer(self, era: int, timeout_s: float) -> bool:
        """Wait until an era is known that is newer than a given one.

        :param era: the given era.
        :param timeout_s: longest time to wait, in seconds.
        :return: whether a newer one is known.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.latest <= era:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True


@dataclass(slots=True)
class EraSettlement:
    """Decides whether reads of the declarations confirm that they are the newest ones.

    Load pattern: the store comes back from a copy that lacks the last changes of the operator, and
    confirms that older state until the operator has written again. ``began_at`` is when this
    process learned of the era, in seconds of the boot clock. ``first_version`` is the version of
    the first snapshot of the declarations in that era.
    """

    era: int = NO_ERA
    began_at: float = float('-inf')
    first_version: int | None = None
    is_configuration_written: bool = False

    def observe(self, era: int, now: float) -> None:
        """Record the era of a reply.

        :param era: the era, ``NO_ERA`` if it is unknown.
        :param now: current time of the boot clock in seconds.
        """
        if era > self.era:
            self.era = era
            self.began_at = now
            self.first_version = None
            self.is_configuration_written = False

    def observe_declarations(self, reply: Reply, now: float) -> None:
        """Record a reply with declarations of the operator.

        :param reply: the reply.
        :param now: current time of the boot clock in seconds.
        """
        self.observe(reply.era, now)
        if isinstance(reply, TableSnapshot) and self.first_version is None:
            self.first_version = reply.version

    def record_configuration(self, row_version: int) -> None:
        """Record a row with the configuration that was read.

        A row that is newer than the first snapshot was written in this era.

        :param row_version: version of the row.
        """
        if self.first_version is not None and row_version > self.first_version:
            self.is_configuration_written = True

    def is_settled(self, at: float) -> bool:
        """Return whether the operator had written again what the restore lost.

        :param at: a time of the boot clock in seconds.
        :return: whether the state of the store at that time was the newest one.
        """
        if self.era <= FIRST_ERA or self.is_configuration_written:
            return True
        return at - self.began_at >= ERA_SETTLE_S


__all__ = (
    'ERA_SETTLE_S',
    'FIRST_ERA',
    'REWRITE_JITTER_S',
    'EraSettlement',
    'StoreEra',
)
