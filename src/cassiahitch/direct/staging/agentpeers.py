"""Entries that an agent reads from, and asks for newer declarations, at its start."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.members.discovery import region_of_entry
from cassiahitch.direct.state.feed import TableSnapshot
from cassiahitch.util.endpoints import Endpoint, is_ip_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cassiahitch.direct.api import TableStore
    from cassiahitch.settings.direct import DirectAgentSettings

#: Entries that are asked in a round for newer declarations.
PEERS = 4
#: Entries of the own region that are asked in a round for a complete table, one after the other.
START_READERS = 2


@dataclass(slots=True)
class AgentPeers:
    """Finds entries by their queries, and by the table in which they register.

    ``settings`` are those of the agent, and ``entries`` returns the endpoints of entries that have
    sent a query. ``regions`` holds the registered entries and their regions by IP address.
    """

    store: TableStore
    table: str
    settings: DirectAgentSettings
    entries: Callable[[], Iterable[Endpoint]]
    rng: random.Random
    regions: dict[str, str] = field(default_factory=dict)

    async def choose(self) -> tuple[str, ...]:
        """Choose entries to ask.

        :return: their IP addresses.
        """
        addresses = {entry.address for entry in self.entries()}
        if len(addresses) < PEERS:
            await self.read_registered()
            addresses.update(self.regions)
        return tuple(self.rng.sample(sorted(addresses), min(PEERS, len(addresses))))

    async def start_readers(self) -> tuple[Endpoint, ...]:
        """Choose entries of the own region to read complete tables from.

        :return: their endpoints, none if no entry is registered there.
        """
        if not self.regions:
            await self.read_registered()
        own = self.settings.region
        near = sorted(address for address, region in self.regions.items() if region == own)
        chosen = self.rng.sample(near, min(START_READERS, len(near)))
        return tuple(Endpoint(address, self.settings.peer_port) for address in chosen)

    async def read_registered(self) -> None:
        """Read which entries are registered in the store; without a reply, none are added."""
        reply = await self.store.read_all(self.table)
        rows = reply.rows if isinstance(reply, TableSnapshot) else ()
        self.regions.update(
            {row.key: region_of_entry(row.content) for row in rows if is_ip_address(row.key)}
        )


__all__ = ('AgentPeers',)
