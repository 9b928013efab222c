"""The entry process: serves callers and operators, and runs the controllers under a lease."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.configuration import Configuration
from cassiahitch.entry import assembly, gossip
from cassiahitch.entry.agent_registry import AgentRegistry
from cassiahitch.entry.compaction import compact_changes
from cassiahitch.entry.http import serve_http
from cassiahitch.entry.synchronisation import save_snapshots
from cassiahitch.errors import PlatformError, WireError
from cassiahitch.routing.addresses import EntryRegistry, EntryState
from cassiahitch.routing.router import Router
from cassiahitch.stores.http_client import HttpClient
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire import messages
from cassiahitch.wire.configuration import decode_update
from cassiahitch.wire.dialer import Dialer
from cassiahitch.wire.node import incarnation_name
from cassiahitch.wire.process import BaseProcess
from cassiahitch.wire.reports import make_report

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.controllers.configuration import RevisionApplied
    from cassiahitch.settings.models import EntrySettings
    from cassiahitch.wire.api import ReplySender
    from cassiahitch.wire.connection import Connection

#: Maximum time between two reads of the host list, in seconds.
HOST_LIST_POLL_INTERVAL_S = 1.0
#: Seconds between two checks for members without heartbeats.
MEMBER_POLL_INTERVAL_S = 0.2
#: Maximum time between two archived snapshots of the configuration, in seconds.
SNAPSHOT_INTERVAL_S = 5.0
#: Heartbeats report the load of an entry as an integer out of this number.
LOAD_SCALE = 1000


class EntryProcess(BaseProcess):
    """An entry process; one exit stack owns all of its components."""

    def __init__(self, settings: EntrySettings, clock: Clock | None = None) -> None:
        """Create an entry without starting it.

        :param settings: settings of the entry.
        :param clock: source of time; the clock of the host if ``None``.
        """
        super().__init__(settings, 'entry', clock)
        self.settings = settings
        self.rng = random.Random(self.node.incarnation)
        self.refuses_requests = False
        self.http_port = 0
        self.configuration = Configuration()
        self.router = Router(settings.region, settings.failure_domain, self.rng)
        self.gossip = gossip.create_gossip(
            self.node, self._entry_connections, self._held_fencing_number
        )
        self.agent_registry = AgentRegistry(
            self.node,
            self.configuration,
            self.router,
            self.gossip.gate,
        )
        self.entry_registry = EntryRegistry(settings.region, self.rng)
        self.entries: dict[str, Connection] = {}

    async def start(self) -> None:
        """Open the sockets and start the background tasks."""
        client = await self.stack.enter_async_context(HttpClient())
        self.endpoint = self.open_endpoint()
        self.dialer = Dialer(self.endpoint, self.node.incarnation)
        self.components = assembly.create_components(self._context(), client)
        self.components.synchroniser.listeners.append(self._push_configuration)
        self.http_port = serve_http(self.components.application, self.settings, self.stack)
        self._start_tasks()
        self.node.timeline.record(EventKind.process_started)

    def _context(self) -> assembly.EntryContext:
        return assembly.EntryContext(
            self.node,
            self.settings,
            self.agent_registry,
            self.entry_registry,
            self,
            self._entry_connections,
            self._refuses_requests,
            self.gossip,
        )

    def _entry_connections(self) -> tuple[Connection, ...]:
        return tuple(self.entries.values())

    def _held_fencing_number(self) -> int:
        leadership = self.components.leadership
        return leadership.term if leadership.is_held else 0

    def _refuses_requests(self) -> bool:
        return self.refuses_requests

    def _start_tasks(self) -> None:
        coroutines = (
            self.components.synchroniser.work(),
            self.components.leadership.work(),
            self.components.rollout_driver.work(self.components.leadership),
            self.components.retention_driver.work(self.components.leadership),
            self.dialer.work(self.settings.entries),
            save_snapshots(self.components.synchroniser, SNAPSHOT_INTERVAL_S),
            compact_changes(
                self.components.synchroniser.store, self.components.leadership, self.rng
            ),
            self._poll_hosts(),
            self.gossip.work(),
            self.components.queueing.adapt_bounds(),
            self._poll_members(),
        )
        self.node.tasks.start(coroutines, self.stack)

    def ports(self) -> dict[str, int]:
        """Return the ports that the entry listens on.

        :return: port numbers by the names of their settings.
        """
        return {'port': self.node.port, 'http_port': self.http_port}

    async def shut_down(self) -> None:
        """Stop gracefully: announce it, serve for the grace period, end all requests, close."""
        await self._announce_stop()
        await asyncio.sleep(self.settings.leave_grace_s)
        self.refuses_requests = True
        await self.components.caller_service.wait_for_responses()
        await self.gossip.release_shares()
        await self.stack.aclose()
        self.node.timeline.record(EventKind.process_stopped)

    async def _announce_stop(self) -> None:
        self.is_stopping = True
        self.node.timeline.record(EventKind.process_leaving)
        self._update_own_state()
        await self.endpoint.announce()
        await self.gossip.release_shares()
        await self.components.leadership.resign()

    async def reconnect(self, host: str, incarnation: int) -> Connection:
        """Open a new connection to an agent, to query the outcome of an interrupted request.

        :param host: host of the agent.
        :param incarnation: incarnation of the agent.
        :return: the connection.
        :raises WireError: if the agent is unreachable or has another incarnation.
        """
        peer = self.agent_registry.address_of(host)
        connection = await self.endpoint.dial(peer.address, peer.port)
        if (connection.peer.host, connection.peer.incarnation) != (host, incarnation):
            connection.close(
                WireError(Code.wrong_incarnation, 'another process accepted the connection')
            )
            raise WireError(Code.wrong_incarnation, f'{host} has restarted')
        connection.accepts_calls = False
        return connection

    def heartbeat(self) -> messages.Heartbeat:
        """Return the current heartbeat of this entry.

        :return: the message.
        """
        return replace(
            self.next_heartbeat(self.configuration.revision),
            ready=self.configuration.ready,
            http_port=self.http_port,
            running=int(LOAD_SCALE * self.components.queueing.load),
            capacity=LOAD_SCALE,
        )

    def on_connection_opened(self, connection: Connection) -> None:
        """Record a new connection.

        :param connection: the connection.
        """
        super().on_connection_opened(connection)
        if connection.peer.role == 'entry':
            self.entries[connection.peer.host] = connection

    def on_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Record that a connection has closed.

        :param connection: the connection.
        :param reason: why it was closed.
        """
        self.node.record_connection_ended(connection, reason)
        if self.entries.get(connection.peer.host) is connection:
            self.entries.pop(connection.peer.host)
            self._mark_not_ready(connection.peer)
        self.agent_registry.record_connection_closed(connection)

    async def handle(
        self,
        connection: Connection,
        message: messages.Message,
        reply: ReplySender,
    ) -> None:
        """Handle a message that is not a reply.

        :param connection: connection that it arrived on.
        :param message: the message.
        :param reply: sends the reply.
        :raises WireError: ``message_unknown``.
        """
        match message:
            case messages.Heartbeat() if connection.peer.role == 'agent':
                self.agent_registry.receive_agent_heartbeat(connection, message)
                await self._update_agent(connection, message.revision)
            case messages.Heartbeat():
                self._receive_entry_heartbeat(connection, message)
            case messages.EntryGossip():
                self.gossip.receive(connection.peer.host, message)
            case messages.ConfigurationUpdate():
                self.components.synchroniser.apply(decode_update(message))
            case _:
                await reply(self._reply_to(message))

    def _reply_to(self, message: messages.Message) -> messages.Message:
        match message:
            case messages.ConfigurationPull(after_revision=revision):
                return self.components.synchroniser.update_for(revision)
            case messages.ReportPull():
                return make_report(self.node, message)
            case messages.Locate(host=host):
                return self.agent_registry.address_of(host)
            case _:
                raise WireError(Code.message_unknown, type(message).__name__)

    async def _update_agent(self, connection: Connection, revision: int) -> None:
        if self.configuration.ready and revision < self.configuration.revision:
            await connection.send(self.components.synchroniser.update_for(revision))

    def _receive_entry_heartbeat(
        self, connection: Connection, heartbeat: messages.Heartbeat
    ) -> None:
        peer = connection.peer
        self.agent_registry.receive_entry_heartbeat(peer, heartbeat)
        state = EntryState(
            incarnation_name(peer.host, peer.incarnation),
            f'{peer.address}:{heartbeat.http_port}',
            peer.region,
            peer.failure_domain,
            heartbeat.ready,
            heartbeat.leaving,
            load=heartbeat.running / max(1, heartbeat.capacity),
        )
        self.entry_registry.update(state, self.node.clock.monotonic())

    def _mark_not_ready(self, peer: messages.Hello) -> None:
        """Stop returning the address of a disconnected entry until its next heartbeat."""
        state = self.entry_registry.entries.get(incarnation_name(peer.host, peer.incarnation))
        if state is not None:
            not_ready = replace(state, ready=False)
            self.entry_registry.update(not_ready, self.node.clock.monotonic())

    def _update_own_state(self) -> None:
        settings = self.settings
        self.agent_registry.receive_entry_heartbeat(self.node.hello(), self.heartbeat())
        state = EntryState(
            incarnation_name(settings.host, self.node.incarnation),
            f'{settings.address}:{self.http_port}',
            settings.region,
            settings.failure_domain,
            self.configuration.ready,
            self.is_stopping,
            load=self.components.queueing.load,
        )
        self.entry_registry.update(state, self.node.clock.monotonic())

    def _push_configuration(self, _in_force: RevisionApplied) -> None:
        self.agent_registry.update_routes()
        for agent in tuple(self.agent_registry.agents.values()):
            task = asyncio.create_task(
                self._push_update(agent.connection, agent.heartbeat.revision),
            )
            self.node.background.add(task)
            task.add_done_callback(self.node.background.discard)

    async def _push_update(self, connection: Connection, revision: int) -> None:
        with suppress(WireError):
            await connection.send(self.components.synchroniser.update_for(revision))

    async def _poll_hosts(self) -> None:
        while True:
            with suppress(PlatformError):
                records = await self.components.host_list.hosts()
                now = self.node.clock.monotonic()
                self.agent_registry.apply_membership_changes(
                    self.agent_registry.membership.apply_host_list(records, now)
                )
            await asyncio.sleep(HOST_LIST_POLL_INTERVAL_S * self.rng.uniform(1 / 2, 1))

    async def _poll_members(self) -> None:
        while True:
            self._update_own_state()
            self.agent_registry.check_timeouts()
            await asyncio.sleep(MEMBER_POLL_INTERVAL_S)


__all__ = ('EntryProcess',)
