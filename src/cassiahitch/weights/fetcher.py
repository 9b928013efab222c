"""State machine that fetches the chunks of one rollout to one host."""

from __future__ import annotations

import heapq
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.weights.activefetches import ActiveFetch, ActiveFetches, FetchLimits
from cassiahitch.weights.api import (
    CancelFetch,
    CheckOrigin,
    ChunkReceived,
    ChunksComplete,
    ChunkStored,
    DiscardChunks,
    FetchAction,
    FetchChunk,
    FetchMessage,
    ManifestReceived,
    OriginChecked,
    ParticipantLost,
    ParticipantRestored,
    RolloutCancelled,
    RolloutFailed,
    ScheduleTick,
    SourceAlive,
    SourceFailed,
    StagingFull,
    StoreChunk,
    Tick,
)
from cassiahitch.weights.chunkqueue import ChunkQueue
from cassiahitch.weights.sources import SourceChoice, SourceSelector

if TYPE_CHECKING:
    import random

    from cassiahitch.weights.manifest import Manifest
    from cassiahitch.weights.plan import Participant
    from cassiahitch.weights.tree import Source, Trees

#: Maximum number of doublings of the retry delay while the origin fails.
MAX_BACKOFF_STEPS = 4
#: Time of a tick that is not scheduled.
NEVER = float('inf')
#: Failure codes that concern the source host rather than one chunk.
HOST_FAILURE_CODES = frozenset((Code.connection_silent, Code.connection_closed, Code.chunk_stalled))


_FetchingMessage = ChunkReceived | ChunkStored | SourceFailed | OriginChecked | StagingFull
_RolloutMessage = _FetchingMessage | RolloutCancelled


class Phase(StrEnum):
    """Progress of a rollout on this host."""

    idle = 'idle'
    fetching = 'fetching'
    complete = 'complete'
    failed = 'failed'


