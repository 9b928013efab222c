"""Deletes old change rows while this entry holds the lease."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    import random

    from cassiahitch.controllers.store import ConfigurationStore
    from cassiahitch.entry.leadership import Leadership

#: Changes that are kept, about a day of them.
KEEP_CHANGES = 20_000
#: Rows that one transaction deletes at most.
ROWS = 100
#: Longest time between two transactions, in seconds.
INTERVAL_S = 30.0


async def compact_changes(
    store: ConfigurationStore,
    leadership: Leadership,
    rng: random.Random,
) -> None:
    """Compact until cancelled, at a bounded rate; an outage only delays it.

    :param store: the configuration in the table service.
    :param leadership: tells whether this entry may act.
    :param rng: spreads the moments.
    """
    while True:
        await asyncio.sleep(INTERVAL_S * rng.uniform(1 / 2, 1))
        if leadership.is_held:
            with suppress(CassiahitchError):
                await store.compact(KEEP_CHANGES, ROWS)


__all__ = ('compact_changes',)
