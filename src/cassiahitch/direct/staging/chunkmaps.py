"""Agents of a region tell each other which chunks they hold."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.beats import ChunkMap

if TYPE_CHECKING:
    from cassiahitch.direct.staging.fetching import VersionFetch
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.staging.uploads import UploadLimiter
    from cassiahitch.wire.datagrams import DatagramSocket

#: Least time between two answers to the same agent, in seconds.
ANSWER_S = 0.25
HEXADECIMAL = 16


@dataclass(slots=True)
class ChunkMapExchange:
    """Sends what is held here, and takes in what others hold.

    An agent that holds all chunks only answers those that lack some.
    """

    library: ChunkRepository
    uploads: UploadLimiter
    port: int
    socket: DatagramSocket | None = None
    fetches: dict[WeightsId, VersionFetch] = field(default_factory=dict)
    answered: dict[Endpoint, float] = field(default_factory=dict)

    def tell(self, name: WeightsId, hosts: tuple[str, ...]) -> None:
        """Tell other agents what is held here.

        :param name: the version.
        :param hosts: their addresses.
        """
        if self.socket is None:
            return
        held = format(self.library.offered(name), 'x')
        message = ChunkMap(name.model, name.version, held, self.uploads.load)
        for host in hosts:
            self.socket.send(message, Endpoint(host, self.port))

    def receive(self, message: ChunkMap, sender: Endpoint) -> None:
        """Take in what another agent holds.

        :param message: the message; one that cannot be read holds nothing.
        :param sender: the agent.
        """
        name = WeightsId(message.version, message.model)
        held = _bits(message.held)
        if not self.library.may_come(name):
            return
        fetch = self.fetches.get(name)
        if fetch is not None:
            fetch.heard(sender.address, held, message.uploads)
        elif self.library.offered(name) & ~held:
            self.answer(name, sender)

    def answer(self, name: WeightsId, sender: Endpoint) -> None:
        """Tell an agent that lacks chunks what is held here, now and then.

        :param name: the version.
        :param sender: the agent.
        """
        now = asyncio.get_running_loop().time()
        if now - self.answered.get(sender, float('-inf')) >= ANSWER_S:
            self.answered[sender] = now
            self.tell(name, (sender.address,))

    def end(self, fetch: VersionFetch) -> None:
        """Forget a fetch that has ended.

        :param fetch: the fetch.
        """
        self.fetches.pop(fetch.name, None)


def _bits(text: str) -> int:
    try:
        return int(text, HEXADECIMAL)
    except ValueError:
        # A map that cannot be read names no chunk to fetch.
        return 0


__all__ = ('ChunkMapExchange',)
