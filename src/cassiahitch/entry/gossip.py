"""Gossip between entries: notices of the poison guard and shares of organisation limits."""

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

#: Seconds between two broadcasts of the shares.
GOSSIP_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class GossipPayload:
    """Payload of a gossip message."""

    division: Division = Division()
    shares: tuple[ShareUpdate, ...] = ()
    crashes: tuple[CrashNotice, ...] = ()
    clearings: tuple[ClearNotice, ...] = ()
    reservations: tuple[ReservationNotice, ...] = ()


#: Parser and serialiser of gossip payloads.
PAYLOAD_ADAPTER = TypeAdapter(GossipPayload)


@dataclass(slots=True)
class Gossip:
    """Sends and receives gossip over the connections between entries."""

    node: Node
    connections: Callable[[], Iterable[Connection]]
    registry: LimitRegistry
    held_fencing_number: Callable[[], int]
    guard: PoisonGuard

    @property
    def gate(self) -> PoisonGate:
        """Gate through which requests and heartbeats reach the poison guard."""
        return PoisonGate(self.node.clock, self.guard, self.broadcast)

    async def work(self) -> None:
        """Update the shares and broadcast them until cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            now = self.node.clock.monotonic()
            peers = tuple(connection.peer for connection in self.connections())
            self.guard.update_peers(frozenset(peer.host for peer in peers))
            owners = frozenset(incarnation_name(peer.host, peer.incarnation) for peer in peers)
            self.registry.update_connected(owners, now)
            fencing_number = self.held_fencing_number()
            if fencing_number:
                self.registry.update_division(fencing_number, now)
            self._send(GossipPayload(self.registry.division, self.registry.share_updates(now)))

    async def release_shares(self) -> None:
        """Release the shares of this entry to the others, without waiting for slow connections."""
        shares = self.registry.release_shares(self.node.clock.monotonic())
        self._send(GossipPayload(self.registry.division, shares))
        await asyncio.sleep(0)

    def broadcast(self, notices: tuple[Notice, ...]) -> None:
        """Send notices of the poison guard to all entries without delay.

        :param notices: the notices.
        """
        if not notices:
            return
        payload = GossipPayload(
            crashes=tuple(notice for notice in notices if isinstance(notice, CrashNotice)),
            clearings=tuple(notice for notice in notices if isinstance(notice, ClearNotice)),
            reservations=tuple(
                notice for notice in notices if isinstance(notice, ReservationNotice)
            ),
        )
        self._send(payload)

    def receive(self, entry: str, message: messages.EntryGossip) -> None:
        """Apply the gossip of another entry.

        :param entry: host of that entry.
        :param message: the message.
        :raises WireError: ``frame_corrupt``.
        """
        try:
            payload = PAYLOAD_ADAPTER.validate_json(message.news)
        except ValidationError as error:
            raise WireError(
                Code.frame_corrupt, f'{error.error_count()} invalid values in a gossip message'
            ) from error
        now = self.node.clock.monotonic()
        owner = incarnation_name(entry, message.incarnation)
        self.registry.receive(owner, payload.division, payload.shares, now)
        notices: tuple[Notice, ...] = (
            *payload.crashes,
            *payload.clearings,
            *payload.reservations,
        )
        for notice in notices:
            self.broadcast(self.guard.receive(notice, now))

    def _send(self, payload: GossipPayload) -> None:
        document = PAYLOAD_ADAPTER.dump_json(payload)
        message = messages.EntryGossip(self.node.settings.host, self.node.incarnation, document)
        for connection in tuple(self.connections()):
            task = asyncio.create_task(_deliver(connection, message))
            self.node.background.add(task)
            task.add_done_callback(self.node.background.discard)


def create_gossip(
    node: Node,
    connections: Callable[[], Iterable[Connection]],
    held_fencing_number: Callable[[], int],
) -> Gossip:
    """Create the gossip of an entry.

    :param node: this process.
    :param connections: returns the connections to other entries.
    :param held_fencing_number: returns the fencing number of the controllers' lease if this entry
        holds it, else 0.
    :return: the gossip, not started.
    """
    host = node.settings.host
    registry = LimitRegistry(incarnation_name(host, node.incarnation))
    return Gossip(node, connections, registry, held_fencing_number, PoisonGuard(host))


async def _deliver(connection: Connection, message: messages.EntryGossip) -> None:
    try:
        await connection.send(message)
    except WireError:
        # Shares are broadcast again, and each entry keeps the suspects that it has reported.
        return


__all__ = (
    'GossipPayload',
    'Gossip',
    'create_gossip',
)
