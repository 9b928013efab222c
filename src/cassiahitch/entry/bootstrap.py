"""Retrieval of the first configuration of an entry that is starting."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cassiahitch.controllers.archive import SnapshotArchive
from cassiahitch.controllers.bootstrap import (
    ApplySnapshot,
    ArchiveReply,
    Bootstrap,
    PeerReply,
    PeersQueried,
    QueryArchive,
    QueryPeers,
    QueryStore,
    StoreReply,
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

#: Revision in a query that requests a complete snapshot from a peer.
NO_REVISION = -1


class BootstrapDriver:
    """Performs the actions of the bootstrap: queries the store, peers and the archive."""

    def __init__(
        self,
        node: Node,
        store: ConfigurationStore,
        objects: ObjectStore,
        peers: Callable[[], Iterable[Connection]],
        on_start: Callable[[Snapshot], object],
    ) -> None:
        """Create the driver; the bootstrap starts now.

        :param node: this process.
        :param store: the configuration in the table service.
        :param objects: object store with archived snapshots for outages of the table service.
        :param peers: returns the connections to other entries.
        :param on_start: applies the first snapshot.
        """
        self.node = node
        self.store = store
        self.archive = SnapshotArchive(objects)
        self.peers = peers
        self.on_start = on_start
        self.rng = random.Random(node.incarnation)
        self.bootstrap = Bootstrap(self.rng, node.clock.monotonic())

    def poll(self, highest_reported_revision: int) -> None:
        """Perform the actions that are due.

        :param highest_reported_revision: the highest revision that any node reported as in force.
        """
        self.bootstrap.raise_floor(highest_reported_revision)
        self._perform(self.bootstrap.poll(self.node.clock.monotonic()))

    def _perform(self, actions: tuple[BootstrapAction, ...]) -> None:
        for action in actions:
            match action:
                case ApplySnapshot(snapshot=snapshot, confirmed=confirmed):
                    detail = '' if confirmed else 'from the archive, not confirmed'
                    self.node.timeline.record(EventKind.revision_applied, detail=detail)
                    self.on_start(snapshot)
                case QueryStore(round=round_number):
                    self._spawn(self._query_store(round_number))
                case QueryPeers(round=round_number, count=count):
                    self._query_peers(round_number, count)
                case QueryArchive(round=round_number):
                    self._spawn(self._query_archive(round_number))

    def _handle(self, event: BootstrapEvent) -> None:
        self._perform(self.bootstrap.handle(event, self.node.clock.monotonic()))

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.node.background.add(task)
        task.add_done_callback(self.node.background.discard)

    async def _query_store(self, round_number: int) -> None:
        try:
            snapshot = await self.store.snapshot()
        except CassiahitchError:
            self._handle(StoreReply(round_number, None))
            return
        self._handle(StoreReply(round_number, snapshot))

    def _query_peers(self, round_number: int, count: int) -> None:
        connections = tuple(self.peers())
        selection = self.rng.sample(connections, min(count, len(connections)))
        self._handle(PeersQueried(round_number, len(selection)))
        for connection in selection:
            self._spawn(self._query_peer(round_number, connection))

    async def _query_peer(self, round_number: int, connection: Connection) -> None:
        snapshot = await _pull_snapshot(connection)
        floor = 0 if snapshot is None else snapshot.revision
        self._handle(PeerReply(round_number, connection.peer.host, snapshot, floor))

    async def _query_archive(self, round_number: int) -> None:
        try:
            snapshot = await self.archive.latest(self.node.clock.wall())
        except CassiahitchError:
            return
        self._handle(ArchiveReply(round_number, snapshot))


async def _pull_snapshot(connection: Connection) -> Snapshot | None:
    try:
        reply = await connection.call(ConfigurationPull(NO_REVISION))
        content = decode_update(reply) if isinstance(reply, ConfigurationUpdate) else None
    except CassiahitchError:
        return None
    return content if isinstance(content, Snapshot) else None


__all__ = ('BootstrapDriver',)
