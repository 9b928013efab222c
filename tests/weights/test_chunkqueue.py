"""Tests of the chunks that wait for a request."""

from __future__ import annotations

from cassiahitch.weights.chunkqueue import ChunkQueue


def test_delayed_chunks_are_released_in_order_once_their_time_has_come() -> None:
    queue = ChunkQueue()
    queue.delay(7, 2)
    queue.delay(3, 1)
    queue.delay(5, 3)
    queue.release_delayed(2)
    assert sorted(queue.unassigned) == [3, 7]
    assert queue.delayed == [(3, 5)]


def test_sources_of_chunks_of_peers_are_chosen_again() -> None:
    queue = ChunkQueue()
    queue.add_ready(4, origin=False)
    queue.add_ready(2, origin=True)
    queue.add_unassigned(9)
    queue.unassign_peer_chunks()
    assert sorted(queue.unassigned) == [4, 9]
    assert queue.ready(origin=True) == [2]
    assert not queue.ready(origin=False)


def test_requested_chunk_leaves_the_heap_in_order() -> None:
    queue = ChunkQueue()
    for index in (5, 1, 3):
        queue.add_ready(index, origin=False)
    queue.remove_ready(1, origin=False)
    assert queue.ready(origin=False)[0] == 3


def test_cleared_queue_has_no_chunks() -> None:
    queue = ChunkQueue()
    queue.delay(1, 1)
    queue.add_ready(2, origin=True)
    queue.origin_chunks.add(2)
    queue.clear()
    assert queue == ChunkQueue()
