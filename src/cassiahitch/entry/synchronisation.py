"""Brings the configuration of the table service into force on this entry and its agents."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.archive import SnapshotArchive
from cassiahitch.controllers.changes import Delta, Snapshot
from cassiahitch.controllers.configuration import PullChanges, RevisionApplied, UpdateRejected
from cassiahitch.entry.starting import Starter
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

#: Seconds between polls of the revision.
POLL_S = 0.5
JITTER = 0.25
#: Seconds between looks of an entry without any configuration.
START_POLL_S = 0.1
#: Bytes of changes in one message.
UPDATE_BYTES = 262_144


class Synchroniser:
    """Polls the store; in an outage asks the peers and the object store."""

    def __init__(
        self,
        node: Node,
        configuration: Configuration,
        store: ConfigurationStore,
        objects: ObjectStore,
        peers: Callable[[], Iterable[Connection]],
        highest_heard: Callable[[], int],
    ) -> None:
        """Create it.

        :param node: this process.
        :param configuration: what is in force here.
        :param store: the configuration in the table service.
        :param objects: keeps a snapshot for outages.
        :param peers: gives the connections to other entries.
        :param highest_heard: gives the highest revision that a node was heard to have.
        """
        self.node = node
        self.configuration = configuration
        self.store = store
        self.archive = SnapshotArchive(objects)
        self.starter = Starter(node, store, objects, peers, self.apply)
        self.peers = peers
        self.highest_heard = highest_heard
        self.rng = random.Random(node.incarnation)
        self.listeners: list[Callable[[RevisionApplied], None]] = []
        self.store_up = True

    async def work(self) -> None:
        """Keep the configuration current until cancelled."""
        while not self.configuration.ready:
            self.starter.poll(self.highest_heard())
            await asyncio.sleep(START_POLL_S)
        while True:
            await self.synchronise()
            await asyncio.sleep(POLL_S * self.rng.uniform(1 - JITTER, 1 + JITTER))

    async def synchronise(self) -> None:
        """Pull what is newer, from the store or in its outage from the other entries."""
        if not self.configuration.ready:
            return
        try:
            await self._pull_store()
        except CassiahitchError as error:
            self._note_store(error.code)
            await self._pull_elsewhere()
        else:
            self._note_store(Code.ok)

    def apply(self, content: Snapshot | Delta) -> tuple[ConfigurationAction, ...]:
        """Bring changes or a snapshot into force if they are newer.

        :param content: from the store, a peer or the object store.
        :return: what followed.
        """
        actions = self.configuration.apply(content, self.node.clock.monotonic())
        for action in actions:
            match action:
                case RevisionApplied():
                    self._entered(action)
                case UpdateRejected(code=code, detail=detail):
                    self.node.timeline.record(
                        EventKind.revision_applied,
                        code=code,
                        detail=detail,
                    )
        return actions

    def update_for(self, revision: int) -> ConfigurationUpdate:
        """Return what a process at a revision lacks.

        :param revision: its revision.
        :return: the message.
        :raises WireError: ``not_ready`` while no configuration is in force here.
        """
        if not self.configuration.ready:
            raise WireError(Code.not_ready, 'no configuration is in force here')
        return encode_update(self.configuration.update_since(revision, UPDATE_BYTES))

    async def save_snapshot(self) -> None:
        """Store a snapshot for entries that start in an outage."""
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

    async def _pull_elsewhere(self) -> None:
        for peer in tuple(self.peers()):
            with suppress(CassiahitchError):
                reply = await peer.call(ConfigurationPull(self.configuration.revision))
                if isinstance(reply, ConfigurationUpdate):
                    self.apply(decode_update(reply))

    def _entered(self, action: RevisionApplied) -> None:
        self.node.metrics.count(CounterName.revisions_applied)
        self.node.metrics.gauge(GaugeName.revision, action.revision)
        self.node.timeline.record(
            EventKind.revision_in_force,
            detail=f'revision {action.revision}',
        )
        for listener in self.listeners:
            listener(action)

    def _note_store(self, code: Code) -> None:
        is_up = code is Code.ok
        if is_up != self.store_up:
            kind = EventKind.platform_up if is_up else EventKind.platform_down
            self.node.timeline.record(kind, code=code, detail='table service')
        self.store_up = is_up


async def save_snapshots(synchroniser: Synchroniser, interval_s: float) -> None:
    """Archive snapshots until cancelled; an outage only delays them.

    :param synchroniser: what is in force.
    :param interval_s: longest time between looks, in seconds.
    """
    while True:
        await asyncio.sleep(interval_s * synchroniser.rng.uniform(1 - JITTER, 1))
        with suppress(PlatformError):
            await synchroniser.save_snapshot()


__all__ = (
    'Synchroniser',
    'save_snapshots',
)
