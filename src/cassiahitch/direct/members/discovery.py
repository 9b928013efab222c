"""Entries find each other through rows of a table of their own."""

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

#: Seconds between two reads of the table, and between tries while the store is away.
POLL_INTERVAL_S = 20.0
RETRY_INTERVAL_S = 1.0


class EntryRow(BaseModel):
    """What an entry writes of itself."""

    region: str


@dataclass(slots=True)
class Discovery:
    """Writes the own row once and reads those of others; heartbeats tell who lives."""

    platform: EntryPlatform
    entry_state: EntryState
    settings: DirectEntrySettings
    rng: random.Random

    async def work(self) -> None:
        """Read the table again and again until cancelled."""
        written = False
        while True:
            written = written or await self.write()
            found = await self.read()
            pause_s = POLL_INTERVAL_S if written and found else RETRY_INTERVAL_S
            await asyncio.sleep(pause_s * self.rng.uniform(0.8, 1.2))

    async def write(self) -> bool:
        """Write the own row.

        :return: whether it was written.
        """
        content = EntryRow(region=self.settings.region).model_dump_json().encode()
        write = Write(self.platform.tables.entries, self.settings.address, content)
        try:
            await self.platform.store.commit((), (write,))
        except PlatformError:
            # The heartbeats to the seeds tell others as well; it is tried again.
            return False
        return True

    async def read(self) -> bool:
        """Learn the addresses of other entries.

        :return: whether the store answered.
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
        # An entry whose row does not name its region is asked for it.
        return ''


__all__ = ('Discovery',)
