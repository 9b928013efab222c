"""Fuzz tests of all parsers of external input: they raise only numbered errors."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahitch.cli.responses import (
    ListResponse,
    ResourceResponse,
    StatusResponse,
    parse_api_response,
    parse_error,
)
from cassiahitch.controllers.changes import decode_change, decode_snapshot
from cassiahitch.controllers.lease import decode_grant
from cassiahitch.errors import CassiahitchError
from cassiahitch.ledger.rows import parse_row
from cassiahitch.ledger.tickets import TicketIssuer
from cassiahitch.metrics.encoding import decode_snapshot as decode_metrics
from cassiahitch.resources.parsing import parse_resource, parse_stored
from cassiahitch.settings.loader import parse_settings
from cassiahitch.settings.models import Role
from cassiahitch.stores import rows
from cassiahitch.stores.api import Row
from cassiahitch.timeline.encoding import decode_events
from cassiahitch.util.endpoints import parse_endpoint
from cassiahitch.weights.manifest import parse_manifest
from cassiahitch.weights.plan import parse_plan
from cassiahitch.wire.codec import decode as decode_frame
from cassiahitch.wire.configuration import decode_update
from cassiahitch.wire.messages import ConfigurationUpdate

DIGEST = 'a' * 64
TICKET_ISSUER = TicketIssuer((b'secret',), 1, 600)


def parse_ticket(document: bytes) -> object:
    return TICKET_ISSUER.verify(document.decode('latin-1'), 0)


def parse_update(document: bytes) -> object:
    return decode_update(ConfigurationUpdate(0, 1, snapshot=False, document=document))


def read_endpoint(document: bytes) -> object:
    try:
        return parse_endpoint(document.decode('latin-1'))
    except ValueError:
        # The settings loader converts it to a numbered error.
        return None


PARSERS: dict[str, Callable[[bytes], object]] = {
    'entry-settings': lambda document: parse_settings(document, Role.entry, Path()),
    'agent-settings': lambda document: parse_settings(document, Role.agent, Path()),
    'endpoint': read_endpoint,
    'resource': parse_resource,
    'stored-resource': parse_stored,
    'change': decode_change,
    'snapshot': decode_snapshot,
    'update': parse_update,
    'lease': decode_grant,
    'claim': lambda document: parse_row(Row('claims', 'key', document, 1)),
    'ticket': parse_ticket,
    'manifest': lambda document: parse_manifest(document, DIGEST),
    'plan': parse_plan,
    'frame': decode_frame,
    'rows': lambda document: rows.parse_response(rows.RowsModel, document),
    'outcome': lambda document: rows.parse_response(rows.OutcomeModel, document),
    'events': decode_events,
    'metrics': decode_metrics,
    'list-answer': lambda document: parse_api_response(ListResponse, document),
    'resource-answer': lambda document: parse_api_response(ResourceResponse, document),
    'status-answer': lambda document: parse_api_response(StatusResponse, document),
    'error-answer': lambda document: parse_error(500, document),
}

KEYS = st.sampled_from(
    (
        *('kind', 'name', 'version', 'origin', 'manifest', 'model', 'type', 'idempotent'),
        *('service', 'replicas', 'host', 'key_digests', 'weight', 'code', 'ran', 'detail'),
        *('chunks', 'sizes', 'chunk_bytes', 'total_bytes', 'rollout', 'objective'),
        *('participants', 'region', 'failure_domain', 'rows', 'table', 'key', 'content'),
        *('versions', 'conflicts', 'clock', 'physical_ms', 'counter', 'process'),
        *('counters', 'gauges', 'latencies', 'histogram', 'value', 'label', 'revision'),
        *('resource', 'resources', 'conditions', 'platform', 'timeouts', 'entries', 'address'),
    ),
)
WORDS = st.sampled_from(
    ('Model', 'Deployment', 'Drain', 'model', 'time', 'no', 'v1', DIGEST, '10.0.0.1:1', 'AAAA'),
)
NUMBERS = st.sampled_from((0, 1, -1, 2**63, 10**400, 0.5, 1e308)) | st.integers()
SCALARS = st.none() | st.booleans() | NUMBERS | WORDS | st.text(max_size=12)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(KEYS, inner, max_size=8),
    max_leaves=20,
)
LINES = st.lists(VALUES.map(json.dumps), min_size=1, max_size=3).map('\n'.join)
DOCUMENTS = st.binary(max_size=200) | LINES.map(str.encode)


REGRESSION_DOCUMENTS = (
    json.dumps(['holder', 1, 'id', 10**400]).encode(),
    json.dumps(['holder', 1, 'id', float('nan')]).encode(),
    json.dumps('\ud800').encode(),
    b'[' * 100_000,
    b'1' * 5_000,
)


@pytest.mark.parametrize('parse', PARSERS.values(), ids=PARSERS)
@settings(max_examples=50)
@given(document=DOCUMENTS)
def test_any_document_gives_a_numbered_error(
    parse: Callable[[bytes], object],
    document: bytes,
) -> None:
    check(parse, document)


@pytest.mark.parametrize('parse', PARSERS.values(), ids=PARSERS)
def test_document_that_once_broke_a_parser_gives_a_numbered_error(
    parse: Callable[[bytes], object],
) -> None:
    for document in REGRESSION_DOCUMENTS:
        check(parse, document)


def check(parse: Callable[[bytes], object], document: bytes) -> None:
    try:
        parse(document)
    except CassiahitchError as error:
        assert error.code
        assert len(error.detail) < 2_000
