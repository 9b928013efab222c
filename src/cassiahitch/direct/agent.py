"""The process of an agent whose engine gets its requests from entries directly."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

from cassiahitch.direct.members.tablerelay import TableRelay
from cassiahitch.direct.reloading import SettingsWatch
from cassiahitch.direct.serving import serve
from cassiahitch.direct.staging.agentparts import make_agent_parts
from cassiahitch.direct.staging.chunkservice import make_chunk_service
from cassiahitch.direct.staging.reporting import SUBSCRIPTION_S, LoadReporter
from cassiahitch.direct.state.feed import TableFeed
from cassiahitch.direct.state.follower import TableFollower
from cassiahitch.metrics.exposition import metrics_service
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import (
    ChunkMap,
    PlaceQuery,
    PlaceReturn,
    TableRows,
    TableState,
)
from cassiahitch.wire.datagrams import DatagramSocket
from cassiahitch.wire.tasks import ProcessTasks

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.direct.platformapi import AgentPlatform
    from cassiahitch.settings.direct import BoundSettings, DirectAgentSettings
    from cassiahitch.stores.caller import HttpCaller
    from cassiahitch.wire.datagrammessages import DatagramMessage

#: Longest wait for a change of the declarations, in seconds.
DECLARATION_WAIT_S = 8.0
#: Pause after declarations that brought a large change, in seconds.
DECLARATION_INTERVAL_S = 2.0
#: Oldest knowledge of an entry that is taken, in seconds: agents check no keys.
RELAYED_AGE_S = 4.0
#: Seconds after the last question of an entry in which the tables are taken from it.
HEARD_S = 2.0


class DirectAgent:
    """Owns the sockets and tasks of an agent."""

    def __init__(
        self,
        settings: DirectAgentSettings,
        platform: AgentPlatform,
        caller: HttpCaller,
        path: Path | None = None,
    ) -> None:
        """Create it; nothing listens yet.

        :param settings: its settings.
        :param platform: the platform.
        :param caller: makes the calls to other agents.
        :param path: file of the settings, if they are to be read again.
        """
        self.settings = settings
        self.platform = platform
        self.rng = random.Random()
        self.tasks = ProcessTasks()
        self.stack = AsyncExitStack()
        self.parts = make_agent_parts(settings, platform, caller, self.rng)
        self.watch = SettingsWatch(path or Path(), settings, self.parts.log, self._apply_bounds)
        self.relay = TableRelay(self._readers, tuple, caller)
        self.declarations = TableFollower(
            platform.store,
            platform.tables.operator,
            TableFeed(self.rng, large_change_interval_s=DECLARATION_INTERVAL_S),
            self.parts.updater.apply_rows,
            self.parts.log,
            DECLARATION_WAIT_S,
            self.relay,
            RELAYED_AGE_S,
        )
        self.relay.followers[self.declarations.table] = self.declarations
        self.reporter = LoadReporter(
            self.parts.engine,
            self.parts.updater,
            self.parts.loader,
            self.parts.log,
            time.time_ns(),
            self.rng,
        )

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        settings = self.settings
        chunks = make_chunk_service(
            self.parts.repository, self.parts.upload_limiter, settings.region
        )
        self._serve(chunks, settings.peer_port)
        self._serve(metrics_service(self.parts.loader.metrics), settings.metrics_port)
        datagrams = DatagramSocket(self._receive, self.reporter.reject_datagram)
        await datagrams.open(settings.address, settings.peer_port)
        self.stack.callback(datagrams.close)
        self.reporter.socket = datagrams
        self.relay.socket = datagrams
        self.parts.map_exchange.socket = datagrams
        works = (
            self.declarations.work(),
            self.reporter.work(),
            self.parts.loader.work(),
            *((self.watch.work(),) if self.watch.path.is_file() else ()),
        )
        self.tasks.start(works, self.stack)

    def ports(self) -> dict[str, int]:
        """Return the ports that are listened on, by the names of their settings.

        :return: ports.
        """
        return {'peer_port': self.settings.peer_port}

    def reload(self) -> None:
        """Read the settings again."""
        self.watch.reload()

    async def stop(self) -> None:
        """Close everything; the engine goes on with what it has loaded."""
        await self.stack.aclose()

    def _receive(self, message: DatagramMessage, sender: Endpoint) -> None:
        match message:
            case ChunkMap():
                self.parts.map_exchange.receive(message, sender)
            case PlaceQuery() | PlaceReturn():
                self.reporter.receive(message, sender)
            case TableState() | TableRows():
                self.relay.receive(message, sender)

    def _readers(self) -> tuple[Endpoint, ...]:
        # The entry that asked last is reached, and knows the tables as well as any.
        entries = self.reporter.entries
        latest = max(entries, key=entries.__getitem__, default=None)
        now = asyncio.get_running_loop().time()
        if latest is None or entries[latest] - now < SUBSCRIPTION_S - HEARD_S:
            return ()
        return (latest,)

    def _apply_bounds(self, bounds: BoundSettings) -> None:
        self.parts.updater.versions.bound_s = bounds.weights_s

    def _serve(self, application: Application, port: int) -> None:
        serve(application, Endpoint(self.settings.address, port), self.stack)


__all__ = ('DirectAgent',)
