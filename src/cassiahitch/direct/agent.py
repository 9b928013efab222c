"""The agent process: loads weights into the engine of its host and reports its load to entries."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

from cassiahitch.direct.connections.budget import ConnectionLimits
from cassiahitch.direct.connections.guard import ConnectionGuard
from cassiahitch.direct.members.startcheck import StartCheck
from cassiahitch.direct.members.tablerelay import TableRelay
from cassiahitch.direct.reloading import SettingsWatch
from cassiahitch.direct.serving import serve
from cassiahitch.direct.staging.agentparts import make_agent_parts
from cassiahitch.direct.staging.agentpeers import AgentPeers
from cassiahitch.direct.staging.chunkservice import make_chunk_service
from cassiahitch.direct.staging.permits import PermitService
from cassiahitch.direct.staging.reporting import SUBSCRIPTION_S, LoadReporter
from cassiahitch.direct.state.feed import TableFeed
from cassiahitch.direct.state.follower import TableFollower
from cassiahitch.metrics.exposition import metrics_service
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import (
    ChunkMap,
    LimitNotice,
    PermitQuery,
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
    from cassiahitch.stores.http_client import HttpClient
    from cassiahitch.wire.datagrammessages import DatagramMessage

#: Longest wait for a change of the declarations, in seconds.
DECLARATION_WAIT_S = 8.0
#: Least time between two reads of the declarations after a large change, in seconds.
DECLARATION_INTERVAL_S = 2.0
#: Maximum age of a table state that is accepted from an entry, in seconds. It is long, since agents
#: check no keys.
MAX_RELAYED_AGE_S = 4.0
#: Time after the last query of an entry in which the tables are read from it, in seconds.
READER_MAX_AGE_S = 2.0


class DirectAgent:
    """Owns the sockets and background tasks of an agent."""

    def __init__(
        self,
        settings: DirectAgentSettings,
        platform: AgentPlatform,
        http_client: HttpClient,
        path: Path | None = None,
    ) -> None:
        """Create the agent; it opens no sockets yet.

        :param settings: settings of the agent.
        :param platform: interface to the platform.
        :param http_client: sends requests to other agents and to entries.
        :param path: settings file to reload on changes, None to never reload.
        """
        self.settings = settings
        self.platform = platform
        self.rng = random.Random()
        self.tasks = ProcessTasks()
        self.stack = AsyncExitStack()
        self.parts = make_agent_parts(settings, platform, http_client, self.rng)
        self.watch = SettingsWatch(path or Path(), settings, self.parts.log, self._apply_bounds)
        self.peers = AgentPeers(
            platform.store,
            platform.tables.entries,
            settings,
            lambda: self.reporter.entries,
            self.rng,
        )
        self.relay = TableRelay(self._readers, tuple, http_client, self.peers.start_readers)
        self.declarations = TableFollower(
            platform.store,
            platform.tables.operator,
            TableFeed(self.rng, large_change_interval_s=DECLARATION_INTERVAL_S),
            self.parts.updater.apply_rows,
            self.parts.log,
            DECLARATION_WAIT_S,
            self.relay,
            MAX_RELAYED_AGE_S,
            era=platform.store.era,
        )
        self.relay.followers[self.declarations.table] = self.declarations
        self.reporter = LoadReporter(
            self.parts.engine,
            self.parts.updater,
            self.parts.loader,
            self.parts.log,
            time.time_ns(),
            self.rng,
            self.parts.loader.orders.trust,
            cold_rate=self.parts.updater.cold_rate,
        )
        self.permits = PermitService(self.parts.log)
        self.guard = ConnectionGuard(
            self._connection_limits,
            self.parts.loader.metrics,
            self.parts.log.state_changed,
            self.rng,
        )

    async def start(self) -> None:
        """Open the sockets and start the background tasks."""
        settings = self.settings
        chunks = make_chunk_service(
            self.parts.repository, self.parts.upload_limiter, settings.region
        )
        self._serve(chunks, settings.peer_port)
        self._serve(metrics_service(self.parts.loader.metrics), settings.metrics_port)
        datagrams = DatagramSocket(self._receive, self.reporter.log_refused)
        await datagrams.open(settings.address, settings.peer_port)
        self.stack.callback(datagrams.close)
        self.reporter.socket = datagrams
        self.permits.socket = datagrams
        self.relay.socket = datagrams
        self.parts.map_exchange.socket = datagrams
        tasks = (
            self.declarations.work(),
            self._start_check().work(),
            self.reporter.work(),
            self.parts.loader.work(),
            self.guard.work(),
            *((self.watch.work(),) if self.watch.path.is_file() else ()),
        )
        self.tasks.start(tasks, self.stack)

    def ports(self) -> dict[str, int]:
        """Return the ports that the agent listens on.

        :return: ports by the names of their settings.
        """
        return {'peer_port': self.settings.peer_port}

    def reload(self) -> None:
        """Reload the settings file."""
        self.watch.reload()

    async def stop(self) -> None:
        """Stop the tasks and close the sockets; the engine continues with the loaded weights."""
        await self.stack.aclose()

    def _receive(self, message: DatagramMessage, sender: Endpoint) -> None:
        match message:
            case ChunkMap():
                self.parts.map_exchange.receive(message, sender)
            case PlaceQuery():
                self.reporter.receive(message, sender)
            case PermitQuery():
                self.permits.receive(message, sender)
            case PlaceReturn() | LimitNotice():
                self.reporter.receive(message, sender)
                self.permits.receive(message, sender)
            case TableState() | TableRows():
                self.relay.receive(message, sender)

    def _readers(self) -> tuple[Endpoint, ...]:
        # The entry that sent the latest query is reachable, and any entry can serve the tables.
        entries = self.reporter.entries
        latest = max(entries, key=entries.__getitem__, default=None)
        now = asyncio.get_running_loop().time()
        if latest is None or entries[latest] - now < SUBSCRIPTION_S - READER_MAX_AGE_S:
            return ()
        return (latest,)

    def _start_check(self) -> StartCheck:
        return StartCheck(
            self.parts.updater,
            self.declarations,
            self.relay,
            self.peers.choose,
            self.settings.peer_port,
            self.parts.log,
        )

    def _apply_bounds(self, bounds: BoundSettings) -> None:
        self.parts.updater.versions.bound_s = bounds.weights_s

    def _connection_limits(self) -> ConnectionLimits:
        return ConnectionLimits(self.settings.connection_bytes, self.settings.max_connections)

    def _serve(self, application: Application, port: int) -> None:
        serve(application, Endpoint(self.settings.address, port), self.guard, self.stack)


__all__ = ('DirectAgent',)
