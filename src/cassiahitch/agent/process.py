"""The agent process, one for each backend server host."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from dataclasses import replace
from typing import TYPE_CHECKING

from cassiahitch.agent.assembly import MAX_CONCURRENT_RUNS, create_components
from cassiahitch.agent.peers import PeerPool
from cassiahitch.agent.staging import Staging
from cassiahitch.codes import Code
from cassiahitch.controllers.configuration import Configuration, PullChanges, UpdateRejected
from cassiahitch.controllers.fencing import FencingGuard
from cassiahitch.controllers.lease import CONTROLLERS_LEASE as LEASE
from cassiahitch.errors import CassiahitchError, WireError
from cassiahitch.metrics.names import CounterName
from cassiahitch.settings.models import EngineKind
from cassiahitch.stores.http_client import HttpClient
from cassiahitch.timeline.events import EventKind
from cassiahitch.wire import messages
from cassiahitch.wire.answers import encode_ledger_state, encode_outcome
from cassiahitch.wire.configuration import decode_update
from cassiahitch.wire.dialer import Dialer
from cassiahitch.wire.process import BaseProcess
from cassiahitch.wire.reports import make_report

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from cassiahitch.agent.dispatches import DispatchResult
    from cassiahitch.clock import Clock
    from cassiahitch.settings.models import AgentSettings
    from cassiahitch.wire.api import ReplySender
    from cassiahitch.wire.connection import Connection


#: Seconds between checks whether every response has been sent.
RESPONSES_POLL_INTERVAL_S = 0.02


class AgentProcess(BaseProcess):
    """Connects the components of an agent and owns all of them through one exit stack."""

    def __init__(self, settings: AgentSettings, clock: Clock | None = None) -> None:
        """Create an agent that is not started.

        :param settings: settings of the agent.
        :param clock: source of time, by default the clock of the host.
        """
        super().__init__(settings, 'agent', clock)
        self.settings = settings
        self.open_responses = 0
        self.configuration = Configuration()
        self.guard = FencingGuard(self.node.incarnation)

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        settings = self.settings
        http_client = await self.stack.enter_async_context(HttpClient())
        self.endpoint = self.open_endpoint()
        self.staging = Staging(settings.staging_path, settings.staging_bytes)
        self.stack.callback(self.staging.close)
        self.dialer = Dialer(self.endpoint, self.node.incarnation)
        peers = PeerPool(self.endpoint, self.dialer.open_connections)
        components = create_components(self.node, settings, http_client, peers, self.staging)
        self.executor = components.executor
        self.health = components.health
        self.loader = components.loader
        self.distribution = components.distribution
        self._start_tasks()
        self.node.timeline.record(EventKind.process_started)

    def _start_tasks(self) -> None:
        coroutines = (
            self.dialer.work(self.settings.entries),
            self.executor.work(),
            self.health.work(),
            self.loader.work(),
            self.loader.watch_engine(self.settings.timeouts.heartbeat_s),
        )
        self.node.tasks.start((*coroutines, *self._model_tasks()), self.stack)

    def _model_tasks(self) -> tuple[Coroutine[None, None, None], ...]:
        if self.settings.engine_kind is EngineKind.plain:
            return ()
        return (self.health.poll_cache_events(),)

    def ports(self) -> dict[str, int]:
        """Return the ports that the process listens on.

        :return: port numbers by name of the setting.
        """
        return {'port': self.node.port}

    async def shut_down(self) -> None:
        """Shut down: refuse new work, finish running requests and close all resources."""
        self._begin_shutdown()
        await self.endpoint.announce()
        await self.executor.wait_until_finished()
        while self.open_responses:
            await asyncio.sleep(RESPONSES_POLL_INTERVAL_S)
        await self.stack.aclose()
        self.node.timeline.record(EventKind.process_stopped)

    def _begin_shutdown(self) -> None:
        if not self.is_stopping:
            self.node.timeline.record(EventKind.process_leaving)
        self.is_stopping = True
        self.executor.accepting = False

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat to send now.

        :return: the message.
        """
        return replace(
            self.next_heartbeat(self.configuration.revision),
            ready=self.executor.admitting and not self.is_stopping and not self.health.down,
            running=self.executor.running,
            queued=self.executor.queue.qsize(),
            capacity=MAX_CONCURRENT_RUNS,
            deployment=self.loader.deployment,
            plain_service=self.settings.service,
            loaded_digest=self.loader.loaded_digest,
            loading_digest=self.loader.loading_digest,
            load_epoch=self.loader.load_epoch,
            complete_digests=tuple(sorted(self.loader.complete_manifests)),
            chunks_complete=self.distribution.chunks_complete,
            backend_crashes=self.health.crashes,
            cache_sequence=self.health.cache_sequence,
            cache_events=self.health.cache_events,
        )

    def on_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Record that a connection ended.

        :param connection: the connection.
        :param reason: the error that ended it.
        """
        self.node.record_connection_ended(connection, reason)
        if connection.peer.role == 'agent':
            self.distribution.record_host_lost(connection.peer.host)

    async def handle(
        self,
        connection: Connection,
        message: messages.Message,
        reply: ReplySender,
    ) -> None:
        """Handle a message that is not a reply.

        :param connection: the connection that received it.
        :param message: the message.
        :param reply: sends a reply.
        """
        match message:
            case messages.Heartbeat():
                self._record_heartbeat(connection)
            case messages.Dispatch():
                await self._dispatch(message, reply)
            case messages.Cancel(request_id=request_id):
                await self.executor.cancel(request_id.hex())
            case messages.ConfigurationUpdate():
                await self._configure(connection, message)
            case _:
                await self._serve(message, reply)

    async def _serve(self, message: messages.Message, reply: ReplySender) -> None:
        match message:
            case messages.ChunkRequest():
                await self.distribution.serve(message, reply)
            case messages.ReportPull():
                await reply(make_report(self.node, message))
            case messages.Void() | messages.Status():
                state = self.executor.query_or_void(message)
                await reply(encode_ledger_state(state, self.node.incarnation))
            case _:
                self._execute_order(message)
                await reply(messages.OrderReply(Code.ok))

    def _record_heartbeat(self, connection: Connection) -> None:
        self.distribution.record_host_alive(connection.peer.host)

    def _execute_order(self, message: messages.Message) -> None:
        number = getattr(message, 'fencing_number', None)
        if number is not None:
            self.guard.check(LEASE, self.node.incarnation, number)
        match message:
            case messages.FetchOrder():
                self.distribution.fetch(message)
            case messages.OrderLoad():
                self.loader.receive_order(message)
            case messages.Release():
                self.loader.release(message)
            case messages.CancelLoad():
                self.loader.cancel(message)
            case messages.OrderDrain():
                self._drain()
            case _:
                raise CassiahitchError(Code.message_unknown, type(message).__name__)

    def _drain(self) -> None:
        self._begin_shutdown()
        task = asyncio.create_task(self.endpoint.announce())
        self.node.background.add(task)
        task.add_done_callback(self.node.background.discard)

    async def _configure(
        self, connection: Connection, update: messages.ConfigurationUpdate
    ) -> None:
        has_more = self._apply_update(update)
        while has_more:
            pull = messages.ConfigurationPull(self.configuration.revision)
            answer = await connection.call(pull)
            has_more = isinstance(answer, messages.ConfigurationUpdate) and self._apply_update(
                answer
            )

    def _apply_update(self, update: messages.ConfigurationUpdate) -> bool:
        """Apply a configuration update and return whether more changes must be pulled."""
        previous_revision = self.configuration.revision
        now = self.node.clock.monotonic()
        actions = self.configuration.apply(decode_update(update), now)
        for refusal in actions:
            if isinstance(refusal, UpdateRejected):
                raise CassiahitchError(refusal.code, refusal.detail)
        if self.configuration.revision > previous_revision:
            self.node.metrics.count(CounterName.revisions_applied)
            detail = f'revision {self.configuration.revision}'
            self.node.timeline.record(EventKind.revision_applied, detail=detail)
        return any(isinstance(action, PullChanges) for action in actions)

    async def _dispatch(self, dispatch: messages.Dispatch, reply: ReplySender) -> None:
        links = self.distribution.context.links
        links.record_live_received(len(dispatch.body))
        parts: asyncio.Queue[bytes | None] = asyncio.Queue()
        run = asyncio.create_task(self.executor.run(dispatch, parts.put_nowait))
        run.add_done_callback(lambda _: parts.put_nowait(None))
        with ExitStack() as stack:
            self.open_responses += 1
            stack.callback(self._release_response)
            sent = await _forward_parts(dispatch, parts, reply)
            answer = _response_message(dispatch, run.result(), sent, self.health.crashes)
            links.record_live_sent(answer.length)
            await reply(answer)

    def _release_response(self) -> None:
        self.open_responses -= 1


async def _forward_parts(
    dispatch: messages.Dispatch,
    parts: asyncio.Queue[bytes | None],
    reply: ReplySender,
) -> int:
    sent = 0
    index = 0
    while True:
        part = await parts.get()
        if part is None:
            return sent
        if dispatch.stream:
            await reply(messages.AnswerPart(dispatch.request_id, index, part))
            sent += len(part)
            index += 1


def _response_message(
    dispatch: messages.Dispatch,
    result: DispatchResult,
    sent: int,
    crashes: int,
) -> messages.Answer:
    answer = encode_outcome(result.outcome, dispatch.request_id, dispatch.body_digest)
    body = b'' if sent and sent == answer.length else answer.body
    return messages.Answer(
        request_id=answer.request_id,
        body_digest=answer.body_digest,
        code=answer.code,
        ran=answer.ran,
        body=body,
        length=answer.length,
        checksum=answer.checksum,
        weights_digest=answer.weights_digest,
        backend_crashed=result.crashed,
        replayed=result.replayed,
        backend_crashes=crashes,
    )


__all__ = ('AgentProcess',)
