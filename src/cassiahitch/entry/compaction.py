"""Deletes old rows of the change log while this entry holds the controllers' lease."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    import random

    from cassiahitch.controllers.store import ConfigurationStore
    from cassiahitch.entry.leadership import Leadership

#: Number of changes that are kept, about those of one day.
RETAINED_CHANGES = 20_000
#: Maximum number of rows that one transaction deletes.
BATCH_ROWS = 100
#: Maximum time between two transactions, in seconds.
MAX_INTERVAL_S = 30.0


async def compact_changes(
    store: ConfigurationStore,
    leadership: Leadership,
    rng: random.Random,
) -> None:
    """Delete old changes at a bounded rate until cancelled.

    A failed transaction is retried in the next interval.

    :param store: the configuration in the table service.
    :param leadership: nothing is done while it does not hold the lease.
    :param rng: jitter of the interval.
    """
    while True:
        await asyncio.sleep(MAX_INTERVAL_S * rng.uniform(1 / 2, 1))
        if leadership.is_held:
            with suppress(CassiahitchError):
                await store.compact(RETAINED_CHANGES, BATCH_ROWS)


__all__ = ('compact_changes',)
