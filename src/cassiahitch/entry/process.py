"""The entry process: serves callers and operators and runs controllers under a lease."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.configuration import Configuration
from cassiahitch.entry import assembly, gossip
from cassiahitch.entry.compaction import compact_changes
from cassiahitch.entry.directory import Directory
from cassiahitch.entry.http import serve_http
from cassiahitch.entry.synchronisation import save_snapshots
from cassiahitch.errors import PlatformError, WireError
from cassiahitch.routing.addresses import EntryRegistry, EntryState
from cassiahitch.routing.router import Router
from cassiahitch.stores.caller import HttpCaller
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire import messages
from cassiahitch.wire.configuration import decode_update
from cassiahitch.wire.dialer import Dialer
from cassiahitch.wire.node import incarnation_name
from cassiahitch.wire.process import BaseProcess
from cassiahitch.wire.reports import make_report

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.controllers.configuration import InForce
    from cassiahitch.settings.models import EntrySettings
    from cassiahitch.wire.api import ReplySender
    from cassiahitch.wire.connection import Connection

#: Seconds between looks at the host list.
HOST_LIST_POLL_S = 1.0
#: Seconds between looks at silent members.
MEMBER_POLL_S = 0.2
SNAPSHOT_INTERVAL_S = 5.0
#: An entry tells its load in these parts.
LOAD_SCALE = 1000


class EntryProcess(BaseProcess):
    """Wires the parts of an entry; owns all of them through one exit stack."""

    def __init__(self, settings: EntrySettings, clock: Clock | None = None) -> None:
        """Create an entry that is not started.

        :param settings: its settings.
        :param clock: source of time, that of the host by default.
        """
        super().__init__(settings, 'entry', clock)
        self.settings = settings
        self.rng = random.Random(self.node.incarnation)
        self.closing = False
        self.http_port = 0
        self.configuration = Configuration()
        self.router = Router(settings.region, settings.failure_domain, self.rng)
        self.gossip = gossip.make_gossip(self.node, self._live_entries, self._held_term)
        self.directory = Directory(
            self.node,
            self.configuration,
            self.router,
            self.gossip.gate,
        )
        self.addresses = EntryRegistry(settings.region, self.rng)
        self.entries: dict[str, Connection] = {}

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        caller = await self.stack.enter_async_context(HttpCaller())
        self.endpoint = self.open_endpoint()
        self.dialer = Dialer(self.endpoint, self.node.incarnation)
        self.parts = assembly.assemble(self._core(), caller)
        self.parts.synchroniser.listeners.append(self._push_configuration)
        self.http_port = serve_http(self.parts.application, self.settings, self.stack)
        self._start_tasks()
        self.node.timeline.record(EventKind.process_started)

    def _core(self) -> assembly.EntryCore:
        return assembly.EntryCore(
            self.node,
            self.settings,
            self.directory,
            self.addresses,
            self,
            self._live_entries,
            self._is_closing,
            self.gossip,
        )

    def _live_entries(self) -> tuple[Connection, ...]:
        return tuple(self.entries.values())

    def _held_term(self) -> int:
        leadership = self.parts.leadership
        return leadership.term if leadership.held else 0

    def _is_closing(self) -> bool:
        return self.closing

    def _start_tasks(self) -> None:
        works = (
            self.parts.synchroniser.work(),
            self.parts.leadership.work(),
            self.parts.rollouts.work(self.parts.leadership),
            self.parts.retention.work(self.parts.leadership),
            self.dialer.work(self.settings.entries),
            save_snapshots(self.parts.synchroniser, SNAPSHOT_INTERVAL_S),
            compact_changes(self.parts.synchroniser.store, self.parts.leadership, self.rng),
            self._poll_hosts(),
            self.gossip.work(),
            self.parts.queueing.adapt_bounds(),
            self._poll_members(),
        )
        self.node.tasks.start(works, self.stack)

    def ports(self) -> dict[str, int]:
        """Return the ports that are listened on.

        :return: port numbers by the names of their settings.
        """
        return {'port': self.node.port, 'http_port': self.http_port}

    async def shut_down(self) -> None:
        """Leave the addresses, serve for the grace, finish what runs and close everything."""
        await self._announce_leaving()
        await asyncio.sleep(self.settings.leave_grace_s)
        self.closing = True
        await self.parts.caller_service.answered()
        await self.gossip.leave()
        await self.stack.aclose()
        self.node.timeline.record(EventKind.process_stopped)

    async def _announce_leaving(self) -> None:
        self.is_stopping = True
        self.node.timeline.record(EventKind.process_leaving)
        self._note_self()
        await self.endpoint.announce()
        await self.gossip.leave()
        await self.parts.leadership.resign()

    async def reconnect(self, host: str, incarnation: int) -> Connection:
        """Open a new connection to an agent, to settle what is unclear.

        :param host: its host.
        :param incarnation: its incarnation.
        :return: the connection.
        :raises WireError: if the agent cannot be reached in that incarnation.
        """
        peer = self.directory.locate(host)
        connection = await self.endpoint.dial(peer.address, peer.port)
        if (connection.peer.host, connection.peer.incarnation) != (host, incarnation):
            connection.close(WireError(Code.wrong_incarnation, 'another process answered'))
            raise WireError(Code.wrong_incarnation, f'{host} has restarted')
        connection.accepts_calls = False
        return connection

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat to send now.

        :return: the message.
        """
        return replace(
            self.next_heartbeat(self.configuration.revision),
            ready=self.configuration.ready,
            http_port=self.http_port,
            running=int(LOAD_SCALE * self.parts.queueing.load),
            capacity=LOAD_SCALE,
        )

    def on_connection_opened(self, connection: Connection) -> None:
        """Take note of a new connection.

        :param connection: the connection.
        """
        super().on_connection_opened(connection)
        if connection.peer.role == 'entry':
            self.entries[connection.peer.host] = connection

    def on_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Take note that a connection ended.

        :param connection: the connection.
        :param reason: why it ended.
        """
        self.node.record_connection_ended(connection, reason)
        if self.entries.get(connection.peer.host) is connection:
            self.entries.pop(connection.peer.host)
            self._drop_address(connection.peer)
        self.directory.ended(connection)

    async def handle(
        self,
        connection: Connection,
        message: messages.Message,
        reply: ReplySender,
    ) -> None:
        """Handle a message that is not a reply.

        :param connection: where it arrived.
        :param message: the message.
        :param reply: sends a reply.
        :raises WireError: ``message_unknown``.
        """
        match message:
            case messages.Heartbeat() if connection.peer.role == 'agent':
                self.directory.heard(connection, message)
                await self._update_agent(connection, message.revision)
            case messages.Heartbeat():
                self._hear_entry(connection, message)
            case messages.EntryGossip():
                self.gossip.receive(connection.peer.host, message)
            case messages.ConfigurationUpdate():
                self.parts.synchroniser.apply(decode_update(message))
            case _:
                await reply(self._answer(message))

    def _answer(self, message: messages.Message) -> messages.Message:
        match message:
            case messages.ConfigurationPull(after_revision=revision):
                return self.parts.synchroniser.update_for(revision)
            case messages.ReportPull():
                return make_report(self.node, message)
            case messages.Locate(host=host):
                return self.directory.locate(host)
            case _:
                raise WireError(Code.message_unknown, type(message).__name__)

    async def _update_agent(self, connection: Connection, revision: int) -> None:
        if self.configuration.ready and revision < self.configuration.revision:
            await connection.send(self.parts.synchroniser.update_for(revision))

    def _hear_entry(self, connection: Connection, beat: messages.Heartbeat) -> None:
        peer = connection.peer
        self.directory.heard_entry(peer, beat)
        state = EntryState(
            incarnation_name(peer.host, peer.incarnation),
            f'{peer.address}:{beat.http_port}',
            peer.region,
            peer.failure_domain,
            beat.ready,
            beat.leaving,
            load=beat.running / max(1, beat.capacity),
        )
        self.addresses.update(state, self.node.clock.monotonic())

    def _drop_address(self, peer: messages.Hello) -> None:
        """Name an entry whose connection ended no longer, until it is heard again."""
        state = self.addresses.entries.get(incarnation_name(peer.host, peer.incarnation))
        if state is not None:
            gone = replace(state, ready=False)
            self.addresses.update(gone, self.node.clock.monotonic())

    def _note_self(self) -> None:
        settings = self.settings
        self.directory.heard_entry(self.node.hello(), self.heartbeat())
        state = EntryState(
            incarnation_name(settings.host, self.node.incarnation),
            f'{settings.address}:{self.http_port}',
            settings.region,
            settings.failure_domain,
            self.configuration.ready,
            self.is_stopping,
            load=self.parts.queueing.load,
        )
        self.addresses.update(state, self.node.clock.monotonic())

    def _push_configuration(self, _in_force: InForce) -> None:
        self.directory.refresh()
        for agent in tuple(self.directory.agents.values()):
            task = asyncio.create_task(
                self._push(agent.connection, agent.heartbeat.revision),
            )
            self.node.background.add(task)
            task.add_done_callback(self.node.background.discard)

    async def _push(self, connection: Connection, revision: int) -> None:
        with suppress(WireError):
            await connection.send(self.parts.synchroniser.update_for(revision))

    async def _poll_hosts(self) -> None:
        while True:
            with suppress(PlatformError):
                listed = await self.parts.hosts.hosts()
                now = self.node.clock.monotonic()
                self.directory.act(self.directory.membership.apply_host_list(listed, now))
            await asyncio.sleep(HOST_LIST_POLL_S * self.rng.uniform(1 / 2, 1))

    async def _poll_members(self) -> None:
        while True:
            self._note_self()
            self.directory.poll()
            await asyncio.sleep(MEMBER_POLL_S)


__all__ = ('EntryProcess',)
