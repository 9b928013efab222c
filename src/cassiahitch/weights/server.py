"""Serves the chunks of a host to its peers."""

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

#: Priority of a manifest that is not offered yet.
LAST_PRIORITY = 1_000
#: Time of a wish to be woken that there is none of.
NEVER = float('inf')


@dataclass(frozen=True, slots=True)
class ServeLimits:
    """Bounds of a server: uploads at once, waiting requests, and seconds."""

    max_uploads: int = 8
    max_waiting: int = 4_096
    max_waiting_per_peer: int = 128
    wait_timeout_s: float = 330
    stall_timeout_s: float = 3


@dataclass(slots=True)
class Waiting:
    """A request that has not been answered; ``until`` is when it is refused."""

    request: ChunkRequested
    until: float


class ChunkServer:
    """Decides which request is answered next, and with what."""

    def __init__(self, limits: ServeLimits | None = None) -> None:
        """Create the server.

        :param limits: bounds, the standard ones by default.
        """
        self.limits = limits or ServeLimits()
        self.priorities: dict[str, int] = {}
        self.stored: dict[str, set[int]] = {}
        self.waiting: dict[int, Waiting] = {}
        self.wanted: dict[tuple[str, int], dict[int, ChunkRequested]] = {}
        self.peers: Counter[str] = Counter()
        self.ready: list[tuple[int, int, int]] = []
        self.uploads: dict[int, float] = {}
        self.wake = NEVER

    def handle(self, message: ServeMessage, now: float) -> tuple[ServeAction, ...]:
        """Take a message and decide what follows.

        :param message: what happened.
        :param now: the time in seconds.
        :return: the actions, to be done in this order.
        """
        actions = self.apply(message, now)
        actions.extend(self.fill(now))
        actions.extend(self.next_wake())
        return tuple(actions)

    def apply(self, message: ServeMessage, now: float) -> list[ServeAction]:
        """Change the state by a message."""
        match message:
            case ManifestOffered(manifest, priority):
                self.priorities[manifest] = priority
                self.stored.setdefault(manifest, set())
            case ManifestDropped(manifest):
                return self.drop(manifest)
            case ChunkRequested():
                return self.admit(message, now)
            case ChunkStored(manifest, index):
                self.note_stored(manifest, index)
            case UploadProgressed(request):
                self.prolong(request, now)
            case UploadEnded(request) | RequestCancelled(request):
                self.forget(request)
            case Tick():
                self.wake = NEVER
                return self.expire(now)
        return []

    def prolong(self, request: int, now: float) -> None:
        """Move the deadline of an upload that is under way."""
        running = request in self.uploads
        if running:
            self.uploads[request] = now + self.limits.stall_timeout_s

    def admit(self, message: ChunkRequested, now: float) -> list[ServeAction]:
        """Queue a request within the bounds."""
        full = len(self.waiting) >= self.limits.max_waiting
        if full or self.peers[message.peer] >= self.limits.max_waiting_per_peer:
            return [RefuseRequest(message.request, Code.queue_full)]
        self.peers[message.peer] += 1
        self.waiting[message.request] = Waiting(message, now + self.limits.wait_timeout_s)
        if message.index in self.stored.get(message.manifest, ()):
            self.enqueue(message)
        else:
            key = (message.manifest, message.index)
            self.wanted.setdefault(key, {})[message.request] = message
        return []

    def enqueue(self, message: ChunkRequested) -> None:
        """Queue a request whose chunk is here; the widest subtree goes first."""
        if len(self.ready) > self.limits.max_waiting:
            self.ready = [entry for entry in self.ready if entry[2] in self.waiting]
            heapq.heapify(self.ready)
        priority = self.priorities.get(message.manifest, LAST_PRIORITY)
        heapq.heappush(self.ready, (priority, message.tier, message.request))

    def note_stored(self, manifest: str, index: int) -> None:
        """Release the requests that wait for a chunk."""
        self.stored.setdefault(manifest, set()).add(index)
        released = self.wanted.pop((manifest, index), {})
        for message in released.values():
            self.enqueue(message)

    def drop(self, manifest: str) -> list[ServeAction]:
        """Refuse all requests for a manifest."""
        self.priorities.pop(manifest, None)
        self.stored.pop(manifest, None)
        return self.refuse(lambda entry: entry.request.manifest == manifest)

    def expire(self, now: float) -> list[ServeAction]:
        """Refuse requests that waited too long and cut uploads that stall."""
        actions = self.refuse(lambda entry: entry.until <= now)
        stalled = tuple(number for number, until in self.uploads.items() if until <= now)
        for request in stalled:
            self.forget(request)
            actions.append(RefuseRequest(request, Code.chunk_stalled))
        return actions

    def refuse(self, matches: Callable[[Waiting], bool]) -> list[ServeAction]:
        """Refuse the requests that match; those under way are cut."""
        refused = tuple(number for number, entry in self.waiting.items() if matches(entry))
        for request in refused:
            self.forget(request)
        return [RefuseRequest(number, Code.chunk_missing) for number in refused]

    def forget(self, request: int) -> None:
        """Forget a request and free its upload."""
        self.uploads.pop(request, None)
        entry = self.waiting.pop(request, None)
        if entry is None:
            return
        message = entry.request
        self.wanted.get((message.manifest, message.index), {}).pop(request, None)
        self.peers[message.peer] -= 1
        if not self.peers[message.peer]:
            self.peers.pop(message.peer)

    def fill(self, now: float) -> list[ServeAction]:
        """Start uploads while some are free."""
        actions: list[ServeAction] = []
        while self.ready and len(self.uploads) < self.limits.max_uploads:
            request = heapq.heappop(self.ready)[2]
            entry = self.waiting.get(request)
            if entry is not None:
                self.uploads[request] = now + self.limits.stall_timeout_s
                entry.until = NEVER
                chunk = entry.request
                actions.append(SendChunk(request, chunk.manifest, chunk.index))
        return actions

    def next_wake(self) -> list[ServeAction]:
        """Return the wish to be woken, if it has changed."""
        times = list(self.uploads.values())
        times.extend(self.oldest())
        wake = min(times, default=NEVER)
        if wake in {self.wake, NEVER}:
            return []
        self.wake = wake
        return [ScheduleTick(wake)]

    def oldest(self) -> list[float]:
        """Return when the oldest request without an upload is refused, if there is one."""
        times = (entry.until for entry in self.waiting.values())
        return list(islice((until for until in times if until != NEVER), 1))


__all__ = (
    'ChunkServer',
    'ServeLimits',
)
