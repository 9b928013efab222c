"""Fetches the chunks of one rollout to one host."""

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

#: Doublings of the pause between tries of an origin that fails.
MAX_BACKOFF_STEPS = 4
#: Time of a wish to be woken that there is none of.
NEVER = float('inf')
#: Sources that must fall silent at once before this host takes its own link to be silent.
CUT_OFF_SOURCES = 3
#: Share of the stall limit for which nothing must have been heard of any source.
CUT_OFF_SHARE = 0.9
#: Times in a row that all sources are waited for longer.
CUT_OFF_LIMIT = 30
#: Failures that tell of the whole host, not of one chunk.
HOST_FAILURES = frozenset((Code.connection_silent, Code.connection_closed, Code.chunk_stalled))


_ActiveMessage = ChunkReceived | ChunkStored | SourceFailed | OriginChecked | StagingFull
_OwnMessage = _ActiveMessage | RolloutCancelled


class Phase(StrEnum):
    """How far a rollout is on this host."""

    idle = 'idle'
    fetching = 'fetching'
    complete = 'complete'
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class FetchLimits:
    """Bounds of a fetcher: requests at once, and seconds."""

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
    """A request for a chunk that is under way."""

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
        :param rng: spreads retries.
        :param limits: bounds, the standard ones by default.
        :param trees: the trees of the first plan, if they exist already.
        """
        self.member = member
        self.rng = rng
        self.limits = limits or FetchLimits()
        self.trees = trees
        self.phase = Phase.idle
        self.manifest: Manifest | None = None
        self.book: SourceSelector | None = None
        self.gone: set[str] = set()
        self.arrived: set[int] = set()
        self.stored: set[int] = set()
        self.active_fetches: dict[int, ActiveFetch] = {}
        self.ready: list[int] = []
        self.delayed: list[tuple[float, int]] = []
        self.origin_ready: list[int] = []
        self.peer_ready: list[int] = []
        self.origin_chunks: set[int] = set()
        self.origin_failures = 0
        self.cut_off = 0
        self.heard_at = float(0)
        self.wake = NEVER

    @property
    def digest(self) -> str:
        """The digest of the manifest that is fetched, empty before the first."""
        return self.manifest.digest if self.manifest else ''

    def handle(self, message: FetchMessage, now: float) -> tuple[FetchAction, ...]:
        """Take a message and decide what follows.

        :param message: what happened; messages of other manifests change nothing.
        :param now: the time in seconds.
        :return: the actions, to be done in this order.
        """
        match message:
            case ManifestReceived():
                self.heard_at = now
                actions = self.start(message)
            case ParticipantLost(host):
                actions = self.lose(host)
            case ParticipantRestored(host):
                actions = self.restore(host)
            case SourceAlive(host):
                self.prolong(host, now)
                return ()
            case Tick():
                self.wake = NEVER
                actions = []
            case _:
                actions = self.handle_own(message, now)
        return (*actions, *self.advance(now))

    def handle_own(self, message: _OwnMessage, now: float) -> list[FetchAction]:
        """Take a message that concerns one manifest."""
        if message.manifest != self.digest:
            return []
        if isinstance(message, RolloutCancelled):
            return self.stop(Code.rollout_cancelled)
        if self.phase is not Phase.fetching:
            return []
        return self.handle_fetching(message, now)

    def handle_fetching(self, message: _ActiveMessage, now: float) -> list[FetchAction]:
        """Take a message of the manifest that is being fetched."""
        match message:
            case ChunkReceived():
                return self.take_chunk(message, now)
            case ChunkStored(index=index):
                return self.note_stored(index)
            case SourceFailed():
                return self.note_failure(message, now)
            case OriginChecked(published_digest=published_digest):
                return [] if published_digest == self.digest else self.stop(Code.manifest_changed)
            case StagingFull():
                return self.stop(Code.staging_full)

    def start(self, message: ManifestReceived) -> list[FetchAction]:
        """Start with a plan; another manifest replaces all chunks of the one before."""
        digest = message.manifest.digest
        if message.plan.manifest != digest:
            return [RolloutFailed(message.plan.manifest, Code.manifest_changed)]
        keep = digest == self.digest and self.phase in {Phase.fetching, Phase.complete}
        actions: list[FetchAction] = [] if keep else self.discard()
        self.take_plan(message)
        if not keep:
            self.manifest = message.manifest
            self.phase = Phase.fetching
            self.ready = list(range(len(message.manifest.chunks)))
        return actions

    def take_plan(self, message: ManifestReceived) -> None:
        """Build the sources from a plan."""
        trees = self.trees
        if trees is None or trees.plan.digest != message.plan.digest:
            trees = None
        self.book = SourceSelector(
            self.member,
            message.plan,
            self.limits.suspect_duration_s,
            self.limits.origin_stagger_s,
            trees,
        )
        self.book.gone = self.gone

    def discard(self) -> list[FetchAction]:
        """Forget all chunks and flights."""
        actions = self.abandon_all()
        if self.manifest is not None:
            actions.append(DiscardChunks(self.digest))
        self.arrived.clear()
        self.stored.clear()
        self.ready.clear()
        self.delayed.clear()
        self.origin_ready.clear()
        self.peer_ready.clear()
        self.origin_chunks.clear()
        self.origin_failures = 0
        return actions

    def stop(self, code: Code) -> list[FetchAction]:
        """End the rollout on this host."""
        if self.phase in {Phase.idle, Phase.failed}:
            return []
        actions = self.discard()
        self.phase = Phase.failed
        actions.append(RolloutFailed(self.digest, code))
        return actions

    def take_chunk(self, message: ChunkReceived, now: float) -> list[FetchAction]:
        """Store a chunk whose digest is right; fetch a corrupt one from another source."""
        if message.index in self.arrived:
            return []
        if not message.verified:
            return self.refuse_chunk(message, now)
        self.arrived.add(message.index)
        self.origin_chunks.discard(message.index)
        self.sources.note_arrival(message.index, message.source)
        flight = self.active_fetches.pop(message.index, None)
        store = StoreChunk(self.digest, message.index)
        if message.source.is_origin:
            self.origin_failures = 0
        if flight is None or flight.source == message.source:
            return [store]
        return [CancelFetch(self.digest, message.index, flight.source), store]

    def refuse_chunk(self, message: ChunkReceived, now: float) -> list[FetchAction]:
        """Count a corrupt chunk against its sender and fetch it again."""
        source = message.source
        suspected = self.sources.note_corrupt(source, now)
        actions: list[FetchAction] = []
        if self.end_flight(message.index, source):
            self.sources.fail_chunk(message.index, source)
            self.requeue(message.index, self.pause(source, now))
        if source.is_origin:
            actions.append(CheckOrigin(self.digest))
        if suspected:
            actions.extend(self.leave(source.host))
        return actions

    def note_stored(self, index: int) -> list[FetchAction]:
        """Complete the rollout with its last chunk."""
        if index in self.arrived:
            self.stored.add(index)
        if self.manifest is None or len(self.stored) < len(self.manifest.chunks):
            return []
        self.phase = Phase.complete
        return [ChunksComplete(self.digest)]

    def note_failure(self, message: SourceFailed, now: float) -> list[FetchAction]:
        """Turn to another source after a failure."""
        source = message.source
        if source.is_origin and message.code is Code.manifest_changed:
            return self.stop(Code.manifest_changed)
        if not self.end_flight(message.index, source):
            return []
        self.requeue(message.index, self.pause(source, now))
        if message.code in HOST_FAILURES and not source.is_origin:
            self.sources.suspect(source.host, now)
            return self.leave(source.host)
        self.sources.fail_chunk(message.index, source)
        return []

    def pause(self, source: Source, now: float) -> float:
        """Return when a chunk may be asked for again after a failure of its source."""
        if not source.is_origin:
            return now
        steps = min(self.origin_failures, MAX_BACKOFF_STEPS)
        self.origin_failures += 1
        return now + self.limits.retry_delay_s * (1 << steps) * self.rng.uniform(1, 2)

    def lose(self, host: str) -> list[FetchAction]:
        """Leave a host that is gone out of the trees."""
        self.gone.add(host)
        if self.book is None:
            return []
        self.book.remove(host)
        return self.leave(host)

    def restore(self, host: str) -> list[FetchAction]:
        """Take a host that is back into the trees."""
        self.gone.discard(host)
        if self.book is not None:
            self.book.restore(host)
        return []

    def prolong(self, host: str, now: float) -> None:
        """Move the deadlines of a host that gave a sign of life."""
        self.cut_off = 0
        self.heard_at = now
        for flight in self.active_fetches.values():
            if flight.source.host == host:
                flight.deadline = self.deadline(flight, now)

    def deadline(self, flight: ActiveFetch, now: float) -> float:
        """Return when a request is abandoned without a further sign of life."""
        if flight.source.is_origin:
            return now + self.limits.origin_timeout_s
        return min(now + self.limits.stall_timeout_s, flight.started + self.limits.wait_timeout_s)

    def advance(self, now: float) -> list[FetchAction]:
        """Act on the time and use the free requests."""
        if self.phase is not Phase.fetching:
            return []
        self.sources.expire(now)
        actions = self.expire_flights(now)
        while self.delayed and self.delayed[0][0] <= now:
            heapq.heappush(self.ready, heapq.heappop(self.delayed)[1])
        while self.ready:
            self.sort_out(heapq.heappop(self.ready), now)
        heap = self.next_heap()
        while heap:
            actions.extend(self.fetch(heapq.heappop(heap), now))
            heap = self.next_heap()
        actions.extend(self.next_wake())
        return actions

    def sort_out(self, index: int, now: float) -> SourceChoice | None:
        """Choose the source of a chunk and let it wait for a request, or put it off."""
        if index in self.arrived:
            return None
        choice = self.sources.choose(index, now)
        self.origin_chunks.discard(index)
        if choice is None:
            pause = self.limits.retry_delay_s * self.rng.uniform(1, 2)
            self.requeue(index, now + pause)
            return None
        if choice.source.is_origin:
            self.origin_chunks.add(index)
        if choice.not_before > now:
            self.requeue(index, min(choice.not_before, now + self.limits.suspect_duration_s))
            return None
        heapq.heappush(self.origin_ready if choice.source.is_origin else self.peer_ready, index)
        return choice

    def fetch(self, index: int, now: float) -> list[FetchAction]:
        """Request a chunk from the source that is the best one now, if there is room."""
        choice = self.sort_out(index, now)
        if choice is None or not self.has_room(origin=choice.source.is_origin):
            return []
        heap = self.origin_ready if choice.source.is_origin else self.peer_ready
        heap.remove(index)
        heapq.heapify(heap)
        flight = ActiveFetch(choice.source, now, now)
        flight.deadline = self.deadline(flight, now)
        self.active_fetches[index] = flight
        return [FetchChunk(self.digest, index, flight.source, flight.deadline)]

    def origin_is_free(self) -> bool:
        """Tell whether one more chunk may be asked of the origin."""
        asked = sum(flight.source.is_origin for flight in self.active_fetches.values())
        return asked < self.limits.max_origin_in_flight

    def next_heap(self) -> list[int]:
        """Return the heap with the first chunk that may be asked for, empty without any."""
        heaps = [
            heap
            for heap, origin in ((self.origin_ready, True), (self.peer_ready, False))
            if heap and self.has_room(origin=origin)
        ]
        return min(heaps, key=min, default=[])

    def has_room(self, *, origin: bool) -> bool:
        """Tell whether one more chunk may be asked for.

        Hosts that all wait for each other's chunks would never ask the origin again after it
        failed, so one request is kept free for chunks that come from there.

        :param origin: whether the origin is to be asked.
        :return: whether there is room.
        """
        free = self.limits.max_in_flight - len(self.active_fetches)
        if origin:
            return free > 0 and self.origin_is_free()
        asks_origin = any(flight.source.is_origin for flight in self.active_fetches.values())
        kept = bool(self.origin_chunks) and not asks_origin and self.limits.max_in_flight > 1
        return free > kept

    def expire_flights(self, now: float) -> list[FetchAction]:
        """Replace the sources whose deadlines have passed."""
        late = tuple(
            index for index, flight in self.active_fetches.items() if flight.deadline <= now
        )
        if late and self.is_cut_off(now):
            self.cut_off += 1
            self.extend(now)
            return []
        actions: list[FetchAction] = []
        for index in late:
            flight = self.active_fetches.get(index)
            if flight is not None:
                actions.extend(self.expire_flight(index, flight, now))
        return actions

    def is_cut_off(self, now: float) -> bool:
        """Tell whether all sources fell silent at once, which blames this host's own link."""
        asked = {flight.source.host for flight in self.active_fetches.values()} - {''}
        silent = now - self.heard_at >= self.limits.stall_timeout_s * CUT_OFF_SHARE
        return silent and len(asked) >= CUT_OFF_SOURCES and self.cut_off < CUT_OFF_LIMIT

    def extend(self, now: float) -> None:
        """Wait once more for all sources."""
        for flight in self.active_fetches.values():
            flight.deadline = max(flight.deadline, now + self.limits.stall_timeout_s)

    def expire_flight(self, index: int, flight: ActiveFetch, now: float) -> list[FetchAction]:
        """Replace the source of one chunk; one that gave no sign of life is suspected."""
        source = flight.source
        if source.is_origin or flight.deadline >= flight.started + self.limits.wait_timeout_s:
            self.end_flight(index, source)
            self.sources.fail_chunk(index, source)
            self.requeue(index, self.pause(source, now))
            return [CancelFetch(self.digest, index, source)]
        self.sources.suspect(source.host, now)
        return self.leave(source.host)

    def leave(self, host: str) -> list[FetchAction]:
        """Abandon all requests to a host and queue their chunks."""
        mine = tuple(
            (index, flight)
            for index, flight in self.active_fetches.items()
            if flight.source.host == host
        )
        # Without that host, chunks that wait for a turn may have the origin as their source.
        self.ready.extend(self.peer_ready)
        self.peer_ready.clear()
        heapq.heapify(self.ready)
        actions: list[FetchAction] = []
        for index, flight in mine:
            self.end_flight(index, flight.source)
            heapq.heappush(self.ready, index)
            actions.append(CancelFetch(self.digest, index, flight.source))
        return actions

    def abandon_all(self) -> list[FetchAction]:
        """Abandon all requests."""
        actions: list[FetchAction] = [
            CancelFetch(self.digest, index, flight.source)
            for index, flight in self.active_fetches.items()
        ]
        self.active_fetches.clear()
        return actions

    def end_flight(self, index: int, source: Source) -> bool:
        """Forget a request, if it is to this source."""
        flight = self.active_fetches.get(index)
        if flight is None or flight.source.host != source.host:
            return False
        self.active_fetches.pop(index)
        return True

    def requeue(self, index: int, not_before: float) -> None:
        """Put a chunk off until a time."""
        heapq.heappush(self.delayed, (not_before, index))

    def next_wake(self) -> list[FetchAction]:
        """Return the wish to be woken, if it has changed."""
        times = [flight.deadline for flight in self.active_fetches.values()]
        times.extend(entry[0] for entry in self.delayed[:1])
        if not times or min(times) == self.wake:
            return []
        self.wake = min(times)
        return [ScheduleTick(self.wake)]

    @property
    def sources(self) -> SourceSelector:
        """The sources of the plan in force."""
        if self.book is None:
            raise RuntimeError('no plan is known')
        return self.book


__all__ = (
    'FetchLimits',
    'Fetcher',
    'ActiveFetch',
    'Phase',
)
