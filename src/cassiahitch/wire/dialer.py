"""Keeps a connection to each entry."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cassiahitch.errors import WireError
from cassiahitch.members.backoff import Backoff, RateLimiter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.util.endpoints import Endpoint as Address
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.endpoint import Endpoint

#: Dials that one process starts in a second, and without a pause after a quiet time.
DIALS_PER_S = 20
DIALS_AT_ONCE = 9
#: Seconds after which a connection counts as stable, so that the next delay is short again.
STABLE_S = 5.0


class Dialer:
    """Dials addresses again and again, with jittered delays after failures."""

    def __init__(self, endpoint: Endpoint, seed: int) -> None:
        """Create a dialer.

        :param endpoint: opens connections.
        :param seed: spreads the delays.
        """
        self.endpoint = endpoint
        self.seed = seed
        self.rate_limiter = RateLimiter(DIALS_PER_S, DIALS_AT_ONCE)
        self.connections: dict[Address, Connection] = {}

    async def work(self, addresses: Iterable[Address]) -> None:
        """Keep connections until cancelled.

        :param addresses: where to connect.
        """
        async with asyncio.TaskGroup() as group:
            for address in addresses:
                group.create_task(self._keep(address))

    def open_connections(self) -> tuple[Connection, ...]:
        """Return the connections that are open.

        :return: the connections.
        """
        return tuple(one for one in self.connections.values() if one.close_reason is None)

    async def _pause(self) -> None:
        now = self.endpoint.clock.monotonic()
        await asyncio.sleep(self.rate_limiter.reserve(now) - now)

    async def _keep(self, address: Address) -> None:
        backoff = Backoff(random.Random(f'{self.seed} {address}'))
        while True:
            await self._pause()
            started = self.endpoint.clock.monotonic()
            try:
                connection = await self.endpoint.dial(address.address, address.port)
            except WireError:
                await asyncio.sleep(backoff.next_delay_s())
                continue
            self.connections[address] = connection
            await connection.ended.wait()
            if connection.clock.monotonic() - started > STABLE_S:
                backoff.reset()
            await asyncio.sleep(backoff.next_delay_s())


__all__ = ('Dialer',)
