"""Entries that an agent asks for newer declarations at its start."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.state.feed import TableSnapshot
from cassiahitch.util.endpoints import is_ip_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cassiahitch.direct.api import TableStore
    from cassiahitch.util.endpoints import Endpoint

#: Entries that are asked in a round.
PEERS = 4


@dataclass(slots=True)
class AgentPeers:
    """Finds entries by their queries, and by the table in which they register.

    ``entries`` returns the endpoints of entries that have sent a query.
    """

    store: TableStore
    table: str
    entries: Callable[[], Iterable[Endpoint]]
    rng: random.Random

    async def choose(self) -> tuple[str, ...]:
        """Choose entries to ask.

        :return: their IP addresses.
        """
        addresses = {entry.address for entry in self.entries()}
        if len(addresses) < PEERS:
            reply = await self.store.read_all(self.table)
            rows = reply.rows if isinstance(reply, TableSnapshot) else ()
            addresses.update(row.key for row in rows if is_ip_address(row.key))
        return tuple(self.rng.sample(sorted(addresses), min(PEERS, len(addresses))))


__all__ = ('AgentPeers',)
