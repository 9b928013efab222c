"""The process of an agent whose engine gets its requests from entries directly."""

from __future__ import annotations

import random
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from cassiahitch.direct.agentbeliefs import AgentBeliefs
from cassiahitch.direct.chunkservice import chunk_service
from cassiahitch.direct.feed import TableFeed
from cassiahitch.direct.following import TableFollower
from cassiahitch.direct.journal import BeliefLog
from cassiahitch.direct.library import ChunkLibrary
from cassiahitch.direct.loading import Loader
from cassiahitch.direct.peerchunks import PeerChunks
from cassiahitch.direct.reloading import SettingsWatch
from cassiahitch.direct.reporting import LoadReporter
from cassiahitch.direct.uploads import LinkRates, Uploads
from cassiahitch.direct.versions import VersionPolicy
from cassiahitch.metrics.exposition import metrics_service
from cassiahitch.metrics.registry import Metrics
from cassiahitch.util.listening import listen
from cassiahitch.weights.plan import Participant
from cassiahitch.wire.datagrams import DatagramSocket
from cassiahitch.wire.tasks import ProcessTasks

if TYPE_CHECKING:
    from tornado.web import Application

    from cassiahitch.direct.surroundings import AgentSurroundings
    from cassiahitch.settings.direct import BoundSettings, DirectAgentSettings
    from cassiahitch.stores.caller import HttpCaller

#: Longest wait for a change of the declarations, in seconds.
DECLARATION_WAIT_S = 8.0


class DirectAgent:
    """Owns the sockets and tasks of an agent."""

    def __init__(
        self,
        settings: DirectAgentSettings,
        around: AgentSurroundings,
        caller: HttpCaller,
        path: Path | None = None,
    ) -> None:
        """Create it; nothing listens yet.

        :param settings: its settings.
        :param around: the platform.
        :param caller: makes the calls to other agents.
        :param path: file of the settings, if they are to be read again.
        """
        self.settings = settings
        self.around = around
        self.rng = random.Random()
        self.tasks = ProcessTasks()
        self.stack = AsyncExitStack()
        self.metrics = Metrics(settings.name)
        self.log = BeliefLog()
        engine = around.engine(settings.engine)
        peers = PeerChunks(caller, settings.peer_port, settings.region)
        self.library = ChunkLibrary(engine, around.origin, peers)
        versions = VersionPolicy(settings.bounds.weights_s)
        self.uploads = Uploads(LinkRates(settings.link_mbit_s, settings.region_link_mbit_s))
        self.beliefs = AgentBeliefs(
            settings, around, self.library, self.uploads, self.log, versions, self.rng
        )
        self.library.on_newer = self.beliefs.hear
        member = Participant(settings.address, settings.region, settings.failure_domain)
        self.loader = Loader(
            engine, self.library, self.beliefs, self.metrics, self.log, member, self.rng
        )
        self.watch = SettingsWatch(path or Path(), settings, self.log, self._apply_bounds)
        self.declarations = TableFollower(
            around.store,
            around.tables.operator,
            TableFeed(self.rng),
            self.beliefs.take_declarations,
            self.log,
            DECLARATION_WAIT_S,
        )
        self.reporter = LoadReporter(
            engine, self.beliefs, self.loader, self.log, time.time_ns(), self.rng
        )

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        settings = self.settings
        chunks = chunk_service(self.library, self.uploads, settings.region)
        self._serve(chunks, settings.peer_port)
        self._serve(metrics_service(self.metrics), settings.metrics_port)
        datagrams = DatagramSocket(self.reporter.receive, self.reporter.refused)
        await datagrams.open(settings.address, settings.peer_port)
        self.stack.callback(datagrams.close)
        self.reporter.socket = datagrams
        works = (
            self.declarations.work(),
            self.reporter.work(),
            self.loader.work(),
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

    def _apply_bounds(self, bounds: BoundSettings) -> None:
        self.beliefs.versions.bound_s = bounds.weights_s

    def _serve(self, application: Application, port: int) -> None:
        server = HTTPServer(application)
        server.add_socket(listen(self.settings.address, port))
        self.stack.callback(server.stop)


__all__ = ('DirectAgent',)
