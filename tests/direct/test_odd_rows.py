"""Rows of another writer name no replica, and leave the others and the processes as they are."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

import pytest
from direct_callers import run_site_in_virtual_time, send_request

from cassiahitch.direct.state.replicas import Replica
from cassiahitch.metrics.logs import SecretFormatter
from cassiahitch.platform import names
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.rowstore import StoredRow

#: Two entries of one region, one of which reads the tables for both, and one of another region.
SIZE = DirectSiteSize(entries=3, models=2, plain=2)
ODD_KEY = 'odd'
#: Time in which a change of the store reaches all entries, in seconds.
PROPAGATION_S = 1.2
#: Requests of which a listed server would get a share.
ORDERS = 30
PATHS = ('/lookup/1', '/order/1', '/draft/1')
#: Largest log line, in characters.
MAX_LINE_CHARS = 4096
LONG_TEXT = 'x' * 60_000
#: Contents of rows that name no replica.
UNREADABLE_CONTENTS: dict[str, bytes] = {
    'nested arrays': b'[' * 60_000,
    'nested objects': b'{"service":' * 6_000,
    'nested unknown field': b'{"service":"s","other":%b%b}' % (b'[' * 30_000, b']' * 30_000),
    'number beyond floats': b'{"service":"s","slots":1e400}',
    'number of many digits': b'{"service":"s","slots":%b}' % (b'9' * 60_000),
    'no number': b'{"service":"s","slots":NaN}',
    'no text': b'\xff\xfe\x00',
    'nothing': b'',
}
#: Fields that replace those of a usable row.
ODD_FIELDS: dict[str, dict[str, Any]] = {
    'no slots': {'slots': 0},
    'negative slots': {'slots': -(10**9)},
    'most slots': {'slots': 2**31 - 1},
    'too many slots': {'slots': 10**18},
    'long ramp-up': {'coldMs': 10**18},
    'negative ramp-up': {'coldMs': -1e300},
    'unknown domain': {'zone': 'nowhere'},
    'no domain': {'zone': ''},
    'long domain': {'zone': LONG_TEXT},
    'long service': {'service': LONG_TEXT},
    'long state': {'state': LONG_TEXT},
    'long address': {'address': f'{LONG_TEXT}:80'},
    'long port': {'address': f'127.0.0.1:{"9" * 60_000}'},
    'high port': {'address': '127.0.0.1:65536'},
    'port 0': {'address': '0.0.0.0:0'},
    'any address': {'address': '0.0.0.0:8005'},
    'broadcast address': {'address': '255.255.255.255:80'},
    'group address': {'address': '224.0.0.1:80'},
    'other family': {'address': '[::1]:80'},
    'closed port': {'address': '127.0.0.1:1'},
    'late start': {'born': 2**63 - 1},
    'later start': {'born': 2**63},
    'many models': {'models': [{'name': f'm{number}', 'version': 1} for number in range(3_000)]},
    'long model': {'models': [{'name': LONG_TEXT, 'version': 1}]},
    'layers backwards': {'layers': [{'from': 16, 'to': 0, 'version': 1}]},
    'many layers': {'layers': [{'from': 0, 'to': 2**31 - 1, 'version': 2**31 - 1}]},
}
#: Fields of a row on a page of the store that replace valid ones.
ODD_PAGE_FIELDS: dict[str, dict[str, Any]] = {
    'no base64': {'value': 'not base64!'},
    'no ASCII': {'value': '\u00fc'},
    'no text': {'value': 7},
    'no version': {'rowVersion': None},
    'negative version': {'rowVersion': -1},
    'high version': {'rowVersion': 2**63 - 1},
    'higher version': {'rowVersion': 10**30},
    'fraction': {'rowVersion': 0.5},
    'no key': {'key': None},
    'numeric key': {'key': 3},
    'odd mark': {'removed': 'perhaps'},
    'long value': {'value': LONG_TEXT[1:]},
    'nested value': {'value': [[[[]]]]},
}


class LineLengths(logging.Handler):
    """Keeps the length of the longest log line."""

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(SecretFormatter(()))
        self.longest = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Measure the line of a record."""
        self.longest = max(self.longest, len(self.format(record)))


