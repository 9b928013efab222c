"""Tests of parsing, validating and storing resources."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code
from cassiahitch.errors import ResourceError
from cassiahitch.resources.models import Model, Service
from cassiahitch.resources.parsing import (
    MAX_RESOURCE_BYTES,
    parse_resource,
    parse_stored,
    resource_bytes,
    resource_key,
)

MANIFEST = 'a' * 64
MODEL = {
    'kind': 'Model',
    'name': 'menu',
    'version': 'v1',
    'origin': 'menu/v1',
    'manifest': MANIFEST,
}
DEPLOYMENT = {'kind': 'Deployment', 'name': 'd', 'service': 's', 'model': 'menu', 'replicas': 3}


@pytest.mark.parametrize('digest', ['A' * 64, 'a' * 63, f'{MANIFEST}\n'], ids=repr)
def test_malformed_digest_is_refused(digest: str) -> None:
    with pytest.raises(ResourceError, match='manifest: '):
        parse_resource({**MODEL, 'manifest': digest})


def test_json_and_yaml_give_the_same_resource() -> None:
    yaml = b'kind: Service\nname: desk\ntype: plain\nidempotent: false\npriority: desk\n'
    mapping = {'kind': 'Service', 'name': 'desk', 'type': 'plain', 'idempotent': False}
    encoded = json.dumps({**mapping, 'priority': 'desk'}).encode()
    parsed = parse_resource(yaml)
    assert isinstance(parsed, Service)
    assert parsed == parse_resource(encoded)
    assert resource_key(parsed) == 'Service/desk'
    assert parse_stored(resource_bytes(parsed)) == parsed


@pytest.mark.parametrize(
    ('change', 'code', 'path'),
    [
        ({'kind': 'Shelf'}, Code.unknown_kind, 'kind: '),
        ({'replicas': -1}, Code.resource_invalid, 'replicas: '),
        ({'adapters': ['x', 'x']}, Code.resource_invalid, 'adapters: '),
        ({'failure_domains': ['a', 'B']}, Code.resource_invalid, 'failure_domains.1: '),
        ({'colour': 'red'}, Code.resource_invalid, 'colour: '),
        ({'model': None}, Code.resource_invalid, 'model: '),
    ],
    ids=['kind', 'range', 'repeated', 'nested', 'extra', 'missing'],
)
def test_error_names_the_invalid_key(change: dict[str, object], code: Code, path: str) -> None:
    with pytest.raises(ResourceError) as caught:
        parse_resource({**DEPLOYMENT, **change})
    assert caught.value.code is code
    assert caught.value.detail.startswith(path)


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'- 1',
        b'\xff\xfe\x00',
        b'{"kind": "Model"',
        b'a: &x [1]\nb: *x',
        b'[' * 20_000,
        b'{"a":' * 10_000,
        b' ' * (MAX_RESOURCE_BYTES + 1),
        b'kind: !!python/object/apply:os.getcwd []',
    ],
    ids=['empty', 'list', 'bytes', 'cut', 'alias', 'deep', 'deep-map', 'large', 'tag'],
)
def test_invalid_document_is_refused(raw: bytes) -> None:
    with pytest.raises(ResourceError) as caught:
        parse_resource(raw)
    assert caught.value.code is Code.resource_invalid


@given(raw=st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_bytes_give_a_resource_or_an_error(raw: bytes) -> None:
    try:
        parse_resource(raw)
    except ResourceError as error:
        assert error.code in {Code.resource_invalid, Code.unknown_kind}


@given(
    changed=st.dictionaries(
        st.sampled_from([*MODEL, *DEPLOYMENT, 'x']),
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=9) | st.integers(),
            lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
            max_leaves=5,
        ),
        max_size=4,
    ),
    base=st.sampled_from([MODEL, DEPLOYMENT]),
)
def test_accepted_resource_is_stored_and_parsed_unchanged(
    changed: dict[str, object],
    base: dict[str, object],
) -> None:
    try:
        parsed = parse_resource({**base, **changed})
    except ResourceError as error:
        assert error.code in {Code.resource_invalid, Code.unknown_kind}
        return
    assert parse_stored(resource_bytes(parsed)) == parsed


def test_model_is_frozen() -> None:
    parsed = parse_resource(MODEL)
    assert isinstance(parsed, Model)
    with pytest.raises(ValueError, match='frozen'):
        parsed.version = 'v2'
