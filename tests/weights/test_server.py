"""Tests of the chunk server."""

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


def make_request(
    number: int, manifest: str = 'm1', tier: Tier = Tier.host, peer: str = ''
) -> ChunkRequested:
    return ChunkRequested(number, peer or f'peer{number}', manifest, 0, tier)


@pytest.fixture(name='server')
def make_server() -> ChunkServer:
    server = ChunkServer(LIMITS)
    server.handle(ManifestOffered('m1', 1), 0)
    return server


def sent_requests(actions: tuple[ServeAction, ...]) -> list[int]:
    return [action.request for action in actions if isinstance(action, SendChunk)]


def refusals(actions: tuple[ServeAction, ...]) -> list[tuple[int, Code]]:
    return [
        (action.request, action.code) for action in actions if isinstance(action, RefuseRequest)
    ]


def test_request_waits_until_the_chunk_is_stored(server: ChunkServer) -> None:
    assert not sent_requests(server.handle(make_request(1), 0))
    assert sent_requests(server.handle(ChunkStored('m1', 0), 1)) == [1]


def test_widest_subtree_and_higher_priority_go_first(server: ChunkServer) -> None:
    server.handle(ManifestOffered('m0', 0), 0)
    requests = [
        make_request(1, tier=Tier.joiner),
        make_request(2, tier=Tier.host),
        make_request(3, tier=Tier.region),
        make_request(4, 'm0', tier=Tier.joiner),
    ]
    for message in requests:
        server.handle(message, 0)
    order = sent_requests(server.handle(ChunkStored('m1', 0), 1))
    server.handle(ChunkStored('m0', 0), 1)
    while order[-1] != 1:
        order += sent_requests(server.handle(UploadEnded(order[-1]), 2))
    assert order == [3, 4, 2, 1]


def test_queues_are_bounded(server: ChunkServer) -> None:
    for number in (1, 2):
        assert not refusals(server.handle(make_request(number, peer='a'), 0))
    assert refusals(server.handle(make_request(3, peer='a'), 0)) == [(3, Code.queue_full)]
    for number in (4, 5):
        server.handle(make_request(number), 0)
    assert refusals(server.handle(make_request(6), 0)) == [(6, Code.queue_full)]
    server.handle(RequestCancelled(1), 0)
    assert not refusals(server.handle(make_request(7, peer='a'), 0))


def test_request_that_waits_too_long_is_refused(server: ChunkServer) -> None:
    server.handle(make_request(1), 0)
    assert refusals(server.handle(Tick(), 90)) == [(1, Code.chunk_missing)]


def test_stalled_upload_frees_its_slot(server: ChunkServer) -> None:
    server.handle(ChunkStored('m1', 0), 0)
    server.handle(make_request(1), 0)
    server.handle(make_request(2), 0)
    server.handle(UploadProgressed(1), 2)
    assert not refusals(server.handle(Tick(), 3))
    actions = server.handle(Tick(), 5)
    assert refusals(actions) == [(1, Code.chunk_stalled)]
    assert sent_requests(actions) == [2]


def test_dropped_manifest_refuses_its_requests(server: ChunkServer) -> None:
    server.handle(make_request(1), 0)
    assert refusals(server.handle(ManifestDropped('m1'), 1)) == [(1, Code.chunk_missing)]
    assert not sent_requests(server.handle(make_request(2), 2))
