"""Tests of the rows that processes send to each other.

Guards against a large configuration that fills the link of the entry that sends it to all others.
"""

from __future__ import annotations

import asyncio
import json
import random
from contextlib import ExitStack

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from cassiahitch.direct.members.rowservice import (
    MIN_COMPRESSED_BYTES,
    declarations_path,
    row_service,
    rows_path,
)
from cassiahitch.direct.members.tablerelay import TableRelay
from cassiahitch.direct.state.feed import TableFeed, TableRow, TableSnapshot
from cassiahitch.direct.state.follower import TableFollower
from cassiahitch.direct.statelog import StateLog
from cassiahitch.stores.http_client import HttpCall, HttpClient
from cassiahitch.wire.datagrammessages import RowRecord, TableRows

TABLE = 'op'
ROUTES = 1400
#: A row that is too small to be compressed.
SMALL = RowRecord('k', b'x', version=7)


def large_configuration() -> bytes:
    """Return a configuration whose routes differ only in their names."""
    rng = random.Random(1)
    shared = {'kind': 'idempotent', 'timeoutMs': 2000, 'targetLatencyMs': 400, 'maxAttempts': 2}
    routes = [{**shared, 'name': f'{rng.getrandbits(40):x}'} for _ in range(ROUTES)]
    return json.dumps({'version': 7, 'routes': routes}).encode()


def make_follower(content: bytes) -> TableFollower:
    follower = TableFollower(
        None,  # type: ignore[arg-type]
        TABLE,
        TableFeed(random.Random(1)),
        lambda rows, reply, sent_at: None,
        StateLog(),
        0,
    )
    snapshot = TableSnapshot((TableRow('config', content, 7),), 7)
    follower.apply(follower.feed.handle(snapshot), snapshot, 0)
    return follower


async def fetch(path: str, follower: TableFollower) -> tuple[TableRows | None, int]:
    """Read a path, and return the message and the bytes of the body on the connection."""
    declarations = TableRows(TABLE, rows=(SMALL,))
    service = row_service({TABLE: follower}, lambda version: declarations)
    server = HTTPServer(service)
    sockets = bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    url = f'http://127.0.0.1:{sockets[0].getsockname()[1]}{path}'
    sizes: list[int] = []
    with ExitStack() as stack:
        stack.callback(server.stop)
        async with HttpClient() as client:
            response = await client.call(
                HttpCall('GET', url, headers=(('Accept-Encoding', 'gzip'),))
            )
            sizes += [
                int(value) for name, value in response.headers if name.lower() == 'content-length'
            ]
            message = await TableRelay(tuple, tuple, client).fetch_rows(HttpCall('GET', url))
    return message, sizes[0]


def test_large_configuration_crosses_the_link_of_its_sender_in_a_fraction_of_its_size() -> None:
    content = large_configuration()
    message, sent_bytes = asyncio.run(fetch(rows_path(TABLE, 0), make_follower(content)))
    assert message is not None
    assert message.rows == (RowRecord('config', content, version=7),)
    assert sent_bytes < len(content) / 5


@pytest.mark.parametrize('path', [rows_path(TABLE, 0), declarations_path(0)])
def test_small_rows_are_sent_as_they_are(path: str) -> None:
    message, sent_bytes = asyncio.run(fetch(path, make_follower(b'x')))
    assert message is not None
    assert message.rows[0].content == b'x'
    assert sent_bytes < MIN_COMPRESSED_BYTES
