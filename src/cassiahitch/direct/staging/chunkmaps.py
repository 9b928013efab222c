"""Exchange of chunk maps: the agents of a region send each other which chunks they hold."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import ChunkMap

if TYPE_CHECKING:
    from cassiahitch.direct.staging.fetching import VersionFetch
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.staging.uploads import UploadLimiter
    from cassiahitch.wire.datagrams import DatagramSocket

#: Least time between two replies to the same agent, in seconds.
REPLY_INTERVAL_S = 0.25
HEXADECIMAL = 16


@dataclass(slots=True)
class ChunkMapExchange:
    """Sends which chunks this host holds, and passes received maps on to the running fetches.

    An agent sends its map by itself only while it fetches a version. Otherwise it replies to maps
    that lack a chunk it holds.
    """

    repository: ChunkRepository
    upload_limiter: UploadLimiter
    port: int
    socket: DatagramSocket | None = None
    fetches: dict[WeightsId, VersionFetch] = field(default_factory=dict)
    replied_at: dict[Endpoint, float] = field(default_factory=dict)

    def send_map(self, weights: WeightsId, hosts: tuple[str, ...]) -> None:
        """Send other agents the map of the chunks that this host holds.

        :param weights: the version.
        :param hosts: the addresses of the agents.
        """
        if self.socket is None:
            return
        held = format(self.repository.offered_bitmap(weights), 'x')
        message = ChunkMap(weights.model, weights.version, held, self.upload_limiter.upload_count)
        for host in hosts:
            self.socket.send(message, Endpoint(host, self.port))

    def receive(self, message: ChunkMap, sender: Endpoint) -> None:
        """Handle the chunk map of another agent.

        :param message: the map; one that cannot be parsed counts as empty.
        :param sender: the agent.
        """
        weights = WeightsId(message.version, message.model)
        held = _parse_bitmap(message.held)
        layout = self.repository.layout
        if not layout.has_chunk(weights.model, 0) or not self.repository.is_expected(weights):
            return
        fetch = self.fetches.get(weights)
        if fetch is not None:
            fetch.receive_map(sender.address, held, message.uploads)
        elif self.repository.offered_bitmap(weights) & ~held:
            self.reply(weights, sender)

    def reply(self, weights: WeightsId, sender: Endpoint) -> None:
        """Send the own map to an agent that lacks chunks, at most once per interval.

        :param weights: the version.
        :param sender: the agent.
        """
        now = asyncio.get_running_loop().time()
        if now - self.replied_at.get(sender, float('-inf')) >= REPLY_INTERVAL_S:
            self.replied_at[sender] = now
            self.send_map(weights, (sender.address,))

    def remove_fetch(self, fetch: VersionFetch) -> None:
        """Remove a fetch that has ended.

        :param fetch: the fetch.
        """
        self.fetches.pop(fetch.weights, None)


def _parse_bitmap(text: str) -> int:
    try:
        return int(text, HEXADECIMAL)
    except ValueError:
        # A map that cannot be parsed offers no chunk to fetch.
        return 0


__all__ = ('ChunkMapExchange',)
