"""The chunks of a rollout that are to be requested, ordered by index and by the earliest time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field


@dataclass(slots=True)
class ChunkQueue:
    """Heaps of the chunks that wait for a request.

    ``unassigned`` holds those without a source, ``delayed`` those that wait until a time in
    seconds. ``origin_ready`` and ``peer_ready`` hold those that may be requested from the origin or
    from a peer. ``origin_chunks`` are all waiting chunks whose source is the origin.
    """

    unassigned: list[int] = field(default_factory=list)
    delayed: list[tuple[float, int]] = field(default_factory=list)
    origin_ready: list[int] = field(default_factory=list)
    peer_ready: list[int] = field(default_factory=list)
    origin_chunks: set[int] = field(default_factory=set)

    def clear(self) -> None:
        """Remove all chunks."""
        self.unassigned.clear()
        self.delayed.clear()
        self.origin_ready.clear()
        self.peer_ready.clear()
        self.origin_chunks.clear()

    def add_unassigned(self, index: int) -> None:
        """Add a chunk whose source is to be chosen.

        :param index: the chunk.
        """
        heapq.heappush(self.unassigned, index)

    def delay(self, index: int, not_before: float) -> None:
        """Add a chunk whose source is to be chosen later.

        :param index: the chunk.
        :param not_before: earliest time in seconds.
        """
        heapq.heappush(self.delayed, (not_before, index))

    def release_delayed(self, now: float) -> None:
        """Move the delayed chunks whose time has come to those without a source.

        :param now: current time in seconds.
        """
        while self.delayed and self.delayed[0][0] <= now:
            self.add_unassigned(heapq.heappop(self.delayed)[1])

    def unassign_peer_chunks(self) -> None:
        """Choose the sources of the chunks again that were to be requested from peers."""
        self.unassigned.extend(self.peer_ready)
        self.peer_ready.clear()
        heapq.heapify(self.unassigned)

    def add_ready(self, index: int, *, origin: bool) -> None:
        """Add a chunk that may be requested.

        :param index: the chunk.
        :param origin: whether its source is the origin.
        """
        heapq.heappush(self.ready(origin=origin), index)

    def remove_ready(self, index: int, *, origin: bool) -> None:
        """Remove a chunk that is requested now.

        :param index: the chunk.
        :param origin: whether its source is the origin.
        """
        heap = self.ready(origin=origin)
        heap.remove(index)
        heapq.heapify(heap)

    def ready(self, *, origin: bool) -> list[int]:
        """Return the chunks that may be requested.

        :param origin: whether from the origin or from peers.
        :return: a heap of their indexes.
        """
        return self.origin_ready if origin else self.peer_ready


__all__ = ('ChunkQueue',)
