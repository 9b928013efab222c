"""Fetches manifests by their plans and serves their chunks to other agents."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.metrics.names import CounterName
from cassiahitch.timeline.events import EventKind
from cassiahitch.weights import api
from cassiahitch.weights.fetcher import Fetcher
from cassiahitch.weights.manifest import Manifest, parse_manifest, verify_chunk
from cassiahitch.weights.plan import Participant, RolloutPlan, parse_plan
from cassiahitch.wire.messages import ChunkReply, ChunkRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from cassiahitch.agent.claims import Peers
    from cassiahitch.agent.staging import Staging
    from cassiahitch.platform.api import WeightOrigin
    from cassiahitch.weights.tree import Source
    from cassiahitch.wire.messages import FetchOrder
    from cassiahitch.wire.node import Node

#: Longest time for which a chunk request waits for its chunk, in seconds.
CHUNK_WAIT_S = 30
MS_PER_S = 1000
NEVER = float('inf')


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What fetching uses."""

    node: Node
    origin: WeightOrigin
    staging: Staging
    peers: Peers


@dataclass(slots=True)
class Stored:
    """Chunks of a manifest that are on this host."""

    indexes: set[int] = field(default_factory=set)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)


class FetchTask:
    """Drives the fetcher of one manifest."""

    def __init__(
        self,
        surroundings: Surroundings,
        order: FetchOrder,
        on_complete: Callable[[str], None],
    ) -> None:
        """Create the task.

        :param surroundings: what it uses.
        :param order: the order of the controller.
        :param on_complete: takes the digest of the complete manifest.
        """
        self.around = surroundings
        self.order = order
        self.on_complete = on_complete
        settings = surroundings.node.settings
        member = Participant(settings.host, settings.region, settings.failure_domain)
        self.fetcher = Fetcher(member, random.Random(surroundings.node.incarnation))
        self.inbox: asyncio.Queue[api.FetchMessage] = asyncio.Queue()
        self.contents: dict[int, bytes] = {}
        self.fetches: dict[int, asyncio.Task[None]] = {}
        self.background: set[asyncio.Task[None]] = set()
        self.stored = Stored()
        self.wake = NEVER
        self.ended = False

    async def run(self) -> None:
        """Fetch until the manifest is complete or the rollout ends."""
        try:
            plan, manifest = await self._prepare()
        except CassiahitchError as error:
            self._record(EventKind.chunk_refused, error.code)
            self.ended = True
            return
        self._record(EventKind.rollout_joined)
        self.inbox.put_nowait(api.ManifestKnown(plan, manifest))
        while not self.ended:
            message = await self._next()
            for action in self.fetcher.handle(message, self._now()):
                await self._perform(action)

    async def _prepare(self) -> tuple[RolloutPlan, Manifest]:
        plan = parse_plan(self.order.plan)
        raw = await self.around.origin.manifest(self.order.origin)
        return plan, parse_manifest(raw, self.order.manifest_digest)

    async def _next(self) -> api.FetchMessage:
        try:
            async with asyncio.timeout(max(0, min(self.wake - self._now(), CHUNK_WAIT_S))):
                return await self.inbox.get()
        except TimeoutError:
            return api.Tick()

    async def _perform(self, action: api.FetchAction) -> None:
        match action:
            case api.FetchChunk():
                self.fetches[action.index] = asyncio.create_task(self._fetch(action))
            case api.AbandonFetch(index=index):
                self._abandon(index)
            case api.StoreChunk(index=index):
                self._spawn(self._store(index))
            case api.CheckOrigin():
                self._spawn(self._check_origin())
            case api.DiscardChunks(manifest=manifest):
                await self.around.staging.discard(manifest)
            case api.ChunksComplete(manifest=manifest):
                self._complete(manifest)
            case api.Failed(code=code):
                self._record(EventKind.chunk_refused, code)
                self.ended = True
            case api.WakeAt(time=time):
                self.wake = time

    def _complete(self, manifest: str) -> None:
        self._record(EventKind.weights_verified)
        self.ended = True
        self.on_complete(manifest)

    def _abandon(self, index: int) -> None:
        fetch = self.fetches.pop(index, None)
        if fetch is not None:
            fetch.cancel()

    async def _fetch(self, action: api.FetchChunk) -> None:
        try:
            content = await self._request(action.index, action.source)
        except CassiahitchError as error:
            failed = api.SourceFailed(action.manifest, action.index, action.source, error.code)
            self.inbox.put_nowait(failed)
            return
        manifest = self.fetcher.manifest
        verified = manifest is not None and await asyncio.to_thread(
            verify_chunk,
            manifest,
            action.index,
            content,
        )
        self._count_received(action.source, content, verified=verified)
        if verified:
            self.contents[action.index] = content
        arrived = api.ChunkArrived(action.manifest, action.index, action.source, verified)
        self.inbox.put_nowait(arrived)

    async def _request(self, index: int, source: Source) -> bytes:
        if source.is_origin:
            return await self.around.origin.chunk(self.order.origin, index)
        host = self.around.node.settings.host
        wait_ms = CHUNK_WAIT_S * MS_PER_S
        request = ChunkRequest(self.order.manifest_digest, index, host, wait_ms)
        reply = await self.around.peers.call(source.host, request)
        if not isinstance(reply, ChunkReply):
            raise CassiahitchError(Code.message_unknown, 'expected a chunk')
        if reply.code != Code.ok:
            raise CassiahitchError(Code.chunk_missing, f'{source.host} answered {reply.code}')
        return reply.content

    async def _store(self, index: int) -> None:
        content = self.contents.pop(index)
        digest = self.order.manifest_digest
        try:
            await self.around.staging.write(digest, index, content)
        except CassiahitchError:
            self.inbox.put_nowait(api.StagingFull(digest, index))
            return
        async with self.stored.changed:
            self.stored.indexes.add(index)
            self.stored.changed.notify_all()
        self.inbox.put_nowait(api.ChunkStored(digest, index))

    async def _check_origin(self) -> None:
        digest = self.order.manifest_digest
        try:
            raw = await self.around.origin.manifest(self.order.origin)
            found = parse_manifest(raw, digest).digest
        except CassiahitchError as error:
            if error.code not in {Code.manifest_changed, Code.manifest_corrupt}:
                return
            found = ''
        self.inbox.put_nowait(api.OriginChecked(digest, found))

    def _count_received(self, source: Source, content: bytes, *, verified: bool) -> None:
        metrics = self.around.node.metrics
        metrics.count(CounterName.chunk_bytes_received, by=len(content))
        if source.is_origin:
            metrics.count(CounterName.origin_bytes, by=len(content))
        if not verified:
            metrics.count(CounterName.chunks_refused, source.host)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def _record(self, kind: EventKind, code: Code = Code.ok) -> None:
        rollout = self.order.manifest_digest
        self.around.node.timeline.record(kind, rollout_id=rollout, code=code)

    def _now(self) -> float:
        return self.around.node.clock.monotonic()


