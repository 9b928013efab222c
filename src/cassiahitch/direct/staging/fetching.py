"""Fetches the chunks of one version, each from the source that the swarm names."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.fleet import Fleet, FromOrigin, FromPeer, FromRegion
from cassiahitch.direct.staging.peerclient import ChunkDownload, Transfer
from cassiahitch.direct.staging.scheduler import ChunkScheduler
from cassiahitch.errors import CassiahitchError
from cassiahitch.metrics.names import CounterName, LatencyName
from cassiahitch.util.rates import bytes_per_s
from cassiahitch.weights.tree import Tier

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId
    from cassiahitch.direct.staging.fleet import ChunkFetch
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.telemetry import StateLog
    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.weights.plan import Participant

#: Part of the time of a chunk after which the next one is asked of the origin.
ORIGIN_INTERVAL_FACTOR = 0.9
#: Longest time between two decisions, and least time between two tellings, in seconds.
LOOK_S = 0.05
TELL_S = 0.08
#: Longest time between two tellings, in seconds.
REPEAT_S = 0.4


@dataclass(slots=True)
class VersionFetch:
    """Carries out the orders of a swarm and owns its requests."""

    library: ChunkRepository
    metrics: Metrics
    log: StateLog
    name: WeightsId
    member: Participant
    rng: random.Random
    tell: Callable[[WeightsId, tuple[str, ...]], None]
    is_urgent: Callable[[WeightsId, float], bool]
    fed: int = 1
    swarm: ChunkScheduler | None = None
    tasks: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    told_at: float = float('-inf')
    told: int = -1
    received: Counter[str] = field(default_factory=Counter)
    slowest_s: float = 0

    async def run(self, participants: tuple[Participant, ...]) -> None:
        """Fetch until all chunks are there.

        :param participants: agents that fetch the same version.
        :raises PlatformError: if the manifest cannot be had.
        """
        held = await self.library.open(self.name)
        if self.library.staged in {None, self.name}:
            await self._take_staged(held)
        if held.complete:
            return
        self.swarm = self._swarm(held, participants)
        self.log.state_changed('fetch begun', weights=self.name.version, held=len(held.contents))
        with ExitStack() as stack:
            stack.callback(self._cancel_all)
            while not self.swarm.complete:
                self.changed.clear()
                self._step(held, self.swarm)
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), LOOK_S)
        self._tell_peers(self.swarm)
        self.log.state_changed(
            'fetch complete',
            weights=self.name.version,
            took_s=self._now() - self.swarm.started_at,
            slowest_chunk_s=self.slowest_s,
            **self.received,
        )

    def update(self, participants: tuple[Participant, ...]) -> None:
        """Take in who fetches the same version now.

        :param participants: agents.
        """
        if self.swarm is not None:
            self.swarm.fleet = self._fleet(participants)

    def heard(self, host: str, held: int, uploads: int) -> None:
        """Take in what another agent holds.

        :param host: the agent.
        :param held: bits of its chunks.
        :param uploads: chunks that it has to send.
        """
        if self.swarm is not None:
            self.swarm.told(host, held, uploads, self._now())
            self.changed.set()

    def _swarm(self, held: VersionChunks, participants: tuple[Participant, ...]) -> ChunkScheduler:
        count = len(held.manifest.chunks)
        pace_s = origin_chunk_s(self.library)
        have = self.library.bits(self.name)
        fleet = self._fleet(participants)
        return ChunkScheduler(fleet, count, self.rng, pace_s, self._now(), have, fed=self.fed)

    def _fleet(self, participants: tuple[Participant, ...]) -> Fleet:
        return Fleet(self.member, participants, self.library.origin_region)

    async def _take_staged(self, held: VersionChunks) -> None:
        # After a restart of this process, the engine may still have all chunks.
        for index, _ in enumerate(held.manifest.chunks):
            if index not in held.contents:
                await self.library.take_staged(self.name, index)

    def _step(self, held: VersionChunks, swarm: ChunkScheduler) -> None:
        now = self._now()
        for index in held.contents:
            if not swarm.have >> index & 1:
                swarm.arrived(index, now)
        missing = 1 - len(held.contents) / swarm.count
        swarm.is_urgent = self.is_urgent(self.name, missing)
        for order in swarm.orders(now):
            self.tasks[order.index] = asyncio.create_task(self._fetch(order, swarm))
        due_s = REPEAT_S if self.told == swarm.have else TELL_S
        if now - self.told_at >= due_s:
            self._tell_peers(swarm)

    def _tell_peers(self, swarm: ChunkScheduler) -> None:
        self.told_at = self._now()
        self.told = swarm.have
        near = tuple(host for host in swarm.fleet.near if host != self.member.host)
        self.tell(self.name, near)

    async def _fetch(self, order: ChunkFetch, swarm: ChunkScheduler) -> None:
        began = self._now()
        try:
            content = await self._content(order)
        except CassiahitchError as error:
            self.log.state_changed(
                'chunk not fetched',
                weights=self.name.version,
                index=order.index,
                source=source_name(order),
                took_s=self._now() - began,
                code=error.code.value,
                detail=error.detail,
            )
            swarm.failed(order, self._now())
        else:
            self._note_time(order, self._now() - began)
            self._take(order, content, swarm)
        self.changed.set()

    def _note_time(self, order: ChunkFetch, took_s: float) -> None:
        self.slowest_s = max(self.slowest_s, took_s)
        self.metrics.latency(LatencyName.chunk_fetch, took_s, type(order).__name__)

    def _take(self, order: ChunkFetch, content: bytes | None, swarm: ChunkScheduler) -> None:
        if content is None:
            swarm.refused(order, self._now())
            return
        verified = self.library.shelf.add(self.name, order.index, content)
        counter = CounterName.chunk_bytes_received if verified else CounterName.chunks_refused
        label = 'origin' if isinstance(order, FromOrigin) else 'agent'
        self.metrics.count(counter, label, len(content))
        if verified:
            self.received[type(order).__name__] += 1
            swarm.arrived(order.index, self._now())
            return
        swarm.failed(order, self._now())
        self.log.state_changed('chunk refused', index=order.index, source=source_name(order))

    async def _content(self, order: ChunkFetch) -> bytes | None:
        library = self.library
        peers = library.peers
        wanted = ChunkDownload(
            self.name, order.index, library.chunk_bytes, partial(self._follow, order)
        )
        match order:
            case FromOrigin(index=index):
                async with peers.window.receive(wanted.size, Tier.region):
                    return await library.origin.chunk(
                        library.origin_url, self.name.model, self.name.version, index
                    )
            case FromRegion(host=host):
                return await peers.awaited_chunk(host, wanted, Tier.region)
            case FromPeer(host=host):
                return await peers.chunk(host, wanted, Tier.host)

    def _follow(self, order: ChunkFetch, transfer: Transfer) -> None:
        if self.swarm is not None and isinstance(order, FromRegion):
            waits = transfer is Transfer.waits_here
            self.swarm.moved(order.index, math.inf if waits else self._now())

    def _cancel_all(self) -> None:
        for task in self.tasks.values():
            task.cancel()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def origin_chunk_s(library: ChunkRepository) -> float:
    """Return the time between two chunks that are asked of the origin.

    :param library: knows the rate of the origin and the size of chunks.
    :return: seconds, 0 if the rate is not known.
    """
    if not library.origin_mbit_s:
        return 0
    return ORIGIN_INTERVAL_FACTOR * library.chunk_bytes / bytes_per_s(library.origin_mbit_s)


def source_name(order: ChunkFetch) -> str:
    """Return the name of a source for log lines.

    :param order: what was ordered.
    :return: the host, or that it is the origin.
    """
    match order:
        case FromOrigin():
            return 'origin'
        case FromRegion(host=host) | FromPeer(host=host):
            return host


__all__ = ('VersionFetch',)