class Fetcher:
    """Decides which chunk to fetch from which source, and when the rollout is complete."""

    def __init__(
        self,
        member: Participant,
        rng: random.Random,
        limits: FetchLimits | None = None,
        trees: Trees | None = None,
    ) -> None:
        """Create the fetcher.

        :param member: this host.
        :param rng: random source for the jitter of retries.
        :param limits: limits, the default ones if omitted.
        :param trees: the trees of the first plan, if already computed.
        """
        self.member = member
        self.rng = rng
        self.limits = limits or FetchLimits()
        self.trees = trees
        self.phase = Phase.idle
        self.manifest: Manifest | None = None
        self.current_selector: SourceSelector | None = None
        self.lost_hosts: set[str] = set()
        self.received_chunks: set[int] = set()
        self.stored_chunks: set[int] = set()
        self.fetches = ActiveFetches(self.limits)
        self.queue = ChunkQueue()
        self.origin_failures = 0
        self.next_tick_at = NEVER

    @property
    def digest(self) -> str:
        """Digest of the manifest being fetched, empty before the first one."""
        return self.manifest.digest if self.manifest else ''

    @property
    def active_fetches(self) -> dict[int, ActiveFetch]:
        """Requests in progress by the index of their chunk."""
        return self.fetches.by_index

    def handle(self, message: FetchMessage, now: float) -> tuple[FetchAction, ...]:
        """Apply a message and return the resulting actions.

        :param message: the event; messages about other manifests are ignored.
        :param now: monotonic time in seconds.
        :return: the actions, to be performed in this order.
        """
        match message:
            case ManifestReceived():
                self.fetches.last_activity_at = now
                actions = self.start(message)
            case ParticipantLost(host):
                actions = self.remove_host(host)
            case ParticipantRestored(host):
                actions = self.restore_host(host)
            case SourceAlive(host):
                self.fetches.record_activity(host, now)
                return ()
            case Tick():
                self.next_tick_at = NEVER
                actions = []
            case _:
                actions = self.handle_rollout(message, now)
        return (*actions, *self.advance(now))

    def handle_rollout(self, message: _RolloutMessage, now: float) -> list[FetchAction]:
        """Apply a message that names a manifest; other manifests than this one are ignored."""
        if message.manifest != self.digest:
            return []
        if isinstance(message, RolloutCancelled):
            return self.stop(Code.rollout_cancelled)
        if self.phase is not Phase.fetching:
            return []
        return self.handle_fetching(message, now)

    def handle_fetching(self, message: _FetchingMessage, now: float) -> list[FetchAction]:
        """Apply a message about the manifest while it is being fetched."""
        match message:
            case ChunkReceived():
                return self.receive_chunk(message, now)
            case ChunkStored(index=index):
                return self.record_stored(index)
            case SourceFailed():
                return self.record_failure(message, now)
            case OriginChecked(published_digest=published_digest):
                return [] if published_digest == self.digest else self.stop(Code.manifest_changed)
            case StagingFull():
                return self.stop(Code.staging_full)

    def start(self, message: ManifestReceived) -> list[FetchAction]:
        """Start or update a rollout; another manifest discards all earlier chunks."""
        digest = message.manifest.digest
        if message.plan.manifest != digest:
            return [RolloutFailed(message.plan.manifest, Code.manifest_changed)]
        is_same_rollout = digest == self.digest and self.phase in {Phase.fetching, Phase.complete}
        actions: list[FetchAction] = [] if is_same_rollout else self.discard()
        self.apply_plan(message)
        if not is_same_rollout:
            self.manifest = message.manifest
            self.phase = Phase.fetching
            self.queue.unassigned = list(range(len(message.manifest.chunks)))
        return actions

    def apply_plan(self, message: ManifestReceived) -> None:
        """Create the source selector of a plan."""
        trees = self.trees
        if trees is None or trees.plan.digest != message.plan.digest:
            trees = None
        self.current_selector = SourceSelector(
            self.member,
            message.plan,
            self.limits.suspect_duration_s,
            self.limits.origin_stagger_s,
            trees,
        )
        self.current_selector.lost_hosts = self.lost_hosts

    def discard(self) -> list[FetchAction]:
        """Discard all chunks and cancel all fetches."""
        actions = self.cancel_all_fetches()
        if self.manifest is not None:
            actions.append(DiscardChunks(self.digest))
        self.received_chunks.clear()
        self.stored_chunks.clear()
        self.queue.clear()
        self.origin_failures = 0
        return actions

    def stop(self, code: Code) -> list[FetchAction]:
        """End the rollout on this host as failed and discard its chunks."""
        if self.phase in {Phase.idle, Phase.failed}:
            return []
        actions = self.discard()
        self.phase = Phase.failed
        actions.append(RolloutFailed(self.digest, code))
        return actions

    def receive_chunk(self, message: ChunkReceived, now: float) -> list[FetchAction]:
        """Store a verified chunk, or fetch a corrupt one again from another source."""
        if message.index in self.received_chunks:
            return []
        if not message.verified:
            return self.reject_chunk(message, now)
        self.received_chunks.add(message.index)
        self.queue.origin_chunks.discard(message.index)
        self.selector.record_chunk_received(message.index, message.source)
        fetch = self.active_fetches.pop(message.index, None)
        store = StoreChunk(self.digest, message.index)
        if message.source.is_origin:
            self.origin_failures = 0
        if fetch is None or fetch.source == message.source:
            return [store]
        return [CancelFetch(self.digest, message.index, fetch.source), store]

    def reject_chunk(self, message: ChunkReceived, now: float) -> list[FetchAction]:
        """Record a corrupt chunk for its source and schedule another fetch of it."""
        source = message.source
        suspected = self.selector.record_corrupt_chunk(source, now)
        actions: list[FetchAction] = []
        if self.fetches.remove(message.index, source):
            self.selector.record_chunk_failure(message.index, source)
            self.queue.delay(message.index, self.retry_time(source, now))
        if source.is_origin:
            actions.append(CheckOrigin(self.digest))
        if suspected:
            actions.extend(self.cancel_host_fetches(source.host))
        return actions

    def record_stored(self, index: int) -> list[FetchAction]:
        """Record that a chunk is stored; the last one completes the rollout."""
        if index in self.received_chunks:
            self.stored_chunks.add(index)
        if self.manifest is None or len(self.stored_chunks) < len(self.manifest.chunks):
            return []
        self.phase = Phase.complete
        return [ChunksComplete(self.digest)]

    def record_failure(self, message: SourceFailed, now: float) -> list[FetchAction]:
        """Record a failed fetch and schedule a retry from another source."""
        source = message.source
        if source.is_origin and message.code is Code.manifest_changed:
            return self.stop(Code.manifest_changed)
        if not self.fetches.remove(message.index, source):
            return []
        self.queue.delay(message.index, self.retry_time(source, now))
        if message.code in HOST_FAILURE_CODES and not source.is_origin:
            self.selector.suspect(source.host, now)
            return self.cancel_host_fetches(source.host)
        self.selector.record_chunk_failure(message.index, source)
        return []

    def retry_time(self, source: Source, now: float) -> float:
        """Return when a chunk may be requested again after a failure of its source."""
        if not source.is_origin:
            return now
        steps = min(self.origin_failures, MAX_BACKOFF_STEPS)
        self.origin_failures += 1
        return now + self.limits.retry_delay_s * (1 << steps) * self.rng.uniform(1, 2)

    def remove_host(self, host: str) -> list[FetchAction]:
        """Exclude a lost host from the trees and cancel the fetches from it."""
        self.lost_hosts.add(host)
        if self.current_selector is None:
            return []
        self.current_selector.remove_host(host)
        return self.cancel_host_fetches(host)

    def restore_host(self, host: str) -> list[FetchAction]:
        """Include a host in the trees again."""
        self.lost_hosts.discard(host)
        if self.current_selector is not None:
            self.current_selector.restore_host(host)
        return []

    def advance(self, now: float) -> list[FetchAction]:
        """Handle expired times, then start as many fetches as the limits allow."""
        if self.phase is not Phase.fetching:
            return []
        self.selector.expire_suspicions(now)
        actions = self.expire_fetches(now)
        self.queue.release_delayed(now)
        while self.queue.unassigned:
            self.assign_source(heapq.heappop(self.queue.unassigned), now)
        heap = self.next_requestable_heap()
        while heap:
            actions.extend(self.fetch(heapq.heappop(heap), now))
            heap = self.next_requestable_heap()
        actions.extend(self.schedule_tick())
        return actions

    def assign_source(self, index: int, now: float) -> SourceChoice | None:
        """Choose the source of a chunk and queue the chunk for it, or delay the chunk."""
        if index in self.received_chunks:
            return None
        choice = self.selector.choose(index, now)
        self.queue.origin_chunks.discard(index)
        if choice is None:
            delay_s = self.limits.retry_delay_s * self.rng.uniform(1, 2)
            self.queue.delay(index, now + delay_s)
            return None
        if choice.source.is_origin:
            self.queue.origin_chunks.add(index)
        if choice.not_before > now:
            self.queue.delay(index, min(choice.not_before, now + self.limits.suspect_duration_s))
            return None
        self.queue.add_ready(index, origin=choice.source.is_origin)
        return choice

    def fetch(self, index: int, now: float) -> list[FetchAction]:
        """Request a chunk from its best current source if the limits allow it."""
        choice = self.assign_source(index, now)
        if choice is None or not self.has_capacity(origin=choice.source.is_origin):
            return []
        self.queue.remove_ready(index, origin=choice.source.is_origin)
        fetch = self.fetches.start(index, choice.source, now)
        return [FetchChunk(self.digest, index, fetch.source, fetch.deadline)]

    def next_requestable_heap(self) -> list[int]:
        """Return the heap with the lowest chunk index that may be requested, or an empty list."""
        heaps = [
            self.queue.ready(origin=origin)
            for origin in (True, False)
            if self.queue.ready(origin=origin) and self.has_capacity(origin=origin)
        ]
        return min(heaps, key=min, default=[])

    def has_capacity(self, *, origin: bool) -> bool:
        """Return whether the limits allow one more request to the origin, or to a peer."""
        return self.fetches.has_capacity(
            origin=origin, reserve_for_origin=bool(self.queue.origin_chunks)
        )

    def expire_fetches(self, now: float) -> list[FetchAction]:
        """Cancel the fetches whose deadlines have passed, unless the own link appears stalled."""
        actions: list[FetchAction] = []
        for index in self.fetches.expire(now):
            fetch = self.active_fetches.get(index)
            if fetch is not None:
                actions.extend(self.expire_fetch(index, fetch, now))
        return actions

    def expire_fetch(self, index: int, fetch: ActiveFetch, now: float) -> list[FetchAction]:
        """Cancel an expired fetch, so that another source is chosen.

        A peer that stalled is suspected and loses all its fetches. The origin, and a peer that
        was active but exceeded the wait timeout, lose just this one.
        """
        source = fetch.source
        if source.is_origin or self.fetches.has_exceeded_wait(fetch):
            self.fetches.remove(index, source)
            self.selector.record_chunk_failure(index, source)
            self.queue.delay(index, self.retry_time(source, now))
            return [CancelFetch(self.digest, index, source)]
        self.selector.suspect(source.host, now)
        return self.cancel_host_fetches(source.host)

    def cancel_host_fetches(self, host: str) -> list[FetchAction]:
        """Cancel all fetches from a host and queue their chunks again."""
        # Without this host, the source of queued chunks may be the origin, so it is chosen again.
        self.queue.unassign_peer_chunks()
        actions: list[FetchAction] = []
        for index, fetch in self.fetches.from_host(host):
            self.fetches.remove(index, fetch.source)
            self.queue.add_unassigned(index)
            actions.append(CancelFetch(self.digest, index, fetch.source))
        return actions

    def cancel_all_fetches(self) -> list[FetchAction]:
        """Cancel all fetches."""
        actions: list[FetchAction] = [
            CancelFetch(self.digest, index, fetch.source)
            for index, fetch in self.active_fetches.items()
        ]
        self.active_fetches.clear()
        return actions

    def schedule_tick(self) -> list[FetchAction]:
        """Return an action that schedules the next tick if its time has changed."""
        times = [fetch.deadline for fetch in self.active_fetches.values()]
        times.extend(not_before for not_before, _ in self.queue.delayed[:1])
        if not times or min(times) == self.next_tick_at:
            return []
        self.next_tick_at = min(times)
        return [ScheduleTick(self.next_tick_at)]

    @property
    def selector(self) -> SourceSelector:
        """Source selector of the current plan."""
        if self.current_selector is None:
            raise RuntimeError('the fetcher has not received a plan')
        return self.current_selector


__all__ = (
    'Fetcher',
    'Phase',
)
