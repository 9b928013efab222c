"""Fetches the chunks of one version, each from the source that the scheduler chooses."""

from __future__ import annotations

import asyncio
import hashlib
import math
import random
from collections import Counter
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.direct.staging.fleet import Fleet, FromOrigin, FromPeer, FromRegion
from cassiahitch.direct.staging.peerclient import ChunkDownload, TransferState
from cassiahitch.direct.staging.scheduler import ChunkScheduler
from cassiahitch.errors import CassiahitchError, PlatformError
from cassiahitch.metrics.names import CounterName, LatencyName
from cassiahitch.util.rates import bytes_per_s
from cassiahitch.weights.tree import Tier

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.direct.staging.chunks import VersionChunks, WeightsId
    from cassiahitch.direct.staging.fleet import ChunkFetch
    from cassiahitch.direct.staging.layout import WeightsLayout
    from cassiahitch.direct.staging.repository import ChunkRepository
    from cassiahitch.direct.statelog import StateLog
    from cassiahitch.metrics.registry import Metrics
    from cassiahitch.weights.plan import Participant

#: Share of the time that the origin takes for a chunk after which the next one is requested.
ORIGIN_INTERVAL_FACTOR = 0.9
#: Longest time between two scheduling steps, in seconds.
SCHEDULE_INTERVAL_S = 0.05
#: Time between two chunk maps sent to the region, in seconds: after a change, and without one.
MAP_INTERVAL_S = 0.08
MAP_REPEAT_INTERVAL_S = 0.4
#: Seconds between two reads of a manifest that nobody has sent in a sound form.
MANIFEST_RETRY_S = 0.3
#: Least time between two reads of the manifest during a fetch, in seconds.
MANIFEST_INTERVAL_S = 1.0


