"""Tests of manifests."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.weights.manifest import (
    MAX_MANIFEST_BYTES,
    build_manifest,
    parse_manifest,
    verify_chunk,
)

MANIFEST = build_manifest('v1', b'abcdefghij', 4)


@given(st.binary(min_size=1, max_size=200), st.integers(1, 64))
def test_built_manifest_survives_json_and_verifies_its_chunks(
    weights: bytes, chunk_bytes: int
) -> None:
    manifest = build_manifest('v1', weights, chunk_bytes)
    assert parse_manifest(manifest.to_json(), manifest.digest) == manifest
    for index, size in enumerate(manifest.sizes):
        start = index * chunk_bytes
        chunk = weights[start : start + size]
        assert verify_chunk(manifest, index, chunk)
        assert not verify_chunk(manifest, index, chunk[:-1])
        assert not verify_chunk(manifest, index, bytes([chunk[0] ^ 1]) + chunk[1:])


@pytest.mark.parametrize('index', [-1, 3], ids=['negative', 'past-end'])
def test_no_chunk_verifies_outside_manifest(index: int) -> None:
    assert not verify_chunk(MANIFEST, index, b'ij')


@pytest.mark.parametrize(
    'change',
    [
        pytest.param({'chunk_bytes': 0}, id='no-chunk-size'),
        pytest.param({'chunk_bytes': 2**40}, id='huge-chunks'),
        pytest.param({'sizes': [4, 4]}, id='size-missing'),
        pytest.param({'sizes': [4, 2, 4]}, id='short-chunk-inside'),
        pytest.param({'sizes': [4, 4, 5]}, id='long-last-chunk'),
        pytest.param({'total_bytes': 11}, id='wrong-sum'),
        pytest.param({'total_bytes': '10'}, id='text-for-number'),
        pytest.param({'chunks': ['00', '00', '00']}, id='short-digest'),
        pytest.param({'chunks': [], 'sizes': []}, id='empty'),
        pytest.param({'version': ''}, id='no-version'),
        pytest.param({'more': 1}, id='unknown-field'),
    ],
)
def test_invalid_manifest_is_corrupt(change: dict[str, object]) -> None:
    raw = json.dumps(json.loads(MANIFEST.to_json()) | change).encode()
    with pytest.raises(CassiahitchError) as caught:
        parse_manifest(raw, MANIFEST.digest)
    assert caught.value.code is Code.manifest_corrupt


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_corrupt(raw: bytes) -> None:
    with pytest.raises(CassiahitchError) as caught:
        parse_manifest(raw, MANIFEST.digest)
    assert caught.value.code is Code.manifest_corrupt


def test_oversized_manifest_is_corrupt() -> None:
    with pytest.raises(CassiahitchError, match='too large'):
        parse_manifest(b' ' * (MAX_MANIFEST_BYTES + 1), MANIFEST.digest)


def test_other_manifest_is_changed() -> None:
    other = build_manifest('v1', b'abcdefghiJ', 4)
    with pytest.raises(CassiahitchError) as caught:
        parse_manifest(other.to_json(), MANIFEST.digest)
    assert caught.value.code is Code.manifest_changed
