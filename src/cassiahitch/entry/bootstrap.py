"""Finds the first configuration of this entry."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cassiahitch.controllers.archive import SnapshotArchive
from cassiahitch.controllers.bootstrap import (
    ArchiveAnswer,
    AskArchive,
    AskPeers,
    AskStore,
    Bootstrap,
    PeerAnswer,
    PeersAsked,
    Start,
    StoreAnswer,
)
from cassiahitch.controllers.changes import Snapshot
from cassiahitch.errors import CassiahitchError
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire.configuration import decode_update
from cassiahitch.wire.messages import ConfigurationPull, ConfigurationUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from cassiahitch.controllers.bootstrap import BootstrapAction, BootstrapEvent
    from cassiahitch.controllers.store import ConfigurationStore
    from cassiahitch.stores.api import ObjectStore
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node

#: Revision that asks a peer for a whole snapshot.
NOTHING_KNOWN = -1


class BootstrapDriver:
    """Asks the store, peers and the archive as the bootstrap decides."""

    def __init__(
        self,
        node: Node,
        store: ConfigurationStore,
        objects: ObjectStore,
        peers: Callable[[], Iterable[Connection]],
        on_start: Callable[[Snapshot], object],
    ) -> None:
        """Create it for an entry that starts now.

        :param node: this process.
        :param store: the configuration in the table service.
        :param objects: keeps snapshots for outages.
        :param peers: gives the connections to other entries.
        :param on_start: brings the first snapshot into force.
        """
        self.node = node
        self.store = store
        self.archive = SnapshotArchive(objects)
        self.peers = peers
        self.on_start = on_start
        self.rng = random.Random(node.incarnation)
        self.bootstrap = Bootstrap(self.rng, node.clock.monotonic())

    def poll(self, highest_reported_revision: int) -> None:
        """Do what is due.

        :param highest_reported_revision: the highest revision that any node reported as in force.
        """
        self.bootstrap.hear(highest_reported_revision)
        self._perform(self.bootstrap.poll(self.node.clock.monotonic()))

    def _perform(self, actions: tuple[BootstrapAction, ...]) -> None:
        for action in actions:
            match action:
                case Start(snapshot=snapshot, confirmed=confirmed):
                    detail = '' if confirmed else 'from the archive alone'
                    self.node.timeline.record(EventKind.revision_applied, detail=detail)
                    self.on_start(snapshot)
                case AskStore(round=number):
                    self._spawn(self._ask_store(number))
                case AskPeers(round=number, count=count):
                    self._ask_peers(number, count)
                case AskArchive(round=number):
                    self._spawn(self._ask_archive(number))

    def _handle(self, event: BootstrapEvent) -> None:
        self._perform(self.bootstrap.handle(event, self.node.clock.monotonic()))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.node.background.add(task)
        task.add_done_callback(self.node.background.discard)

    async def _ask_store(self, number: int) -> None:
        try:
            snapshot = await self.store.snapshot()
        except CassiahitchError:
            self._handle(StoreAnswer(number, None))
            return
        self._handle(StoreAnswer(number, snapshot))

    def _ask_peers(self, number: int, count: int) -> None:
        connected = tuple(self.peers())
        chosen = self.rng.sample(connected, min(count, len(connected)))
        self._handle(PeersAsked(number, len(chosen)))
        for peer in chosen:
            self._spawn(self._ask_peer(number, peer))

    async def _ask_peer(self, number: int, peer: Connection) -> None:
        snapshot = await _snapshot_of(peer)
        floor = 0 if snapshot is None else snapshot.revision
        self._handle(PeerAnswer(number, peer.peer.host, snapshot, floor))

    async def _ask_archive(self, number: int) -> None:
        try:
            snapshot = await self.archive.latest(self.node.clock.wall())
        except CassiahitchError:
            return
        self._handle(ArchiveAnswer(number, snapshot))


async def _snapshot_of(peer: Connection) -> Snapshot | None:
    try:
        reply = await peer.call(ConfigurationPull(NOTHING_KNOWN))
        content = decode_update(reply) if isinstance(reply, ConfigurationUpdate) else None
    except CassiahitchError:
        return None
    return content if isinstance(content, Snapshot) else None


__all__ = ('BootstrapDriver',)
