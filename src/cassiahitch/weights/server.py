"""State machine that decides which chunk requests of peers a host serves."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.weights.api import (
    ChunkRequested,
    ChunkStored,
    ManifestDropped,
    ManifestOffered,
    RefuseRequest,
    RequestCancelled,
    ScheduleTick,
    SendChunk,
    ServeAction,
    ServeMessage,
    Tick,
    UploadEnded,
    UploadProgressed,
)

if TYPE_CHECKING:
    from collections.abc import Callable

#: Priority of a manifest that has not been offered yet, below those of offered ones.
LAST_PRIORITY = 1_000
#: Time of a tick or an expiry that is not scheduled.
NEVER = float('inf')


@dataclass(frozen=True, slots=True)
class ServeLimits:
    """Limits of a server.

    ``max_uploads`` bounds concurrent uploads, and ``max_pending`` bounds requests that are not
    finished, including those being uploaded. A request is refused if its upload does not start
    within ``wait_timeout_s``; an upload is aborted after ``stall_timeout_s`` without progress.
    """

    max_uploads: int = 8
    max_pending: int = 4_096
    max_pending_per_peer: int = 128
    wait_timeout_s: float = 330
    stall_timeout_s: float = 3


@dataclass(slots=True)
class PendingRequest:
    """A request that is not finished.

    ``expires_at`` is when it is refused unless its upload has started.
    """

    request: ChunkRequested
    expires_at: float


class ChunkServer:
    """Decides which request is served next and which requests are refused."""

    def __init__(self, limits: ServeLimits | None = None) -> None:
        """Create the server.

        :param limits: limits, the default ones if omitted.
        """
        self.limits = limits or ServeLimits()
        self.priorities: dict[str, int] = {}
        self.stored: dict[str, set[int]] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.waiting_by_chunk: dict[tuple[str, int], dict[int, ChunkRequested]] = {}
        self.pending_by_peer: Counter[str] = Counter()
        self.queued: list[tuple[int, int, int]] = []
        self.uploads: dict[int, float] = {}
        self.next_tick_at = NEVER

    def handle(self, message: ServeMessage, now: float) -> tuple[ServeAction, ...]:
        """Apply a message and return the resulting actions.

        :param message: the event.
        :param now: monotonic time in seconds.
        :return: the actions, to be performed in this order.
        """
        actions = self.apply(message, now)
        actions.extend(self.start_uploads(now))
        actions.extend(self.schedule_tick())
        return tuple(actions)

    def apply(self, message: ServeMessage, now: float) -> list[ServeAction]:
        """Update the state by a message, without starting uploads."""
        match message:
            case ManifestOffered(manifest, priority):
                self.priorities[manifest] = priority
                self.stored.setdefault(manifest, set())
            case ManifestDropped(manifest):
                return self.drop(manifest)
            case ChunkRequested():
                return self.admit(message, now)
            case ChunkStored(manifest, index):
                self.record_stored(manifest, index)
            case UploadProgressed(request):
                self.extend_upload(request, now)
            case UploadEnded(request) | RequestCancelled(request):
                self.remove_request(request)
            case Tick():
                self.next_tick_at = NEVER
                return self.expire(now)
        return []

    def extend_upload(self, request: int, now: float) -> None:
        """Extend the deadline of an upload in progress."""
        is_uploading = request in self.uploads
        if is_uploading:
            self.uploads[request] = now + self.limits.stall_timeout_s

    def admit(self, message: ChunkRequested, now: float) -> list[ServeAction]:
        """Accept a request, or refuse it if the limits of pending requests are reached."""
        full = len(self.pending) >= self.limits.max_pending
        if full or self.pending_by_peer[message.peer] >= self.limits.max_pending_per_peer:
            return [RefuseRequest(message.request, Code.queue_full)]
        self.pending_by_peer[message.peer] += 1
        self.pending[message.request] = PendingRequest(message, now + self.limits.wait_timeout_s)
        if message.index in self.stored.get(message.manifest, ()):
            self.enqueue(message)
        else:
            key = (message.manifest, message.index)
            self.waiting_by_chunk.setdefault(key, {})[message.request] = message
        return []

    def enqueue(self, message: ChunkRequested) -> None:
        """Queue a request whose chunk is stored, ordered by manifest priority and then tier."""
        if len(self.queued) > self.limits.max_pending:
            self.queued = [entry for entry in self.queued if entry[2] in self.pending]
            heapq.heapify(self.queued)
        priority = self.priorities.get(message.manifest, LAST_PRIORITY)
        heapq.heappush(self.queued, (priority, message.tier, message.request))

    def record_stored(self, manifest: str, index: int) -> None:
        """Queue the requests that were waiting for a chunk."""
        self.stored.setdefault(manifest, set()).add(index)
        released = self.waiting_by_chunk.pop((manifest, index), {})
        for message in released.values():
            self.enqueue(message)

    def drop(self, manifest: str) -> list[ServeAction]:
        """Refuse all requests for a manifest."""
        self.priorities.pop(manifest, None)
        self.stored.pop(manifest, None)
        return self.refuse(lambda entry: entry.request.manifest == manifest)

    def expire(self, now: float) -> list[ServeAction]:
        """Refuse requests that waited too long and abort stalled uploads."""
        actions = self.refuse(lambda entry: entry.expires_at <= now)
        stalled = tuple(number for number, expires_at in self.uploads.items() if expires_at <= now)
        for request in stalled:
            self.remove_request(request)
            actions.append(RefuseRequest(request, Code.chunk_stalled))
        return actions

    def refuse(self, matches: Callable[[PendingRequest], bool]) -> list[ServeAction]:
        """Refuse the pending requests that match; uploads in progress are aborted."""
        refused = tuple(number for number, entry in self.pending.items() if matches(entry))
        for request in refused:
            self.remove_request(request)
        return [RefuseRequest(number, Code.chunk_missing) for number in refused]

    def remove_request(self, request: int) -> None:
        """Remove a request and free its upload slot."""
        self.uploads.pop(request, None)
        entry = self.pending.pop(request, None)
        if entry is None:
            return
        message = entry.request
        self.waiting_by_chunk.get((message.manifest, message.index), {}).pop(request, None)
        self.pending_by_peer[message.peer] -= 1
        if not self.pending_by_peer[message.peer]:
            self.pending_by_peer.pop(message.peer)

    def start_uploads(self, now: float) -> list[ServeAction]:
        """Start uploads while upload slots are free."""
        actions: list[ServeAction] = []
        while self.queued and len(self.uploads) < self.limits.max_uploads:
            request = heapq.heappop(self.queued)[2]
            entry = self.pending.get(request)
            if entry is not None:
                self.uploads[request] = now + self.limits.stall_timeout_s
                entry.expires_at = NEVER
                chunk = entry.request
                actions.append(SendChunk(request, chunk.manifest, chunk.index))
        return actions

    def schedule_tick(self) -> list[ServeAction]:
        """Return an action that schedules the next tick if its time has changed."""
        times = list(self.uploads.values())
        times.extend(self.oldest_expiry())
        tick_at = min(times, default=NEVER)
        if tick_at in {self.next_tick_at, NEVER}:
            return []
        self.next_tick_at = tick_at
        return [ScheduleTick(tick_at)]

    def oldest_expiry(self) -> list[float]:
        """Return the expiry of the oldest request without an upload, or an empty list."""
        times = (entry.expires_at for entry in self.pending.values())
        return list(islice((expires_at for expires_at in times if expires_at != NEVER), 1))


__all__ = (
    'ChunkServer',
    'ServeLimits',
)
