"""Task that fetches the chunks of one manifest according to its rollout plan."""

from __future__ import annotations

import asyncio
import random
from contextlib import ExitStack, aclosing, suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, WireError
from cassiahitch.metrics.names import CounterName
from cassiahitch.timeline.events import EventKind
from cassiahitch.weights import api
from cassiahitch.weights.activefetches import FetchLimits
from cassiahitch.weights.fetcher import Fetcher
from cassiahitch.weights.manifest import Manifest, parse_manifest, verify_chunk
from cassiahitch.weights.plan import Participant, parse_plan
from cassiahitch.wire.messages import AnswerPart, ChunkReply, ChunkRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from cassiahitch.agent.links import HostLinks
    from cassiahitch.agent.peers import PeerPool
    from cassiahitch.agent.serving import ChunkService
    from cassiahitch.agent.staging import Staging
    from cassiahitch.stores.api import WeightOrigin
    from cassiahitch.weights.tree import Source
    from cassiahitch.wire.messages import FetchOrder
    from cassiahitch.wire.node import Node

#: Maximum time in milliseconds that a peer holds a request before it must be sent again.
REQUEST_WAIT_MS = 10_000
#: Maximum time in seconds to wait for a message before a tick.
MAX_IDLE_S = 30
#: Memory in bytes for chunks in flight, which limits the number of concurrent requests.
IN_FLIGHT_BYTES = 33_554_432
MIN_IN_FLIGHT = 4
NEVER = float('inf')


@dataclass(frozen=True, slots=True)
class FetchContext:
    """Components that fetch tasks use."""

    node: Node
    origin: WeightOrigin
    staging: Staging
    peers: PeerPool
    service: ChunkService
    links: HostLinks


