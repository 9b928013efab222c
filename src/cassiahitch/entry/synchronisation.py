"""Synchronisation of the configuration of this entry with the table service and its peers."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.archive import SnapshotArchive
from cassiahitch.controllers.changes import Delta, Snapshot
from cassiahitch.controllers.configuration import PullChanges, RevisionApplied, UpdateRejected
from cassiahitch.entry.bootstrap import BootstrapDriver
from cassiahitch.errors import CassiahitchError, PlatformError, WireError
from cassiahitch.metrics.names import CounterName, GaugeName
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire.configuration import decode_update, encode_update
from cassiahitch.wire.messages import ConfigurationPull, ConfigurationUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cassiahitch.controllers.configuration import Configuration, ConfigurationAction
    from cassiahitch.controllers.store import ConfigurationStore
    from cassiahitch.stores.api import ObjectStore
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node

#: Seconds between two polls of the table service.
POLL_INTERVAL_S = 0.5
#: Relative jitter of the poll interval.
JITTER = 0.25
#: Seconds between two polls while the entry has no configuration.
BOOTSTRAP_POLL_INTERVAL_S = 0.1
#: Maximum size of the changes in one message, in bytes.
MAX_UPDATE_BYTES = 262_144


class Synchroniser:
    """Polls the table service for changes, and during its outages the other entries."""

    def __init__(
        self,
        node: Node,
        configuration: Configuration,
        store: ConfigurationStore,
        objects: ObjectStore,
        peers: Callable[[], Iterable[Connection]],
        highest_reported_revision: Callable[[], int],
    ) -> None:
        """Create a synchroniser.

        :param node: this process.
        :param configuration: the configuration of this entry.
        :param store: the configuration in the table service.
        :param objects: object store that archives snapshots for outages of the table service.
        :param peers: returns the connections to other entries.
        :param highest_reported_revision: returns the highest revision that any node reported.
        """
        self.node = node
        self.configuration = configuration
        self.store = store
        self.archive = SnapshotArchive(objects)
        self.bootstrap_driver = BootstrapDriver(node, store, objects, peers, self.apply)
        self.peers = peers
        self.highest_reported_revision = highest_reported_revision
        self.rng = random.Random(node.incarnation)
        self.listeners: list[Callable[[RevisionApplied], None]] = []
        self.is_store_up = True

    async def work(self) -> None:
        """Retrieve the first configuration, then keep it up to date until cancelled."""
        while not self.configuration.ready:
            self.bootstrap_driver.poll(self.highest_reported_revision())
            await asyncio.sleep(BOOTSTRAP_POLL_INTERVAL_S)
        while True:
            await self.synchronise()
            await asyncio.sleep(POLL_INTERVAL_S * self.rng.uniform(1 - JITTER, 1 + JITTER))

    async def synchronise(self) -> None:
        """Pull newer changes from the table service, or from the other entries if that fails."""
        if not self.configuration.ready:
            return
        try:
            await self._pull_store()
        except CassiahitchError as error:
            self._record_store_state(error.code)
            await self._pull_peers()
        else:
            self._record_store_state(Code.ok)

    def apply(self, content: Snapshot | Delta) -> tuple[ConfigurationAction, ...]:
        """Apply changes or a snapshot if they are newer than the configuration in force.

        :param content: the changes or the snapshot.
        :return: actions of the configuration.
        """
        actions = self.configuration.apply(content, self.node.clock.monotonic())
        for action in actions:
            match action:
                case RevisionApplied():
                    self._record_in_force(action)
                case UpdateRejected(code=code, detail=detail):
                    self.node.timeline.record(
                        EventKind.revision_applied,
                        code=code,
                        detail=detail,
                    )
        return actions

    def update_for(self, revision: int) -> ConfigurationUpdate:
        """Return the update for a process with an older revision.

        :param revision: revision of that process.
        :return: the message.
        :raises WireError: ``not_ready`` if this entry has no configuration yet.
        """
        if not self.configuration.ready:
            raise WireError(Code.not_ready, 'this entry has no configuration yet')
        return encode_update(self.configuration.update_since(revision, MAX_UPDATE_BYTES))

    async def save_snapshot(self) -> None:
        """Archive a snapshot for entries that start during an outage of the table service."""
        if self.configuration.ready:
            await self.archive.write(self.configuration.snapshot(), self.node.clock.wall())

    async def _pull_store(self) -> None:
        while True:
            try:
                delta = await self.store.changes(self.configuration.revision)
            except CassiahitchError as error:
                if error.code is not Code.watch_too_old:
                    raise
                self.apply(await self.store.snapshot())
                return
            actions = self.apply(delta)
            if not any(isinstance(action, PullChanges) for action in actions):
                return

    async def _pull_peers(self) -> None:
        for connection in tuple(self.peers()):
            with suppress(CassiahitchError):
                reply = await connection.call(ConfigurationPull(self.configuration.revision))
                if isinstance(reply, ConfigurationUpdate):
                    self.apply(decode_update(reply))

    def _record_in_force(self, action: RevisionApplied) -> None:
        self.node.metrics.count(CounterName.revisions_applied)
        self.node.metrics.gauge(GaugeName.revision, action.revision)
        self.node.timeline.record(
            EventKind.revision_in_force,
            detail=f'revision {action.revision}',
        )
        for listener in self.listeners:
            listener(action)

    def _record_store_state(self, code: Code) -> None:
        is_up = code is Code.ok
        if is_up != self.is_store_up:
            kind = EventKind.platform_up if is_up else EventKind.platform_down
            self.node.timeline.record(kind, code=code, detail='table service')
        self.is_store_up = is_up


async def save_snapshots(synchroniser: Synchroniser, interval_s: float) -> None:
    """Archive snapshots periodically until cancelled; a failed write is retried next time.

    :param synchroniser: the synchroniser with the configuration to archive.
    :param interval_s: maximum time between two snapshots, in seconds.
    """
    while True:
        await asyncio.sleep(interval_s * synchroniser.rng.uniform(1 - JITTER, 1))
        with suppress(PlatformError):
            await synchroniser.save_snapshot()


__all__ = (
    'Synchroniser',
    'save_snapshots',
)
