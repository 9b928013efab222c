"""Discovery of entries: each one registers a row in a table of the store."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import BaseModel, ValidationError

from cassiahitch.direct.state.eras import REWRITE_JITTER_S
from cassiahitch.direct.state.feed import TableSnapshot
from cassiahitch.errors import PlatformError
from cassiahitch.stores.api import CommitSuccess, Write

if TYPE_CHECKING:
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.platformapi import EntryPlatform
    from cassiahitch.settings.direct import DirectEntrySettings

#: Seconds between two reads of the table, and between retries while the store is unavailable.
POLL_INTERVAL_S = 20.0
RETRY_INTERVAL_S = 1.0


class EntryRow(BaseModel):
    """Content of the row of an entry."""

    region: str


@dataclass(slots=True)
class Discovery:
    """Writes the row of this entry once in each era of the store, and polls those of other entries.

    The rows only give addresses to contact; heartbeats show which entries are alive.
    ``registered_era`` is the era in which the row was written, None before the first time.
    """

    platform: EntryPlatform
    entry_state: EntryState
    settings: DirectEntrySettings
    rng: random.Random
    registered_era: int | None = None

    async def work(self) -> None:
        """Register this entry and poll the table until cancelled."""
        while True:
            registered = self.is_registered() or await self.register()
            updated = await self.read_addresses()
            pause_s = POLL_INTERVAL_S if registered and updated else RETRY_INTERVAL_S
            await self.pause(pause_s * self.rng.uniform(0.8, 1.2), is_registered=registered)

    async def pause(self, pause_s: float, *, is_registered: bool) -> None:
        """Wait until the next poll, at most until a short time after a restore of the store.

        :param pause_s: seconds until the next poll.
        :param is_registered: whether the row of this entry was written.
        """
        era = self.registered_era
        if not is_registered or era is None:
            await asyncio.sleep(pause_s)
        elif await self.platform.store.era.wait_newer(era, pause_s):
            await asyncio.sleep(self.rng.uniform(0, REWRITE_JITTER_S))

    def is_registered(self) -> bool:
        """Return whether the row of this entry was written in the latest era of the store.

        :return: False if a restore may have lost it.
        """
        era = self.registered_era
        return era is not None and era >= self.platform.store.era.latest

    async def register(self) -> bool:
        """Write the row of this entry.

        :return: whether it was written.
        """
        content = EntryRow(region=self.settings.region).model_dump_json().encode()
        write = Write(self.platform.tables.entries, self.settings.address, content)
        era = self.platform.store.era.latest
        try:
            outcome = await self.platform.store.commit((), (write,))
        except PlatformError:
            # Retried later; until then, other entries discover this one by its heartbeats to seeds.
            return False
        if isinstance(outcome, CommitSuccess):
            self.registered_era = max(era, outcome.era)
        return self.is_registered()

    async def read_addresses(self) -> bool:
        """Read the addresses of other entries.

        :return: whether the store replied.
        """
        reply = await self.platform.store.read_all(self.platform.tables.entries)
        if not isinstance(reply, TableSnapshot):
            return False
        addresses = {row.key: region_of_entry(row.content) for row in reply.rows}
        self.entry_state.members.registry.add_addresses(
            addresses, asyncio.get_running_loop().time()
        )
        return True


def region_of_entry(content: bytes | None) -> str:
    """Return the region of an entry.

    :param content: content of its row.
    :return: the region, empty if the row cannot be decoded.
    """
    try:
        return EntryRow.model_validate_json(content or b'').region
    except ValidationError:
        # The entry at that address is contacted, and reports its region.
        return ''


__all__ = ('Discovery', 'region_of_entry')