class FetchTask:
    """Runs the fetcher of one manifest and owns the requests for its chunks."""

    def __init__(
        self,
        context: FetchContext,
        order: FetchOrder,
        on_complete: Callable[[str], None],
    ) -> None:
        """Create the task.

        :param context: components that the task uses.
        :param order: the order from the controller.
        :param on_complete: called with the digest once the manifest is complete.
        """
        self.context = context
        self.order = order
        self.on_complete = on_complete
        self.inbox: asyncio.Queue[api.FetchMessage] = asyncio.Queue()
        self.contents: dict[int, bytes] = {}
        self.fetches: dict[int, asyncio.Task[None]] = {}
        self.background: set[asyncio.Task[None]] = set()
        self.stored_chunks: set[int] = set()
        self.manifest: Manifest | None = None
        self.next_tick_at = NEVER
        self.code: Code | None = None

    @property
    def is_ended(self) -> bool:
        """Whether the manifest is complete or the fetch failed."""
        return self.code is not None

    def post(self, message: api.FetchMessage) -> None:
        """Queue a message for the fetcher.

        :param message: the event.
        """
        if not self.is_ended:
            self.inbox.put_nowait(message)

    async def run(self) -> None:
        """Fetch chunks until the manifest is complete or the fetch fails."""
        try:
            received = await self._prepare()
        except CassiahitchError as error:
            self._fail(error.code)
            return
        with ExitStack() as stack:
            stack.callback(self._cancel_all)
            await self._run_fetcher(received)

    def _cancel_all(self) -> None:
        for task in (*self.fetches.values(), *self.background):
            task.cancel()

    async def _prepare(self) -> api.ManifestReceived:
        plan = parse_plan(self.order.plan)
        raw = await self.context.origin.manifest(self.order.origin)
        manifest = parse_manifest(raw, self.order.manifest_digest)
        self.context.service.offer(plan)
        return api.ManifestReceived(plan, manifest)

    async def _run_fetcher(self, received: api.ManifestReceived) -> None:
        self._record(EventKind.rollout_joined)
        self.manifest = received.manifest
        settings = self.context.node.settings
        member = Participant(settings.host, settings.region, settings.failure_domain)
        fetcher = Fetcher(member, random.Random(self.context.node.incarnation), _limits(received))
        message: api.FetchMessage = received
        while True:
            for action in fetcher.handle(message, self._now()):
                await self._perform(action)
            if self.is_ended:
                return
            message = await self._next_message()

    async def _next_message(self) -> api.FetchMessage:
        delay_s = self.next_tick_at - self._now()
        if delay_s > 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(min(delay_s, MAX_IDLE_S)):
                    return await self.inbox.get()
        self.next_tick_at = NEVER
        return api.Tick()

    async def _perform(self, action: api.FetchAction) -> None:
        match action:
            case api.FetchChunk():
                self.fetches[action.index] = asyncio.create_task(self._fetch(action))
            case api.CancelFetch(index=index):
                self._cancel_fetch(index)
            case api.StoreChunk(index=index):
                self._spawn(self._store(index))
            case api.CheckOrigin():
                self._spawn(self._check_origin())
            case api.DiscardChunks(manifest=manifest):
                await self._discard(manifest)
            case api.ChunksComplete(manifest=manifest):
                self._complete(manifest)
            case api.RolloutFailed(code=code):
                self._fail(code)
            case api.ScheduleTick(time=time):
                self.next_tick_at = time

    def _complete(self, manifest: str) -> None:
        self._record(EventKind.weights_verified)
        self.code = Code.ok
        self.on_complete(manifest)

    def _fail(self, code: Code) -> None:
        self.code = code
        cancelled = code is Code.rollout_cancelled
        kind = EventKind.rollout_cancelled if cancelled else EventKind.chunk_refused
        self._record(kind, code)

    def _cancel_fetch(self, index: int) -> None:
        fetch = self.fetches.pop(index, None)
        if fetch is not None:
            fetch.cancel()
        self._record(EventKind.source_replaced)

    async def _discard(self, manifest: str) -> None:
        self.context.service.drop(manifest)
        self.stored_chunks.clear()
        await self.context.staging.discard(manifest)

    async def _fetch(self, action: api.FetchChunk) -> None:
        source = action.source
        try:
            content = await self._request(action.index, source)
        except CassiahitchError as error:
            if error.code is Code.host_unknown:
                self.post(api.ParticipantLost(source.host))
            self.post(api.SourceFailed(action.manifest, action.index, source, error.code))
            return
        manifest = self.manifest
        verified = manifest is not None and await asyncio.to_thread(
            verify_chunk,
            manifest,
            action.index,
            content,
        )
        self._count_received(source, content, verified=verified)
        if verified:
            self.contents[action.index] = content
        self.post(api.ChunkReceived(action.manifest, action.index, source, verified))

    async def _request(self, index: int, source: Source) -> bytes:
        if source.is_origin:
            await self.context.links.receive(self._size(index))
            return await self.context.origin.chunk(self.order.origin, index)
        while True:
            content = bytearray()
            code = await self._receive(index, source.host, content)
            if code is Code.ok:
                return bytes(content)
            if code is not Code.chunk_stalled:
                raise CassiahitchError(code, f'chunk {index} from {source.host}')

    async def _receive(self, index: int, host: str, content: bytearray) -> Code:
        """Receive the parts of a chunk; the request must be repeated on ``chunk_stalled``."""
        own_host = self.context.node.settings.host
        request = ChunkRequest(self.order.manifest_digest, index, own_host, REQUEST_WAIT_MS)
        async with aclosing(self.context.peers.stream(host, request)) as replies:
            async for reply in replies:
                if isinstance(reply, ChunkReply):
                    return Code(reply.code)
                if isinstance(reply, AnswerPart):
                    await self._append_part(index, host, content, reply.body)
        raise WireError(Code.message_unknown, 'peer ended its replies without a chunk reply')

    async def _append_part(self, index: int, host: str, content: bytearray, body: bytes) -> None:
        if len(content) + len(body) > self._size(index):
            raise CassiahitchError(
                Code.chunk_corrupt, f'chunk {index} from {host} exceeds its size'
            )
        content.extend(body)
        self.post(api.SourceAlive(host))
        await self.context.links.receive(len(body))

    def _size(self, index: int) -> int:
        return self.manifest.sizes[index] if self.manifest else 0

    async def _store(self, index: int) -> None:
        content = self.contents.pop(index)
        digest = self.order.manifest_digest
        try:
            await self.context.staging.write(digest, index, content)
        except CassiahitchError:
            self.post(api.StagingFull(digest, index))
            return
        self.stored_chunks.add(index)
        self.context.service.record_stored(digest, index)
        self.post(api.ChunkStored(digest, index))

    async def _check_origin(self) -> None:
        digest = self.order.manifest_digest
        try:
            raw = await self.context.origin.manifest(self.order.origin)
            published_digest = parse_manifest(raw, digest).digest
        except CassiahitchError as error:
            if error.code not in {Code.manifest_changed, Code.manifest_corrupt}:
                return
            published_digest = ''
        self.post(api.OriginChecked(digest, published_digest))

    def _count_received(self, source: Source, content: bytes, *, verified: bool) -> None:
        metrics = self.context.node.metrics
        metrics.count(CounterName.chunk_bytes_received, by=len(content))
        if source.is_origin:
            metrics.count(CounterName.origin_bytes, by=len(content))
        if not verified:
            metrics.count(CounterName.chunks_refused, source.host)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def _record(self, kind: EventKind, code: Code = Code.ok) -> None:
        rollout = self.order.manifest_digest
        self.context.node.timeline.record(kind, rollout_id=rollout, code=code)

    def _now(self) -> float:
        return self.context.node.clock.monotonic()


def _limits(received: api.ManifestReceived) -> FetchLimits:
    defaults = FetchLimits()
    fitting_requests = IN_FLIGHT_BYTES // received.manifest.chunk_bytes
    return FetchLimits(
        max_in_flight=max(MIN_IN_FLIGHT, min(defaults.max_in_flight, fitting_requests))
    )


__all__ = (
    'FetchTask',
    'FetchContext',
)