class Distribution:
    """All manifests that this host fetches or holds."""

    def __init__(self, surroundings: Surroundings, on_complete: Callable[[str], None]) -> None:
        """Create it without manifests.

        :param surroundings: what fetching uses.
        :param on_complete: takes the digest of each manifest that becomes complete.
        """
        self.around = surroundings
        self.on_complete = on_complete
        self.complete: set[str] = set()
        self.fetchers: dict[str, FetchTask] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def chunks_complete(self) -> int:
        """Number of verified chunks on this host."""
        return sum(len(task.stored.indexes) for task in self.fetchers.values())

    def chunks_of(self, manifest: str) -> int:
        """Return how many verified chunks of a manifest are on this host.

        :param manifest: its digest.
        :return: the number.
        """
        fetcher = self.fetchers.get(manifest)
        return len(fetcher.stored.indexes) if fetcher else 0

    def fetch(self, order: FetchOrder) -> None:
        """Start to fetch a manifest; an order for one under way changes nothing.

        :param order: the order of the controller.
        """
        known = self.fetchers.get(order.manifest_digest)
        if order.manifest_digest in self.complete or (known is not None and not known.ended):
            return
        fetcher = FetchTask(self.around, order, self._completed)
        self.fetchers[order.manifest_digest] = fetcher
        task = asyncio.create_task(fetcher.run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def heard(self, host: str) -> None:
        """Take note of a sign of life of another host.

        :param host: the host.
        """
        for fetcher in self.fetchers.values():
            if not fetcher.ended:
                fetcher.inbox.put_nowait(api.SourceAlive(host))

    async def serve(self, request: ChunkRequest) -> ChunkReply:
        """Return a chunk, once it is on this host.

        :param request: which chunk, and how long its receiver waits.
        :return: the chunk, or a code.
        """
        fetcher = self.fetchers.get(request.manifest_digest)
        if fetcher is None:
            return _refusal(request, Code.chunk_missing)
        stored = fetcher.stored
        try:
            async with asyncio.timeout(min(request.wait_ms / MS_PER_S, CHUNK_WAIT_S)):
                async with stored.changed:
                    await stored.changed.wait_for(lambda: request.index in stored.indexes)
        except TimeoutError:
            return _refusal(request, Code.chunk_stalled)
        content = await self.around.staging.read(request.manifest_digest, request.index)
        self.around.node.metrics.count(CounterName.chunk_bytes_sent, by=len(content))
        return ChunkReply(request.manifest_digest, request.index, Code.ok, content)

    def _completed(self, manifest: str) -> None:
        self.complete.add(manifest)
        self.on_complete(manifest)


def _refusal(request: ChunkRequest, code: Code) -> ChunkReply:
    return ChunkReply(request.manifest_digest, request.index, code)


__all__ = (
    'Distribution',
    'Surroundings',
)
