"""Notices that entries share with each other: suspects and shares of organisation limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import TypeAdapter, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.limits.division import Division, LimitRegistry
from cassiahitch.limits.organisations import ShareUpdate
from cassiahitch.requests.poison import PoisonGate
from cassiahitch.routing.poison import ClearNotice, CrashNotice, PoisonGuard, ReservationNotice
from cassiahitch.wire import messages
from cassiahitch.wire.node import incarnation_name

if TYPE_CHECKING:
    from cassiahitch.routing.poison import Notice
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node

#: Seconds between the news of shares.
GOSSIP_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class GossipPayload:
    """What one message carries."""

    division: Division = Division()
    shares: tuple[ShareUpdate, ...] = ()
    crashes: tuple[CrashNotice, ...] = ()
    clearings: tuple[ClearNotice, ...] = ()
    reservations: tuple[ReservationNotice, ...] = ()


PAYLOAD_ADAPTER = TypeAdapter(GossipPayload)


@dataclass(slots=True)
class Gossip:
    """Exchanges news over the connections between entries."""

    node: Node
    connections: Callable[[], Iterable[Connection]]
    registry: LimitRegistry
    held_fencing_number: Callable[[], int]
    guard: PoisonGuard

    @property
    def gate(self) -> PoisonGate:
        """Connects requests and agents with the poison guard."""
        return PoisonGate(self.node.clock, self.guard, self.broadcast)

    async def run(self) -> None:
        """Send the news of shares until cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            now = self.node.clock.monotonic()
            peers = tuple(one.peer for one in self.connections())
            self.guard.update_peers(frozenset(peer.host for peer in peers))
            owners = frozenset(incarnation_name(peer.host, peer.incarnation) for peer in peers)
            self.registry.update_connected(owners, now)
            fencing_number = self.held_fencing_number()
            if fencing_number:
                self.registry.update_division(fencing_number, now)
            self._send(GossipPayload(self.registry.division, self.registry.share_updates(now)))

    async def release_shares(self) -> None:
        """Give the shares of this entry to the others, without waiting for slow ones."""
        shares = self.registry.release_shares(self.node.clock.monotonic())
        self._send(GossipPayload(self.registry.division, shares))
        await asyncio.sleep(0)

    def broadcast(self, news: tuple[Notice, ...]) -> None:
        """Send news of suspects to all entries at once.

        :param news: the news.
        """
        if not news:
            return
        bulletin = GossipPayload(
            crashes=tuple(one for one in news if isinstance(one, CrashNotice)),
            clearings=tuple(one for one in news if isinstance(one, ClearNotice)),
            reservations=tuple(one for one in news if isinstance(one, ReservationNotice)),
        )
        self._send(bulletin)

    def receive(self, entry: str, message: messages.EntryGossip) -> None:
        """Take the news of another entry in.

        :param entry: its host.
        :param message: the message.
        :raises WireError: ``frame_corrupt``.
        """
        try:
            bulletin = PAYLOAD_ADAPTER.validate_json(message.news)
        except ValidationError as error:
            raise WireError(Code.frame_corrupt, f'{error.error_count()} faults') from error
        now = self.node.clock.monotonic()
        owner = incarnation_name(entry, message.incarnation)
        self.registry.receive(owner, bulletin.division, bulletin.shares, now)
        received: tuple[Notice, ...] = (
            *bulletin.crashes,
            *bulletin.clearings,
            *bulletin.reservations,
        )
        for news in received:
            self.broadcast(self.guard.receive(news, now))

    def _send(self, bulletin: GossipPayload) -> None:
        news = PAYLOAD_ADAPTER.dump_json(bulletin)
        message = messages.EntryGossip(self.node.settings.host, self.node.incarnation, news)
        for connection in tuple(self.connections()):
            task = asyncio.create_task(_deliver(connection, message))
            self.node.background.add(task)
            task.add_done_callback(self.node.background.discard)


def create_gossip(
    node: Node,
    connections: Callable[[], Iterable[Connection]],
    held_fencing_number: Callable[[], int],
) -> Gossip:
    """Create the exchange of news of an entry.

    :param node: the entry.
    :param connections: gives the connections to other entries.
    :param held_fencing_number: gives the fencing number of the controllers' lease, or 0 without it.
    :return: the exchange; nothing runs yet.
    """
    host = node.settings.host
    registry = LimitRegistry(incarnation_name(host, node.incarnation))
    return Gossip(node, connections, registry, held_fencing_number, PoisonGuard(host))


async def _deliver(connection: Connection, message: messages.EntryGossip) -> None:
    try:
        await connection.send(message)
    except WireError:
        # Shares are sent again, and suspects of a lost connection are held by their entry.
        return


__all__ = (
    'GossipPayload',
    'Gossip',
    'create_gossip',
)
