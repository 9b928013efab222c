"""Keeps a connection to each entry."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cassiahitch.errors import WireError
from cassiahitch.members.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.util.endpoints import Endpoint as Address
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.endpoint import Endpoint


class Dialer:
    """Dials addresses again and again, with jittered delays after failures."""

    def __init__(self, endpoint: Endpoint, seed: int) -> None:
        """Create a dialer.

        :param endpoint: opens connections.
        :param seed: spreads the delays.
        """
        self.endpoint = endpoint
        self.seed = seed
        self.connections: dict[Address, Connection] = {}

    async def work(self, addresses: Iterable[Address]) -> None:
        """Keep connections until cancelled.

        :param addresses: where to connect.
        """
        async with asyncio.TaskGroup() as group:
            for address in addresses:
                group.create_task(self._keep(address))

    def live(self) -> tuple[Connection, ...]:
        """Return the connections that are open.

        :return: the connections.
        """
        return tuple(one for one in self.connections.values() if one.closed is None)

    async def _keep(self, address: Address) -> None:
        backoff = Backoff(random.Random(f'{self.seed} {address}'))
        while True:
            try:
                connection = await self.endpoint.dial(address.address, address.port)
            except WireError:
                await asyncio.sleep(backoff.failed())
                continue
            backoff.succeeded()
            self.connections[address] = connection
            await connection.ended.wait()


__all__ = ('Dialer',)
