"""State machine that fetches the chunks of one rollout to one host."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
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
#: Minimum number of unresponsive sources from which a stall is attributed to this host's own link.
OWN_LINK_STALL_MIN_SOURCES = 3
#: Share of the stall timeout without any message from any source that counts as a stalled link.
OWN_LINK_STALL_SHARE = 0.9
#: Maximum number of consecutive extensions of all deadlines while the link appears stalled.
MAX_STALL_EXTENSIONS = 30
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


@dataclass(frozen=True, slots=True)
class FetchLimits:
    """Limits of a fetcher: concurrent requests, and times in seconds.

    ``stall_timeout_s`` limits the time without a message from a peer, ``wait_timeout_s`` the total
    time that a request to a peer may take, and ``origin_timeout_s`` that of one to the origin.
    Retries wait ``retry_delay_s``, doubled with each failure of the origin. A peer that stalled is
    excluded for ``suspect_duration_s``. Hosts that fall back to the origin do so
    ``origin_stagger_s`` apart.
    """

    max_in_flight: int = 32
    max_origin_in_flight: int = 2
    stall_timeout_s: float = 3
    wait_timeout_s: float = 300
    origin_timeout_s: float = 60
    retry_delay_s: float = 1
    suspect_duration_s: float = 30
    origin_stagger_s: float = 2


@dataclass(slots=True)
class ActiveFetch:
    """A request for a chunk that is in progress."""

    source: Source
    started: float
    deadline: float


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
        self.active_fetches: dict[int, ActiveFetch] = {}
        self.unassigned: list[int] = []
        self.delayed: list[tuple[float, int]] = []
        self.origin_ready: list[int] = []
        self.peer_ready: list[int] = []
        self.origin_chunks: set[int] = set()
        self.origin_failures = 0
        self.stall_extensions = 0
        self.last_activity_at = float(0)
        self.next_tick_at = NEVER

    @property
    def digest(self) -> str:
        """Digest of the manifest being fetched, empty before the first one."""
        return self.manifest.digest if self.manifest else ''

    def handle(self, message: FetchMessage, now: float) -> tuple[FetchAction, ...]:
        """Apply a message and return the resulting actions.

        :param message: the event; messages about other manifests are ignored.
        :param now: monotonic time in seconds.
        :return: the actions, to be performed in this order.
        """
        match message:
            case ManifestReceived():
                self.last_activity_at = now
                actions = self.start(message)
            case ParticipantLost(host):
                actions = self.remove_host(host)
            case ParticipantRestored(host):
                actions = self.restore_host(host)
            case SourceAlive(host):
                self.extend_host_deadlines(host, now)
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
            self.unassigned = list(range(len(message.manifest.chunks)))
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
        self.unassigned.clear()
        self.delayed.clear()
        self.origin_ready.clear()
        self.peer_ready.clear()
        self.origin_chunks.clear()
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
        self.origin_chunks.discard(message.index)
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
        if self.remove_fetch(message.index, source):
            self.selector.record_chunk_failure(message.index, source)
            self.delay_chunk(message.index, self.retry_time(source, now))
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
        if not self.remove_fetch(message.index, source):
            return []
        self.delay_chunk(message.index, self.retry_time(source, now))
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

    def extend_host_deadlines(self, host: str, now: float) -> None:
        """Extend the deadlines of the fetches from a host that was active."""
        self.stall_extensions = 0
        self.last_activity_at = now
        for fetch in self.active_fetches.values():
            if fetch.source.host == host:
                fetch.deadline = self.deadline(fetch, now)

    def deadline(self, fetch: ActiveFetch, now: float) -> float:
        """Return when a fetch expires unless its source is active before that."""
        if fetch.source.is_origin:
            return now + self.limits.origin_timeout_s
        return min(now + self.limits.stall_timeout_s, fetch.started + self.limits.wait_timeout_s)

    def advance(self, now: float) -> list[FetchAction]:
        """Handle expired times, then start as many fetches as the limits allow."""
        if self.phase is not Phase.fetching:
            return []
        self.selector.expire_suspicions(now)
        actions = self.expire_fetches(now)
        while self.delayed and self.delayed[0][0] <= now:
            heapq.heappush(self.unassigned, heapq.heappop(self.delayed)[1])
        while self.unassigned:
            self.assign_source(heapq.heappop(self.unassigned), now)
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
        self.origin_chunks.discard(index)
        if choice is None:
            delay_s = self.limits.retry_delay_s * self.rng.uniform(1, 2)
            self.delay_chunk(index, now + delay_s)
            return None
        if choice.source.is_origin:
            self.origin_chunks.add(index)
        if choice.not_before > now:
            self.delay_chunk(index, min(choice.not_before, now + self.limits.suspect_duration_s))
            return None
        heapq.heappush(self.origin_ready if choice.source.is_origin else self.peer_ready, index)
        return choice

    def fetch(self, index: int, now: float) -> list[FetchAction]:
        """Request a chunk from its best current source if the limits allow it."""
        choice = self.assign_source(index, now)
        if choice is None or not self.has_capacity(origin=choice.source.is_origin):
            return []
        heap = self.origin_ready if choice.source.is_origin else self.peer_ready
        heap.remove(index)
        heapq.heapify(heap)
        fetch = ActiveFetch(choice.source, now, now)
        fetch.deadline = self.deadline(fetch, now)
        self.active_fetches[index] = fetch
        return [FetchChunk(self.digest, index, fetch.source, fetch.deadline)]

    def can_request_origin(self) -> bool:
        """Return whether the limit of concurrent origin requests allows one more."""
        origin_fetches = sum(fetch.source.is_origin for fetch in self.active_fetches.values())
        return origin_fetches < self.limits.max_origin_in_flight

    def next_requestable_heap(self) -> list[int]:
        """Return the heap with the lowest chunk index that may be requested, or an empty list."""
        heaps = [
            heap
            for heap, origin in ((self.origin_ready, True), (self.peer_ready, False))
            if heap and self.has_capacity(origin=origin)
        ]
        return min(heaps, key=min, default=[])

    def has_capacity(self, *, origin: bool) -> bool:
        """Return whether the limits allow one more request.

        One request is reserved for chunks whose source is the origin. Otherwise hosts whose
        requests all wait for each other's chunks would never retry the origin after it failed.

        :param origin: whether the request goes to the origin.
        :return: whether the request may start.
        """
        available = self.limits.max_in_flight - len(self.active_fetches)
        if origin:
            return available > 0 and self.can_request_origin()
        is_fetching_origin = any(fetch.source.is_origin for fetch in self.active_fetches.values())
        reserved = (
            bool(self.origin_chunks) and not is_fetching_origin and self.limits.max_in_flight > 1
        )
        return available > reserved

    def expire_fetches(self, now: float) -> list[FetchAction]:
        """Cancel the fetches whose deadlines have passed, unless the own link appears stalled."""
        expired = tuple(
            index for index, fetch in self.active_fetches.items() if fetch.deadline <= now
        )
        if expired and self.is_own_link_stalled(now):
            self.stall_extensions += 1
            self.extend_all_deadlines(now)
            return []
        actions: list[FetchAction] = []
        for index in expired:
            fetch = self.active_fetches.get(index)
            if fetch is not None:
                actions.extend(self.expire_fetch(index, fetch, now))
        return actions

    def is_own_link_stalled(self, now: float) -> bool:
        """Return whether all sources became unresponsive at once.

        The likely cause is then this host's own link, so no source is suspected.
        """
        requested_hosts = {fetch.source.host for fetch in self.active_fetches.values()} - {''}
        is_stalled = (
            now - self.last_activity_at >= self.limits.stall_timeout_s * OWN_LINK_STALL_SHARE
        )
        return (
            is_stalled
            and len(requested_hosts) >= OWN_LINK_STALL_MIN_SOURCES
            and self.stall_extensions < MAX_STALL_EXTENSIONS
        )

    def extend_all_deadlines(self, now: float) -> None:
        """Extend the deadlines of all fetches by the stall timeout."""
        for fetch in self.active_fetches.values():
            fetch.deadline = max(fetch.deadline, now + self.limits.stall_timeout_s)

    def expire_fetch(self, index: int, fetch: ActiveFetch, now: float) -> list[FetchAction]:
        """Cancel an expired fetch, so that another source is chosen.

        A peer that stalled is suspected and loses all its fetches. The origin, and a peer that
        was active but exceeded the wait timeout, lose just this one.
        """
        source = fetch.source
        if source.is_origin or fetch.deadline >= fetch.started + self.limits.wait_timeout_s:
            self.remove_fetch(index, source)
            self.selector.record_chunk_failure(index, source)
            self.delay_chunk(index, self.retry_time(source, now))
            return [CancelFetch(self.digest, index, source)]
        self.selector.suspect(source.host, now)
        return self.cancel_host_fetches(source.host)

    def cancel_host_fetches(self, host: str) -> list[FetchAction]:
        """Cancel all fetches from a host and queue their chunks again."""
        host_fetches = tuple(
            (index, fetch)
            for index, fetch in self.active_fetches.items()
            if fetch.source.host == host
        )
        # Without this host, the source of queued chunks may be the origin, so it is chosen again.
        self.unassigned.extend(self.peer_ready)
        self.peer_ready.clear()
        heapq.heapify(self.unassigned)
        actions: list[FetchAction] = []
        for index, fetch in host_fetches:
            self.remove_fetch(index, fetch.source)
            heapq.heappush(self.unassigned, index)
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

    def remove_fetch(self, index: int, source: Source) -> bool:
        """Remove the fetch of a chunk if it is from this source, and return whether it was."""
        fetch = self.active_fetches.get(index)
        if fetch is None or fetch.source.host != source.host:
            return False
        self.active_fetches.pop(index)
        return True

    def delay_chunk(self, index: int, not_before: float) -> None:
        """Delay the next attempt to fetch a chunk until a time."""
        heapq.heappush(self.delayed, (not_before, index))

    def schedule_tick(self) -> list[FetchAction]:
        """Return an action that schedules the next tick if its time has changed."""
        times = [fetch.deadline for fetch in self.active_fetches.values()]
        times.extend(entry[0] for entry in self.delayed[:1])
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
    'FetchLimits',
    'Fetcher',
    'ActiveFetch',
    'Phase',
)