@dataclass(slots=True)
class VersionFetch:
    """Runs the fetches of a chunk scheduler until all chunks of a version are in memory.

    ``map_sent_at`` and ``sent_bitmap`` are the time and the content of the last chunk map that was
    sent to the region. ``layout`` is the one that was declared when the fetch began. ``received``
    counts chunks by the kind of their source, and ``slowest_s`` is the longest time that a chunk
    took, in seconds. ``refused`` has the digests of contents that did not match the manifest, which
    was last read again at ``manifest_read_at``.
    """

    repository: ChunkRepository
    metrics: Metrics
    log: StateLog
    weights: WeightsId
    local_agent: Participant
    rng: random.Random
    send_map: Callable[[WeightsId, tuple[str, ...]], None]
    is_urgent: Callable[[WeightsId, float], bool]
    origin_regions: int = 1
    scheduler: ChunkScheduler | None = None
    tasks: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    map_sent_at: float = float('-inf')
    sent_bitmap: int = -1
    received: Counter[str] = field(default_factory=Counter)
    slowest_s: float = 0
    refused: set[tuple[int, bytes]] = field(default_factory=set)
    manifest_read_at: float = float('-inf')
    layout: WeightsLayout = field(init=False)

    def __post_init__(self) -> None:
        """Note the layout of the version."""
        self.layout = self.repository.layout

    async def run(self, participants: tuple[Participant, ...]) -> None:
        """Fetch until all chunks of the version are in memory.

        :param participants: the agents that fetch the same version.
        :raises PlatformError: if the manifest is unavailable.
        """
        chunks = await self._open_version()
        if self.repository.staged_weights in {None, self.weights}:
            await self._restore_staged(chunks)
        if chunks.complete:
            return
        self.scheduler = self._make_scheduler(chunks, participants)
        self.log.state_changed(
            'fetch begun', weights=self.weights.version, held=len(chunks.contents)
        )
        with ExitStack() as stack:
            stack.callback(self._cancel_all)
            while not self.scheduler.complete:
                self.changed.clear()
                self._step(chunks, self.scheduler)
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), SCHEDULE_INTERVAL_S)
        self._send_map_to_region(self.scheduler)
        self.log.state_changed(
            'fetch complete',
            weights=self.weights.version,
            took_s=self._now() - self.scheduler.started_at,
            slowest_chunk_s=self.slowest_s,
            **self.received,
        )

    def update_participants(self, participants: tuple[Participant, ...]) -> None:
        """Replace the agents that fetch the same version.

        :param participants: the agents.
        """
        if self.scheduler is not None:
            self.scheduler.fleet = self._fleet(participants)

    def receive_map(self, host: str, held: int, uploads: int) -> None:
        """Record the chunk map of another agent.

        :param host: the agent.
        :param held: bitmap of the chunks that it holds.
        :param uploads: number of chunks that it sends or has queued to send.
        """
        if self.scheduler is not None:
            self.scheduler.update_holder(host, held, uploads, self._now())
            self.changed.set()

    async def _open_version(self) -> VersionChunks:
        """Wait for a sound manifest; that of another agent may come before the origin's."""
        while True:
            try:
                return await self.repository.open_version(self.weights)
            except PlatformError as error:
                if error.code is not Code.manifest_corrupt:
                    raise
            await asyncio.sleep(MANIFEST_RETRY_S)

    def _make_scheduler(
        self, chunks: VersionChunks, participants: tuple[Participant, ...]
    ) -> ChunkScheduler:
        count = len(chunks.manifest.chunks)
        interval_s = origin_interval_s(self.repository)
        held = self.repository.held_bitmap(self.weights)
        fleet = self._fleet(participants)
        return ChunkScheduler(
            fleet,
            count,
            self.rng,
            interval_s,
            self._now(),
            held,
            origin_regions=self.origin_regions,
        )

    def _fleet(self, participants: tuple[Participant, ...]) -> Fleet:
        return Fleet(self.local_agent, participants, self.repository.origin_region)

    async def _restore_staged(self, chunks: VersionChunks) -> None:
        # After a restart of this process, the engine may still have all chunks staged.
        for index, _ in enumerate(chunks.manifest.chunks):
            if index not in chunks.contents:
                await self.repository.restore_staged(self.weights, index)

    def _step(self, chunks: VersionChunks, scheduler: ChunkScheduler) -> None:
        now = self._now()
        for index in chunks.contents:
            if not scheduler.held >> index & 1:
                scheduler.record_arrival(index, now)
        missing_share = 1 - len(chunks.contents) / scheduler.count
        scheduler.is_urgent = self.is_urgent(self.weights, missing_share)
        for fetch in scheduler.schedule(now):
            self.tasks[fetch.index] = asyncio.create_task(self._fetch(fetch, scheduler))
        due_s = MAP_REPEAT_INTERVAL_S if self.sent_bitmap == scheduler.held else MAP_INTERVAL_S
        if now - self.map_sent_at >= due_s:
            self._send_map_to_region(scheduler)

    def _send_map_to_region(self, scheduler: ChunkScheduler) -> None:
        self.map_sent_at = self._now()
        self.sent_bitmap = scheduler.held
        region_hosts = tuple(
            host for host in scheduler.fleet.region_hosts if host != self.local_agent.host
        )
        self.send_map(self.weights, region_hosts)

    async def _fetch(self, fetch: ChunkFetch, scheduler: ChunkScheduler) -> None:
        started_at = self._now()
        try:
            content = await self._fetch_content(fetch)
        except CassiahitchError as error:
            self.log.state_changed(
                'chunk not fetched',
                weights=self.weights.version,
                index=fetch.index,
                source=source_name(fetch),
                took_s=self._now() - started_at,
                code=error.code.value,
                detail=error.detail,
            )
            scheduler.record_failure(fetch, self._now())
        else:
            self._record_duration(fetch, self._now() - started_at)
            if content is None:
                scheduler.record_refusal(fetch, self._now())
            elif not self._add_chunk(fetch, content, scheduler):
                await self._doubt_manifest(fetch.index, content)
        self.changed.set()

    def _record_duration(self, fetch: ChunkFetch, took_s: float) -> None:
        self.slowest_s = max(self.slowest_s, took_s)
        self.metrics.latency(LatencyName.chunk_fetch, took_s, type(fetch).__name__)

    async def _doubt_manifest(self, index: int, content: bytes) -> None:
        """Read the manifest again if the same content has been refused before.

        Load pattern: the origin sent a corrupt manifest. Each source then sends the same sound
        content of a chunk again and again.
        """
        refused = index, hashlib.sha256(content).digest()
        is_repeated = refused in self.refused
        self.refused.add(refused)
        if not is_repeated or self._now() - self.manifest_read_at < MANIFEST_INTERVAL_S:
            return
        self.manifest_read_at = self._now()
        with suppress(PlatformError):
            changed = await self.repository.refresh_manifest(self.weights)
            self.log.state_changed(
                'manifest read again', weights=self.weights.version, index=index, changed=changed
            )

    def _add_chunk(self, fetch: ChunkFetch, content: bytes, scheduler: ChunkScheduler) -> bool:
        """Add a chunk to those in memory, unless it does not match the manifest."""
        verified = self.repository.cache.add_chunk(self.weights, fetch.index, content)
        counter = CounterName.chunk_bytes_received if verified else CounterName.chunks_refused
        label = 'origin' if isinstance(fetch, FromOrigin) else 'agent'
        self.metrics.count(counter, label, len(content))
        if verified:
            self.received[type(fetch).__name__] += 1
            scheduler.record_arrival(fetch.index, self._now())
            return True
        scheduler.record_failure(fetch, self._now())
        self.log.state_changed('chunk refused', index=fetch.index, source=source_name(fetch))
        return False

    async def _fetch_content(self, fetch: ChunkFetch) -> bytes | None:
        repository = self.repository
        peers = repository.peers
        download = ChunkDownload(
            self.weights,
            fetch.index,
            repository.layout.chunk_bytes,
            partial(self._record_progress, fetch),
        )
        match fetch:
            case FromOrigin(index=index):
                async with peers.window.receive(download.size, Tier.region):
                    return await repository.origin.chunk(
                        repository.manifests.origin_url,
                        self.weights.model,
                        self.weights.version,
                        index,
                    )
            case FromRegion(host=host):
                return await peers.fetch_chunk_when_available(host, download, Tier.region)
            case FromPeer(host=host):
                return await peers.fetch_chunk(host, download, Tier.host)

    def _record_progress(self, fetch: ChunkFetch, state: TransferState) -> None:
        if self.scheduler is not None and isinstance(fetch, FromRegion):
            is_waiting = state is TransferState.waiting_locally
            self.scheduler.record_progress(fetch.index, math.inf if is_waiting else self._now())

    def _cancel_all(self) -> None:
        for task in self.tasks.values():
            task.cancel()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def origin_interval_s(repository: ChunkRepository) -> float:
    """Return the time between two chunks that are requested from the origin.

    :param repository: has the rate of the origin and the size of chunks.
    :return: seconds, 0 if the rate is unknown.
    """
    if not repository.origin_mbit_s:
        return 0
    chunk_bytes = repository.layout.chunk_bytes
    return ORIGIN_INTERVAL_FACTOR * chunk_bytes / bytes_per_s(repository.origin_mbit_s)


def source_name(fetch: ChunkFetch) -> str:
    """Return the name of the source of a fetch for log lines.

    :param fetch: the fetch.
    :return: the host, or ``origin``.
    """
    match fetch:
        case FromOrigin():
            return 'origin'
        case FromRegion(host=host) | FromPeer(host=host):
            return host


__all__ = ('VersionFetch',)
