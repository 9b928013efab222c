"""Tests of decoding the platform's documents and the headers of requests."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code
from cassiahitch.direct.state.catalogue import RepeatPolicy
from cassiahitch.direct.state.layers import are_all_layers
from cassiahitch.errors import PlatformError, RequestError
from cassiahitch.platform.configurations import decode_catalogue
from cassiahitch.platform.documents import (
    decode_manifest,
    decode_replica,
    decode_report,
    decode_version,
)
from cassiahitch.platform.requests import PlatformRequests
from cassiahitch.standins.configurations import initial_configuration

REPLICA: dict[str, Any] = {
    'service': 'huvo',
    'address': '10.128.0.9:8080',
    'zone': 'lagos-ikeja',
    'version': 'v1',
    'slots': 16,
    'state': 'ready',
    'coldMs': 0,
    'models': [{'name': 'daka', 'version': 3, 'adapters': []}],
    'layers': [{'from': 0, 'to': 16, 'version': 3}],
    'seq': 4,
    'born': 17,
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda nested: st.lists(nested, max_size=3) | st.dictionaries(st.text(max_size=5), nested),
    max_leaves=5,
)


def encode_json(document: object) -> bytes:
    return json.dumps(document).encode()


def test_configuration_is_read_into_the_products_types() -> None:
    catalogue = decode_catalogue(encode_json(initial_configuration('10.0.0.1:8006')))
    repeat_policies = {route.name: route.repeat_policy for route in catalogue.routes}
    assert repeat_policies == {
        'draft': RepeatPolicy.stream,
        'lookup': RepeatPolicy.idempotent,
        'order': RepeatPolicy.once,
    }
    assert catalogue.routes[0].timeout_s == 4
    assert catalogue.services['origin'].origin == '10.0.0.1:8006'
    assert catalogue.limits.body_bytes == 100_000
    organisations = catalogue.organisations or {}
    assert [organisation.name for organisation in organisations.values()] == ['caterers']


def test_allowed_regions_of_routes_and_organisations_are_read() -> None:
    """Guards against requests that are served in regions which the configuration excludes."""
    document = initial_configuration('10.0.0.1:8006')
    document['routes'][0]['allowedRegions'] = ['lagos']
    document['tenants'][0]['allowedRegions'] = ['abuja', 'lagos']
    catalogue = decode_catalogue(encode_json(document))
    restricted, *others = catalogue.routes
    assert restricted.allowed_regions == {'lagos'}
    assert not any(route.allowed_regions for route in others)
    assert catalogue.host_regions(f'{restricted.host}:80') == {'lagos'}
    assert not catalogue.host_regions('unknown.example')
    owners = (catalogue.organisations or {}).values()
    assert {owner.allowed_regions for owner in owners} == {frozenset(('abuja', 'lagos'))}


def test_cold_rates_of_services_are_read() -> None:
    document = initial_configuration('127.0.0.1:1')
    assert not decode_catalogue(encode_json(document)).cold_rates()
    document['services'][0] |= {'coldS': 3.0, 'coldPerS': 14.0}
    catalogue = decode_catalogue(encode_json(document))
    assert catalogue.cold_rates() == {'drafts': 14}
    assert catalogue.services['drafts'].cold_s == 3


def test_replica_is_read_with_its_weights_and_start() -> None:
    replica = decode_replica('i-1', encode_json(REPLICA))
    assert (replica.key, replica.version('daka'), replica.draining) == ('i-1@17', 3, False)
    assert str(replica.endpoint) == '10.128.0.9:8080'


def test_replica_without_layers_has_no_weights() -> None:
    replica = decode_replica('i-1', encode_json({**REPLICA, 'layers': []}))
    assert replica.version('daka') == 0


def layer_range(first: int, end: int, version: int = 3) -> dict[str, int]:
    return {'from': first, 'to': end, 'version': version}


@pytest.mark.parametrize(
    ('layers', 'is_whole'),
    [
        ([layer_range(0, 16)], True),
        ([layer_range(8, 16), layer_range(0, 8)], True),
        (None, True),
        ([layer_range(0, 8)], False),
        ([layer_range(0, 16, version=2)], False),
        ([layer_range(0, 8, version=2), layer_range(8, 16)], False),
        ([layer_range(0, 7), layer_range(8, 16)], False),
        ([layer_range(0, 9), layer_range(8, 16)], False),
    ],
)
def test_layers_of_two_versions_or_with_a_gap_are_no_whole_model(
    layers: list[dict[str, int]] | None, *, is_whole: bool
) -> None:
    """Guards against engines that get requests with layers of the version before."""
    row = encode_json(REPLICA | {'layers': layers})
    assert are_all_layers(decode_replica('i-1', row).layers, 16) is is_whole
    assert are_all_layers(decode_report(row).layers, 16) is is_whole


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'sleepy'},
        {'address': 'nowhere'},
        {'service': None},
        {'slots': 'many'},
        {'slots': '16'},
        {'slots': 16.5},
        {'slots': True},
        {'address': 7},
        {'version': 1},
        {'seq': '4'},
        {'seq': -1},
        {'born': '17'},
        {'born': 17.5},
        {'coldMs': '0'},
        {'models': 3},
    ],
)
def test_invalid_replica_row_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(PlatformError) as raised:
        decode_replica('i-1', encode_json({**REPLICA, **change}))
    assert raised.value.code is Code.store_row_corrupt


@pytest.mark.parametrize('name', sorted(REPLICA.keys() - {'models', 'layers'}))
@pytest.mark.parametrize('is_null', [False, True])
def test_replica_row_that_lacks_a_field_names_no_replica(name: str, *, is_null: bool) -> None:
    """Guards against requests to the address in a row that no replica wrote."""
    row = {key: field for key, field in REPLICA.items() if key != name}
    with pytest.raises(PlatformError) as raised:
        decode_replica('i-1', encode_json(row | {name: None} if is_null else row))
    assert raised.value.code is Code.store_row_corrupt


@given(st.binary(max_size=60) | JSON_VALUES.map(encode_json))
def test_any_content_is_read_or_refused_with_a_code(content: bytes) -> None:
    for decode in (decode_catalogue, decode_version, decode_report, decode_manifest):
        try:
            decode(content)
        except PlatformError as error:
            assert error.code in {
                Code.configuration_row_corrupt,
                Code.store_row_corrupt,
                Code.engine_answer_corrupt,
                Code.manifest_corrupt,
            }


@given(st.fixed_dictionaries({name: JSON_VALUES | st.just(REPLICA[name]) for name in REPLICA}))
def test_any_row_of_a_replica_is_read_or_refused_with_a_code(row: dict[str, Any]) -> None:
    try:
        decode_replica('i-1', encode_json(row))
    except PlatformError as error:
        assert error.code is Code.store_row_corrupt


def read_request(*headers: tuple[str, str]) -> Any:
    return PlatformRequests().read_request('POST', '/a/b?c', headers, b'x')


def test_key_and_connection_headers_are_not_passed_on() -> None:
    request = read_request(
        ('Host', 'h'),
        ('X-Cassiahitch-Attempt-Id', 'a1'),
        ('X-Cassiahitch-Key', 'secret'),
        ('X-Cassiahitch-Tenant', 'forged'),
        ('X-Cassiahitch-Expect-Instance', 'forged'),
        ('Connection', 'X-Odd, X-Cassiahitch-Attempt-Id'),
        ('X-Odd', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('X-Other', '2'),
    )
    assert (request.key, request.attempt_id) == ('secret', 'a1')
    assert [name for name, _ in request.headers] == [
        'Host',
        'X-Cassiahitch-Attempt-Id',
        'X-Other',
    ]


@pytest.mark.parametrize(
    'headers',
    [
        (),
        (('X-Cassiahitch-Attempt-Id', 'a'), ('X-Cassiahitch-Deadline-Ms', 'soon')),
        (
            ('X-Cassiahitch-Attempt-Id', 'a'),
            ('X-Cassiahitch-Model', 'm'),
            ('X-Cassiahitch-Token-Count', 'x,y'),
        ),
    ],
)
def test_request_that_cannot_be_read_is_refused(headers: tuple[tuple[str, str], ...]) -> None:
    with pytest.raises(RequestError) as raised:
        read_request(*headers)
    assert raised.value.code is Code.bad_request
