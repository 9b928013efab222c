"""Tests of the choice of the first configuration and of the snapshot archive."""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiahitch.codes import Code
from cassiahitch.controllers.archive import (
    POINTER_INTERVAL_S,
    SnapshotArchive,
    pointer_key,
    snapshot_key,
)
from cassiahitch.controllers.bootstrap import (
    ARCHIVE_ONLY_AFTER_S,
    ROUND_TIMEOUT_S,
    STORE_TIMEOUT_S,
    ApplySnapshot,
    ArchiveReply,
    Bootstrap,
    PeerReply,
    QueryArchive,
    QueryPeers,
    QueryStore,
    StoreReply,
)
from cassiahitch.controllers.changes import Snapshot
from cassiahitch.errors import PlatformError


def snapshot(revision: int) -> Snapshot:
    return Snapshot(revision, ())


def new_bootstrap() -> Bootstrap:
    return Bootstrap(random.Random(1), 0)


def bootstrap_in_outage() -> Bootstrap:
    node = new_bootstrap()
    assert node.poll(0) == (QueryStore(1),)
    assert node.handle(StoreReply(1, None), 0) == (QueryPeers(1, 3), QueryArchive(1))
    return node


def test_snapshot_of_the_store_is_enough() -> None:
    node = new_bootstrap()
    assert node.poll(0) == (QueryStore(1),)
    assert node.handle(StoreReply(1, snapshot(7)), 0) == (
        ApplySnapshot(snapshot(7), confirmed=True),
    )
    assert not node.poll(99)


def test_slow_store_counts_as_unavailable() -> None:
    node = new_bootstrap()
    node.poll(0)
    assert node.poll(STORE_TIMEOUT_S) == (QueryPeers(1, 3), QueryArchive(1))


def test_highest_snapshot_of_peers_and_archive_is_applied() -> None:
    node = bootstrap_in_outage()
    assert not node.handle(ArchiveReply(1, snapshot(4)), 0)
    assert not node.handle(PeerReply(1, 'a', snapshot(3), 3), 0)
    assert not node.handle(PeerReply(1, 'b', snapshot(5), 5), 0)
    actions = node.handle(PeerReply(1, 'c', None, 0), 0)
    assert actions == (ApplySnapshot(snapshot(5), confirmed=True),)


def test_snapshot_below_the_known_revision_is_not_applied() -> None:
    node = bootstrap_in_outage()
    node.handle(PeerReply(1, 'a', snapshot(3), 9), 0)
    assert not node.poll(ROUND_TIMEOUT_S)
    assert not node.done
    next_round_actions = node.poll(ROUND_TIMEOUT_S * 2)
    assert next_round_actions == (QueryStore(2),)
    node.handle(PeerReply(2, 'b', snapshot(9), 9), ROUND_TIMEOUT_S * 2)
    assert node.poll(ROUND_TIMEOUT_S * 3) == (ApplySnapshot(snapshot(9), confirmed=True),)


def test_archive_alone_is_used_only_after_a_delay() -> None:
    node = bootstrap_in_outage()
    node.handle(ArchiveReply(1, snapshot(4)), 0)
    now: float = 0
    while now < ARCHIVE_ONLY_AFTER_S:
        assert not any(isinstance(action, ApplySnapshot) for action in node.poll(now))
        now += 0.5
    while not node.done:
        actions = node.poll(now)
        now += 0.5
    assert actions == (ApplySnapshot(snapshot(4), confirmed=False),)
    assert now < ARCHIVE_ONLY_AFTER_S + 2 * ROUND_TIMEOUT_S


class MemoryObjects:
    """An object store in memory."""

    def __init__(self) -> None:
        self.objects_by_key: dict[str, bytes] = {}

    async def get(self, key: str) -> bytes:
        content = self.objects_by_key.get(key)
        if content is None:
            raise PlatformError(Code.object_missing, key)
        return content

    async def put(self, key: str, content: bytes) -> None:
        assert self.objects_by_key.setdefault(key, content) == content


def test_archive_returns_the_newest_valid_snapshot() -> None:
    objects = MemoryObjects()
    archive = SnapshotArchive(objects)

    async def check() -> None:
        assert await archive.latest(0) is None
        assert await archive.write(snapshot(4), 0)
        assert await archive.write(snapshot(4), POINTER_INTERVAL_S)
        assert not await archive.write(snapshot(5), POINTER_INTERVAL_S + 1)
        assert await archive.write(snapshot(6), 2 * POINTER_INTERVAL_S)
        assert await archive.latest(2 * POINTER_INTERVAL_S) == snapshot(6)
        objects.objects_by_key[snapshot_key(6)] = b'[6'
        assert await archive.latest(3 * POINTER_INTERVAL_S) == snapshot(4)

    asyncio.run(check())


@pytest.mark.parametrize('pointer', [b'', b'-1', b'x'], ids=repr)
def test_corrupt_pointer_is_skipped(pointer: bytes) -> None:
    objects = MemoryObjects()
    asyncio.run(SnapshotArchive(objects).write(snapshot(4), 0))
    objects.objects_by_key[pointer_key(POINTER_INTERVAL_S, 0)] = pointer
    assert asyncio.run(SnapshotArchive(objects).latest(POINTER_INTERVAL_S)) == snapshot(4)
