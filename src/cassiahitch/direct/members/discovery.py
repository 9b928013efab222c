"""Discovery of entries: each one registers a row in a table of the store."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import BaseModel, ValidationError

from cassiahitch.direct.state.feed import TableSnapshot
from cassiahitch.errors import PlatformError
from cassiahitch.stores.api import Write

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
    """Writes the row of this entry once, and polls those of other entries.

    The rows only give addresses to contact; heartbeats show which entries are alive.
    """

    platform: EntryPlatform
    entry_state: EntryState
    settings: DirectEntrySettings
    rng: random.Random

    async def work(self) -> None:
        """Register this entry and poll the table until cancelled."""
        registered = False
        while True:
            registered = registered or await self.register()
            updated = await self.read_addresses()
            pause_s = POLL_INTERVAL_S if registered and updated else RETRY_INTERVAL_S
            await asyncio.sleep(pause_s * self.rng.uniform(0.8, 1.2))

    async def register(self) -> bool:
        """Write the row of this entry.

        :return: whether it was written.
        """
        content = EntryRow(region=self.settings.region).model_dump_json().encode()
        write = Write(self.platform.tables.entries, self.settings.address, content)
        try:
            await self.platform.store.commit((), (write,))
        except PlatformError:
            # Retried later; until then, other entries discover this one by its heartbeats to seeds.
            return False
        return True

    async def read_addresses(self) -> bool:
        """Read the addresses of other entries.

        :return: whether the store replied.
        """
        reply = await self.platform.store.read_all(self.platform.tables.entries)
        if not isinstance(reply, TableSnapshot):
            return False
        addresses = {row.key: _region(row.content) for row in reply.rows}
        self.entry_state.members.registry.add_addresses(
            addresses, asyncio.get_running_loop().time()
        )
        return True


def _region(content: bytes | None) -> str:
    try:
        return EntryRow.model_validate_json(content or b'').region
    except ValidationError:
        # The entry at that address is contacted, and reports its region.
        return ''


__all__ = ('Discovery',)
