"""Whatever is read from outside ends no task of a process, and is forgotten once it is gone."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import socket
from collections.abc import Iterator
from typing import Any, get_args

import pytest
from direct_callers import Body, ask, run_virtually
from odd_values import mutants

from cassiahitch.codes import Code
from cassiahitch.direct.agent import DirectAgent
from cassiahitch.direct.entry import DirectEntry
from cassiahitch.direct.members.discovery import POLL_INTERVAL_S
from cassiahitch.platform import names
from cassiahitch.standins.backends import BackendStandin, EngineStandin
from cassiahitch.standins.configurations import KEY, MODEL
from cassiahitch.standins.directsite import DirectSite, DirectSize
from cassiahitch.wire import datagrammessages
from cassiahitch.wire.datagrams import encode_datagram

#: Documents that are written one after another, and seconds between two of them.
COUNT = 250
BETWEEN_S = 0.06
#: Largest datagram that is sent.
LARGEST_BYTES = 60_000
RNG = random.Random(0)
SIZE = DirectSize(entries=2, models=2, plain=1)
ROWS = ('configuration', 'replica', 'version')
SEEDS = range(2)
NUMBERS = (0, 1, -1, 2**31 - 1, -(2**31), 2**62, -(2**63), 2**63 - 1)
TEXTS = ('', 'x', '\x00', '10.0.0.1', '999.9.9.9', '127.0.0.1:99999', 'ü' * 300, 'entry-0', MODEL)
BROKEN = (
    b'',
    b'{',
    b'[' * 50_000,
    b'\xff\xfe',
    json.dumps('\ud800').encode(),
    b'1' * 5_000,
    b'null',
)


def processes(site: DirectSite) -> list[DirectEntry | DirectAgent]:
    return [*site.entries, *site.agents]


def check_running(site: DirectSite, last: object) -> None:
    assert not any(one.tasks.failed.is_set() for one in processes(site)), repr(last)[:500]


def place(site: DirectSite, row: str) -> tuple[str, str, Any]:
    """Return the table, the key and the right content of a row."""
    match row:
        case 'configuration':
            return names.OPERATOR_TABLE, names.CONFIGURATION_KEY, site.configuration
        case 'replica':
            return names.REPLICA_TABLE, site.models[0].id, site.models[0].row()
        case _:
            key = f'{names.VERSION_PREFIX}{MODEL}'
            return names.OPERATOR_TABLE, key, {'model': MODEL, 'version': 1}


def played(body: Body) -> None:
    """Play a site, and fail as well where a callback of its processes did."""
    failures: list[dict[str, Any]] = []

    async def watched(site: DirectSite) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, seen: failures.append(seen))
        await body(site)

    run_virtually(watched, SIZE)
    assert not failures, failures[0]


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('row', ROWS)
def test_odd_rows_of_the_store_end_nothing(row: str, seed: int) -> None:
    async def body(site: DirectSite) -> None:
        rng = random.Random(f'{row} {seed}')
        table, key, right = place(site, row)
        for document in mutants(right, rng, COUNT):
            if row == 'configuration' and isinstance(document, dict):
                document.setdefault('version', 0)
            site.store.put(table, key, document)
            await asyncio.sleep(BETWEEN_S)
            check_running(site, document)
        for content in BROKEN:
            site.store.write([(table, key, content)])
            await asyncio.sleep(BETWEEN_S)
            check_running(site, content)
        site.change()
        if row != 'configuration':
            site.store.put(table, key, right)
        # A version that was declared holds; nothing older may be used again.
        await recovers(site, drafts=row != 'version')

    played(body)


def test_odd_rows_of_entries_end_nothing() -> None:
    async def body(site: DirectSite) -> None:
        table = site.entries[0].platform.tables.entries
        rows = [json.dumps(one).encode() for one in mutants({'region': 'lagos'}, RNG, COUNT)]
        for number, content in enumerate((*BROKEN, *rows)):
            site.store.write([(table, f'127.9.{number // 200}.{number % 200 + 1}', content)])
        site.store.write([(table, odd, b'{"region": "lagos"}') for odd in TEXTS])
        await asyncio.sleep(1.5 * POLL_INTERVAL_S)
        check_running(site, rows)
        await recovers(site)

    played(body)


async def recovers(site: DirectSite, *, drafts: bool = True) -> None:
    ways = ('/lookup/1', '/draft/1') if drafts else ('/lookup/1',)
    statuses: list[int] = []
    for _ in range(200):
        found = [await ask(entry, way) for entry in site.entries for way in ways]
        statuses = [got.status for got in found]
        if set(statuses) == {200}:
            return
        await asyncio.sleep(0.1)
    raise AssertionError(statuses)


@pytest.mark.parametrize('seed', SEEDS)
def test_odd_reports_of_an_engine_end_nothing(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def body(site: DirectSite) -> None:
        rng = random.Random(seed)
        backend = site.models[0]
        engine = backend.engine or EngineStandin()
        for report in mutants(backend.report(engine), rng, COUNT):
            with monkeypatch.context() as patch:
                patch.setattr(BackendStandin, 'report', lambda *_, said=report: said)
                await asyncio.sleep(2 * BETWEEN_S)
            check_running(site, report)
        await recovers(site)

    played(body)


def odd_value(kind: str, rng: random.Random) -> Any:
    if kind.startswith('tuple'):
        inner = kind.removeprefix('tuple[').partition(',')[0]
        return tuple(odd_value(inner, rng) for _ in range(rng.choice((0, 1, 2, 40))))
    match kind:
        case 'bool':
            return rng.choice((True, False))
        case 'int':
            return rng.choice(NUMBERS)
        case 'str':
            return rng.choice(TEXTS)
        case 'bytes':
            return rng.choice(BROKEN)
        case _:
            return odd_message(getattr(datagrammessages, kind), rng)


def odd_message(kind: type[Any], rng: random.Random) -> Any:
    chosen = {field.name: odd_value(str(field.type), rng) for field in dataclasses.fields(kind)}
    return kind(**chosen)


def odd_datagrams(rng: random.Random) -> Iterator[bytes]:
    kinds = get_args(datagrammessages.DatagramMessage)
    for _ in range(COUNT):
        content = _encoded(odd_message(rng.choice(kinds), rng))
        yield content
        yield content[: rng.randrange(len(content) + 1)]
        place = rng.randrange(len(content) + 1)
        yield content[:place] + rng.randbytes(3) + content[place + 3 :]
    yield from (rng.randbytes(rng.randrange(200)) for _ in range(COUNT))


def _encoded(message: datagrammessages.DatagramMessage) -> bytes:
    try:
        return encode_datagram(message)
    except Exception:  # noqa: BLE001
        # A number that its field can't carry can't be sent.
        return b''


@pytest.mark.parametrize('seed', SEEDS)
def test_odd_datagrams_end_nothing(seed: int) -> None:
    async def body(site: DirectSite) -> None:
        rng = random.Random(seed)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number, content in enumerate(odd_datagrams(rng)):
                for one in processes(site):
                    receiver = (one.settings.address, one.settings.peer_port)
                    sender.sendto(content[:LARGEST_BYTES], receiver)
                if number % 10 == 0:
                    await asyncio.sleep(BETWEEN_S)
                    check_running(site, content)
        await recovers(site)

    played(body)


#: Codes of requests whose numbers are no numbers, or that no backend server could begin in time.
REFUSED = (Code.bad_request, Code.overloaded, Code.deadline_exceeded)
ODD_NUMBERS = (
    'inf',
    'nan',
    '-1',
    '1e999',
    '9' * 30,
    '²',
    '٣',
    '-inf',
    '0x10',
    '1_000',
    '9' * 5_000,
)


@pytest.mark.parametrize('name', [names.DEADLINE_MS, names.TOKEN_COUNTS, names.EXPECTED_TOKENS])
def test_odd_numbers_of_callers_are_refused_or_bounded(name: str) -> None:
    async def body(site: DirectSite) -> None:
        for text in ODD_NUMBERS:
            got = await ask(site.entries[0], '/draft/1', odd={name: text.encode()})
            assert got.status in {200, 400, 503}, (text, got)
            assert got.status == 200 or got.code in REFUSED, (text, got)
        await recovers(site)

    played(body)


@pytest.mark.parametrize(
    'name', ['Keep-Alive', 'Retry-After', 'Server-Leaving', names.NOT_EXECUTED, names.RESPONSE_SEAL]
)
def test_odd_headers_of_backend_servers_fail_no_request(name: str) -> None:
    async def body(site: DirectSite) -> None:
        for text in ODD_NUMBERS:
            for one in site.plain:
                one.odd_headers = {name: f'timeout={text}' if name == 'Keep-Alive' else text}
            got = await ask(site.entries[0], '/lookup/1')
            # An answer that says that it did not run is tried elsewhere, and refused at last.
            assert got.status == 200 or name == names.NOT_EXECUTED, (text, got)
            assert got.status == 200 or got.code != Code.internal.value, (text, got)

    played(body)


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/draft/1'])
def test_letters_beyond_ascii_in_a_header_are_passed_on(path: str) -> None:
    # Failed with 500 as soon as a caller named a street in Zürich.
    async def body(site: DirectSite) -> None:
        for text in ('Zürich'.encode(), 'Zürich'.encode('latin1'), b'\xff\x80'):
            got = await ask(site.entries[0], path, odd={'X-Street': text})
            assert got.status == 200, got

    played(body)


@pytest.mark.parametrize(
    'line',
    [
        b'GET /lookup/\xfc HTTP/1.1',
        b'GET /lookup/\x01 HTTP/1.1',
        b'G\xfc / HTTP/1.1',
        b'GET',
        b'\x16\x03\x01',
        b'GET / HTTP/9.9',
    ],
)
def test_odd_start_line_gets_a_numbered_refusal(line: bytes) -> None:
    async def body(site: DirectSite) -> None:
        got = await ask_raw(site, line)
        assert got.startswith(b'HTTP/1.1 4'), got
        assert b'"code": 1000' in got, got
        await recovers(site)

    played(body)


async def ask_raw(site: DirectSite, line: bytes) -> bytes:
    callers = site.entries[0].settings.callers
    reader, writer = await asyncio.open_connection(callers.address, callers.port)
    lines = (
        line,
        b'Host: menus.example',
        b'Connection: close',
        b'X-Cassiahitch-Attempt-Id: a',
        b'X-Cassiahitch-Key: %b' % KEY.encode(),
    )
    writer.write(b'\r\n'.join((*lines, b'', b'')))
    got = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return got
