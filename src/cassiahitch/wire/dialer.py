"""Keeps a connection open to each of several addresses."""

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

#: Connection attempts of one process per second, and largest burst of them.
DIALS_PER_S = 20
MAX_DIAL_BURST = 9
#: Age after which a connection counts as stable, which resets the back-off, in seconds.
STABLE_AFTER_S = 5.0


class Dialer:
    """Opens connections and reopens closed ones, with jittered delays."""

    def __init__(self, endpoint: Endpoint, seed: int) -> None:
        """Create a dialer.

        :param endpoint: opens connections.
        :param seed: seed of the jitter of the delays.
        """
        self.endpoint = endpoint
        self.seed = seed
        self.rate_limiter = RateLimiter(DIALS_PER_S, MAX_DIAL_BURST)
        self.connections: dict[Address, Connection] = {}

    async def work(self, addresses: Iterable[Address]) -> None:
        """Keep a connection to each address until cancelled.

        :param addresses: addresses of the peers.
        """
        async with asyncio.TaskGroup() as group:
            for address in addresses:
                group.create_task(self._keep_connected(address))

    def open_connections(self) -> tuple[Connection, ...]:
        """Return the connections that are open.

        :return: the connections.
        """
        return tuple(
            connection
            for connection in self.connections.values()
            if connection.close_reason is None
        )

    async def _wait_for_rate_limit(self) -> None:
        now = self.endpoint.clock.monotonic()
        await asyncio.sleep(self.rate_limiter.reserve(now) - now)

    async def _keep_connected(self, address: Address) -> None:
        backoff = Backoff(random.Random(f'{self.seed} {address}'))
        while True:
            await self._wait_for_rate_limit()
            dialled_at = self.endpoint.clock.monotonic()
            try:
                connection = await self.endpoint.dial(address.address, address.port)
            except WireError:
                await asyncio.sleep(backoff.next_delay_s())
                continue
            self.connections[address] = connection
            await connection.ended.wait()
            if connection.clock.monotonic() - dialled_at > STABLE_AFTER_S:
                backoff.reset()
            await asyncio.sleep(backoff.next_delay_s())


__all__ = ('Dialer',)
