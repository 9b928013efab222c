"""Tests of the serving side."""

from __future__ import annotations

import pytest

from cassiahitch.codes import Code
from cassiahitch.weights.api import (
    ChunkRequested,
    ChunkStored,
    ManifestDropped,
    ManifestOffered,
    RefuseRequest,
    RequestCancelled,
    SendChunk,
    ServeAction,
    Tick,
    UploadEnded,
    UploadProgressed,
)
from cassiahitch.weights.server import ChunkServer, ServeLimits
from cassiahitch.weights.tree import Tier

LIMITS = ServeLimits(
    max_uploads=1, max_pending=4, max_pending_per_peer=2, wait_timeout_s=90, stall_timeout_s=3
)


def ask(
    number: int, manifest: str = 'm1', tier: Tier = Tier.host, peer: str = ''
) -> ChunkRequested:
    return ChunkRequested(number, peer or f'peer{number}', manifest, 0, tier)


@pytest.fixture(name='server')
def make_server() -> ChunkServer:
    server = ChunkServer(LIMITS)
    server.handle(ManifestOffered('m1', 1), 0)
    return server


def sent(actions: tuple[ServeAction, ...]) -> list[int]:
    return [action.request for action in actions if isinstance(action, SendChunk)]


def refused(actions: tuple[ServeAction, ...]) -> list[tuple[int, Code]]:
    return [(act.request, act.code) for act in actions if isinstance(act, RefuseRequest)]


def test_request_waits_until_the_chunk_is_stored(server: ChunkServer) -> None:
    assert not sent(server.handle(ask(1), 0))
    assert sent(server.handle(ChunkStored('m1', 0), 1)) == [1]


def test_widest_subtree_and_higher_priority_go_first(server: ChunkServer) -> None:
    server.handle(ManifestOffered('m0', 0), 0)
    asked = [
        ask(1, tier=Tier.joiner),
        ask(2, tier=Tier.host),
        ask(3, tier=Tier.region),
        ask(4, 'm0', tier=Tier.joiner),
    ]
    for message in asked:
        server.handle(message, 0)
    order = sent(server.handle(ChunkStored('m1', 0), 1))
    server.handle(ChunkStored('m0', 0), 1)
    while order[-1] != 1:
        order += sent(server.handle(UploadEnded(order[-1]), 2))
    assert order == [3, 4, 2, 1]


def test_queues_are_bounded(server: ChunkServer) -> None:
    for number in (1, 2):
        assert not refused(server.handle(ask(number, peer='a'), 0))
    assert refused(server.handle(ask(3, peer='a'), 0)) == [(3, Code.queue_full)]
    for number in (4, 5):
        server.handle(ask(number), 0)
    assert refused(server.handle(ask(6), 0)) == [(6, Code.queue_full)]
    server.handle(RequestCancelled(1), 0)
    assert not refused(server.handle(ask(7, peer='a'), 0))


def test_request_that_waits_too_long_is_refused(server: ChunkServer) -> None:
    server.handle(ask(1), 0)
    assert refused(server.handle(Tick(), 90)) == [(1, Code.chunk_missing)]


def test_stalled_upload_frees_its_place(server: ChunkServer) -> None:
    server.handle(ChunkStored('m1', 0), 0)
    server.handle(ask(1), 0)
    server.handle(ask(2), 0)
    server.handle(UploadProgressed(1), 2)
    assert not refused(server.handle(Tick(), 3))
    actions = server.handle(Tick(), 5)
    assert refused(actions) == [(1, Code.chunk_stalled)]
    assert sent(actions) == [2]


def test_dropped_manifest_refuses_its_requests(server: ChunkServer) -> None:
    server.handle(ask(1), 0)
    assert refused(server.handle(ManifestDropped('m1'), 1)) == [(1, Code.chunk_missing)]
    assert not sent(server.handle(ask(2), 2))
