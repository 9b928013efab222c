"""Fetches the chunks of one version over the distribution trees."""

from __future__ import annotations

import asyncio
import random
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, PlatformError
from cassiahitch.metrics.names import CounterName
from cassiahitch.weights import api
from cassiahitch.weights.fetcher import Fetcher, FetchLimits
from cassiahitch.weights.plan import build_plan
from cassiahitch.weights.tree import Source, Tier

if TYPE_CHECKING:
    from cassiahitch.direct.chunks import Held, WeightsName
    from cassiahitch.direct.journal import BeliefLog
    from cassiahitch.direct.library import ChunkLibrary
    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.resources.models import Objective
    from cassiahitch.weights.plan import Participant, RolloutPlan

LIMITS = FetchLimits(
    in_flight=10,
    origin_in_flight=2,
    stall_s=2.2,
    wait_s=9,
    origin_wait_s=4,
    retry_s=0.06,
    suspect_s=4,
    stagger_s=0.4,
)
NEVER = float('inf')


@dataclass(slots=True)
class VersionFetch:
    """Drives the fetcher of one version and owns its requests."""

    library: ChunkLibrary
    metrics: Metrics
    log: BeliefLog
    name: WeightsName
    member: Participant
    objective: Objective
    rng: random.Random
    inbox: asyncio.Queue[api.FetchMessage] = field(default_factory=asyncio.Queue)
    fetches: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    wake: float = NEVER
    code: Code | None = None

    async def run(self, participants: tuple[Participant, ...]) -> None:
        """Fetch until all chunks are there.

        :param participants: agents that fetch the same version.
        :raises PlatformError: if the manifest cannot be had, or the fetch failed.
        """
        held = await self.library.open(self.name)
        if self.library.staged in {None, self.name}:
            await self._take_staged(held)
        if held.complete:
            return
        with ExitStack() as stack:
            stack.callback(self._cancel_all)
            await self._drive(held, self._plan(held, participants))
        if self.code is not Code.ok:
            raise PlatformError(self.code or Code.internal, 'the chunks could not be fetched')

    async def _take_staged(self, held: Held) -> None:
        # After a restart of this process, the engine may still have all chunks.
        for index, _ in enumerate(held.manifest.chunks):
            if index not in held.contents:
                await self.library.take_staged(self.name, index)

    def update(self, participants: tuple[Participant, ...]) -> None:
        """Take in who fetches the same version now.

        :param participants: agents.
        """
        held = self.library.shelf.held.get(self.name)
        if held is not None and self.code is None:
            plan = self._plan(held, participants)
            self.inbox.put_nowait(api.ManifestKnown(plan, held.manifest))

    def _plan(self, held: Held, participants: tuple[Participant, ...]) -> RolloutPlan:
        own = {one.host: one for one in participants} | {self.member.host: self.member}
        return build_plan(
            held.manifest.version,
            held.manifest.digest,
            self.objective,
            tuple(own.values()),
            self.library.origin_region,
        )

    async def _drive(self, held: Held, plan: RolloutPlan) -> None:
        fetcher = Fetcher(self.member, self.rng, LIMITS)
        self.inbox.put_nowait(api.ManifestKnown(plan, held.manifest))
        for index in held.contents:
            source = local_source(self.member.host)
            self.inbox.put_nowait(api.ChunkArrived(held.manifest.digest, index, source, True))
        while self.code is None:
            message = await self._next()
            for action in fetcher.handle(message, self._now()):
                self._perform(action, held)

    async def _next(self) -> api.FetchMessage:
        left_s = self.wake - self._now()
        if left_s > 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, LIMITS.stall_s)):
                    return await self.inbox.get()
        self.wake = NEVER
        return api.Tick()

    def _perform(self, action: api.FetchAction, held: Held) -> None:
        digest = held.manifest.digest
        match action:
            case api.FetchChunk(index=index):
                self.fetches[index] = asyncio.create_task(self._fetch(action))
            case api.AbandonFetch(index=index, source=source):
                self.log.believed('source abandoned', index=index, source=source.host)
                task = self.fetches.pop(index, None)
                if task is not None:
                    task.cancel()
            case api.StoreChunk(index=index):
                self.inbox.put_nowait(api.ChunkStored(digest, index))
            case api.CheckOrigin():
                self.inbox.put_nowait(api.OriginChecked(digest, digest))
            case api.WakeAt(time=time):
                self.wake = time
            case api.ChunksComplete():
                self.code = Code.ok
            case api.Failed(code=code):
                self.code = code
            case _:
                return

    async def _fetch(self, order: api.FetchChunk) -> None:
        try:
            content = await self._content(order)
        except CassiahitchError as error:
            self.log.believed(
                'chunk not fetched',
                weights=self.name.version,
                index=order.index,
                source=order.source.host,
                code=error.code.value,
                detail=error.detail,
            )
            failure = api.SourceFailed(order.manifest, order.index, order.source, error.code)
            self.inbox.put_nowait(failure)
            return
        verified = self.library.shelf.add(self.name, order.index, content)
        counter = CounterName.chunk_bytes_received if verified else CounterName.chunks_refused
        label = 'origin' if order.source.is_origin else 'agent'
        self.metrics.count(counter, label, len(content))
        arrived = api.ChunkArrived(order.manifest, order.index, order.source, verified)
        self.inbox.put_nowait(arrived)

    async def _content(self, order: api.FetchChunk) -> bytes:
        library = self.library
        if order.source.is_origin:
            return await library.origin.chunk(
                library.origin_url, self.name.model, self.name.version, order.index
            )
        alive = partial(self.inbox.put_nowait, api.SourceAlive(order.source.host))
        content: bytes | None = None
        while content is None:
            content = await library.peers.chunk(order.source, self.name, order.index, alive)
        return content

    def _cancel_all(self) -> None:
        for task in self.fetches.values():
            task.cancel()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def local_source(host: str) -> Source:
    """Return the source of chunks that are on this host already.

    :param host: this host.
    :return: the source.
    """
    return Source(host, Tier.leaf)


__all__ = ('VersionFetch',)
