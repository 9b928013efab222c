"""Tests of a node's configuration and of the encoding of changes and snapshots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code
from cassiahitch.controllers.changes import (
    Change,
    Delta,
    Snapshot,
    decode_change,
    decode_snapshot,
    encode_change,
    encode_snapshot,
)
from cassiahitch.controllers.configuration import (
    Configuration,
    PullChanges,
    RevisionApplied,
    UpdateRejected,
)
from cassiahitch.errors import ResourceError
from cassiahitch.resources.models import Service, ServiceType
from cassiahitch.resources.parsing import resource_bytes


def change(revision: int, name: str = 's', deleted: bool = False) -> Change:
    service = Service(name=name, type=ServiceType.plain, idempotent=True, deadline_s=revision)
    document = None if deleted else resource_bytes(service)
    return Change(f'c{revision}', revision, f'Service/{name}', document)


def delta(first: int, last: int, latest: int | None = None) -> Delta:
    changes = tuple(change(revision) for revision in range(first, last + 1))
    return Delta(first - 1, changes, last if latest is None else latest)


def test_delta_is_applied() -> None:
    node = Configuration()
    assert node.ready is False
    assert node.apply(delta(1, 3), 5) == (RevisionApplied(3, ('Service/s',), 5),)
    assert node.ready is True
    assert node.revision == 3


def test_lower_revision_is_never_applied() -> None:
    node = Configuration()
    node.apply(delta(1, 5), 0)
    before = node.snapshot()
    for old in (delta(1, 3), delta(5, 5), Snapshot(4, ()), Snapshot(5, ())):
        assert not node.apply(old, 1)
    assert node.snapshot() == before


def test_overlapping_delta_applies_the_new_part() -> None:
    node = Configuration()
    node.apply(delta(1, 3), 0)
    assert node.apply(delta(2, 5, latest=9), 1) == (
        RevisionApplied(5, ('Service/s',), 1),
        PullChanges(5),
    )


def test_gap_pulls_the_missing_changes() -> None:
    node = Configuration()
    node.apply(delta(1, 3), 0)
    assert node.apply(delta(6, 7), 1) == (PullChanges(3),)
    assert node.revision == 3


@pytest.mark.parametrize(
    'corrupt',
    [
        Delta(3, (change(4), change(6)), 6),
        Delta(3, (change(4), Change('c', 5, 'Service/other', change(5).document)), 5),
        Delta(3, (change(4), Change('c', 5, 'Service/s', b'{}')), 5),
        Snapshot(9, (change(8), Change('c', 5, 'Model/s', b'\xff'))),
        Snapshot(9, (change(10),)),
    ],
    ids=['gap', 'key', 'document', 'bytes', 'newer'],
)
def test_corrupt_message_changes_nothing(corrupt: Delta | Snapshot) -> None:
    node = Configuration()
    node.apply(delta(1, 3), 0)
    before = node.snapshot()
    rejection = node.apply(corrupt, 1)[0]
    assert isinstance(rejection, UpdateRejected)
    assert rejection.code is Code.configuration_row_corrupt
    assert node.snapshot() == before
    assert node.revision == 3


def test_update_for_a_peer_is_a_bounded_delta_or_a_snapshot() -> None:
    node = Configuration(max_recent_bytes=6 * change(5).size)
    node.apply(delta(1, 9), 0)
    part = node.update_since(5, max_bytes=change(5).size + 1)
    assert isinstance(part, Delta)
    assert [change.revision for change in part.changes] == [6]
    assert part.latest == 9
    assert node.update_since(9, 100) == Delta(9, (), 9)
    assert node.update_since(1, 100) == node.snapshot()


def test_empty_snapshot_makes_a_node_ready() -> None:
    node = Configuration()
    assert node.apply(Snapshot(0, ()), 0) == (RevisionApplied(0, (), 0),)
    assert node.ready is True


@given(
    ranges=st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), max_size=12),
    bound=st.integers(1, 600),
)
def test_any_order_of_messages_ends_at_the_same_state(
    ranges: list[tuple[int, int]],
    bound: int,
) -> None:
    source = Configuration()
    source.apply(delta(1, 12), 0)
    node = Configuration()
    for first, length in ranges:
        before = node.revision
        last = min(12, first + length)
        node.apply(Delta(first, delta(first + 1, last).changes, last), 0)
        assert node.revision >= before
    while node.revision < source.revision:
        node.apply(source.update_since(node.revision, bound), 0)
    assert node.resources == source.resources


@given(revision=st.integers(0, 10**9), names=st.lists(st.sampled_from('abcd'), unique=True))
def test_snapshot_survives_encoding(revision: int, names: list[str]) -> None:
    snapshot = Snapshot(revision, tuple(change(1, name) for name in names))
    assert decode_snapshot(encode_snapshot(snapshot)) == snapshot


@given(raw=st.binary(max_size=60))
def test_any_bytes_give_a_change_or_a_code(raw: bytes) -> None:
    for decode in (decode_change, decode_snapshot):
        try:
            decode(raw)
        except ResourceError as error:
            assert error.code is Code.configuration_row_corrupt


def test_truncated_snapshot_is_refused() -> None:
    encoded = encode_snapshot(Snapshot(3, (change(1, 'a'), change(2, 'b'))))
    shorter = encoded[:-1]
    while shorter:
        with pytest.raises(ResourceError):
            decode_snapshot(shorter)
        shorter = shorter[:-1]
    assert decode_change(encode_change(change(4, deleted=True))) == change(4, deleted=True)