@pytest.fixture(name='line_lengths')
def measure_lines(caplog: pytest.LogCaptureFixture) -> Any:
    """Measure all log lines from level INFO on."""
    caplog.set_level(logging.INFO)
    handler = LineLengths()
    logging.getLogger().addHandler(handler)
    yield handler
    logging.getLogger().removeHandler(handler)


def listed(site: DirectSite, replica_id: str) -> list[Replica | None]:
    registries = (entry.parts.entry_state.replicas for entry in site.entries)
    return [registry.replicas.get(replica_id) for registry in registries]


async def assert_followed(site: DirectSite) -> None:
    """All processes run, serve requests and follow further changes of the table."""
    await asyncio.sleep(PROPAGATION_S)
    for path in PATHS:
        for entry in site.entries:
            assert (await send_request(entry, path)).status == 200
    other = site.plain[1]
    site.register(other, 'draining')
    await asyncio.sleep(PROPAGATION_S)
    assert all(replica is not None and replica.draining for replica in listed(site, other.id))
    assert not any(entry.tasks.failed.is_set() for entry in site.entries)
    assert not any(agent.tasks.failed.is_set() for agent in site.agents)


def run_beside_odd_row(write: Callable[[DirectSite], None], lines: LineLengths) -> None:
    async def body(site: DirectSite) -> None:
        failures: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        write(site)
        await assert_followed(site)
        assert not failures

    run_site_in_virtual_time(body, SIZE)
    assert lines.longest < MAX_LINE_CHARS


def odd_row(backend: BackendStandin, fields: dict[str, Any]) -> bytes:
    return json.dumps({**backend.row(), **fields}).encode()


@pytest.mark.parametrize('kind', UNREADABLE_CONTENTS)
def test_row_that_cannot_be_read_stops_nothing(kind: str, line_lengths: LineLengths) -> None:
    def write(site: DirectSite) -> None:
        site.store.write([(names.REPLICA_TABLE, ODD_KEY, UNREADABLE_CONTENTS[kind])])

    run_beside_odd_row(write, line_lengths)


@pytest.mark.parametrize('is_engine', [False, True], ids=['plain', 'engine'])
@pytest.mark.parametrize('kind', ODD_FIELDS)
def test_row_with_an_odd_value_stops_nothing(
    kind: str, line_lengths: LineLengths, *, is_engine: bool
) -> None:
    def write(site: DirectSite) -> None:
        backend = site.models[0] if is_engine else site.plain[0]
        content = odd_row(backend, ODD_FIELDS[kind])
        site.store.write([(names.REPLICA_TABLE, backend.id, content)])

    run_beside_odd_row(write, line_lengths)


@pytest.mark.parametrize('kind', ODD_PAGE_FIELDS)
def test_odd_row_on_a_page_of_the_store_stops_nothing(
    kind: str, line_lengths: LineLengths, monkeypatch: pytest.MonkeyPatch
) -> None:
    document = StoredRow.document

    def odd_document(row: StoredRow) -> dict[str, Any]:
        fields = ODD_PAGE_FIELDS[kind] if row.key == ODD_KEY else {}
        changed = {**document(row), **fields}
        return {name: value for name, value in changed.items() if value is not None}

    def write(site: DirectSite) -> None:
        site.store.put(names.REPLICA_TABLE, ODD_KEY, site.plain[0].row())

    monkeypatch.setattr(StoredRow, 'document', odd_document)
    run_beside_odd_row(write, line_lengths)


@pytest.mark.parametrize('name', ['version', 'slots', 'coldMs', 'seq', 'born'])
def test_server_whose_row_lacks_a_field_gets_no_requests(name: str) -> None:
    """Guards against orders that run at a server which is no replica of their service."""

    async def body(site: DirectSite) -> None:
        stranger = await site.add_plain_replica(len(site.plain))
        row = {key: field for key, field in stranger.row().items() if key != name}
        site.store.put(names.REPLICA_TABLE, stranger.id, row)
        await asyncio.sleep(PROPAGATION_S)
        for _ in range(ORDERS):
            assert (await send_request(site.entries[0], '/order/1')).status == 200
        assert not stranger.runs

    run_site_in_virtual_time(body, DirectSiteSize(entries=1, models=0, plain=2))
