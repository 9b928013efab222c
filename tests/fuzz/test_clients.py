"""Fuzz tests of the clients of the platform and of engines with random responses."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahitch.engine.api import GenerateRequest, LoadRequest
from cassiahitch.engine.http import HttpEngine
from cassiahitch.errors import CassiahitchError
from cassiahitch.platform.engine import PlatformEngine, PlatformOrigin
from cassiahitch.platform.rows import PlatformTableStore
from cassiahitch.stores.api import Condition, Write
from cassiahitch.stores.http import HttpHostList, HttpTableService
from cassiahitch.stores.http_client import HttpCall, HttpClient, HttpResponse

URL = 'http://127.0.0.1:1'


@dataclass(frozen=True)
class FakeCaller:
    """An HTTP client that returns the same response to every call."""

    status: int
    body: bytes

    async def call(self, call: HttpCall) -> HttpResponse:
        return HttpResponse(self.status, self.body)

    async def stream(self, call: HttpCall) -> AsyncGenerator[bytes, None]:
        for start in range(0, len(self.body), 7):
            yield self.body[start : start + 7]


def as_caller(fake: FakeCaller) -> HttpClient:
    return cast('HttpClient', fake)


async def generate(fake: FakeCaller) -> object:
    request = GenerateRequest('id', b'body', 0)
    return [part async for part in HttpEngine(as_caller(fake), URL).generate(request)]


def commit(fake: FakeCaller) -> Awaitable[object]:
    tables = HttpTableService(as_caller(fake), URL)
    return tables.commit((Condition('t', 'k', 0),), (Write('t', 'k', b''),))


def commit_rows(fake: FakeCaller) -> Awaitable[object]:
    return row_store(fake).commit((Condition('t', 'k', 0),), (Write('t', 'k', b''),))


def row_store(fake: FakeCaller) -> PlatformTableStore:
    return PlatformTableStore(as_caller(fake), URL)


FakeCall = Callable[[FakeCaller], Awaitable[object]]
CALLS: dict[str, FakeCall] = {
    'hosts': lambda fake: HttpHostList(as_caller(fake), URL).hosts(),
    'read': lambda fake: HttpTableService(as_caller(fake), URL).read('t', 'k'),
    'scan': lambda fake: HttpTableService(as_caller(fake), URL).scan('t', '', '', 9),
    'commit': commit,
    'state': lambda fake: HttpEngine(as_caller(fake), URL).state(),
    'load': lambda fake: HttpEngine(as_caller(fake), URL).load(LoadRequest('d', 'p', 1)),
    'cache-events': lambda fake: HttpEngine(as_caller(fake), URL).cache_events(0),
    'generate': generate,
    'whole-table': lambda fake: row_store(fake).read_all('t'),
    'changes': lambda fake: row_store(fake).read_changes('t', 1, 0),
    'read-row': lambda fake: row_store(fake).read('t', 'k'),
    'scan-rows': lambda fake: row_store(fake).scan('t', '', '', 9),
    'commit-rows': commit_rows,
    'report': lambda fake: PlatformEngine(as_caller(fake), URL).report(),
    'staged': lambda fake: PlatformEngine(as_caller(fake), URL).read_staged('m', 0),
    'order': lambda fake: PlatformEngine(as_caller(fake), URL).load('m', 1, 0),
    'manifest': lambda fake: PlatformOrigin(as_caller(fake)).manifest(URL, 'm', 1),
    'chunk': lambda fake: PlatformOrigin(as_caller(fake)).chunk(URL, 'm', 1, 0),
}
KEYS = st.sampled_from(
    (
        *('host', 'address', 'leaving', 'rows', 'table', 'key', 'content', 'version'),
        *('versions', 'conflicts', 'digest', 'load_epoch', 'running', 'queued'),
        *('sequence', 'prefix', 'cached', 'text', 'length'),
        *('rowVersion', 'value', 'hasMore', 'removed', 'models', 'layers', 'pace', 'chunkDigests'),
    ),
)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
VALUES: st.SearchStrategy[Any] = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(KEYS, inner, max_size=6),
    max_leaves=15,
)
BODIES = st.binary(max_size=99) | st.lists(VALUES.map(json.dumps), max_size=3).map(
    lambda lines: '\n'.join(lines).encode(),
)
STATUSES = st.sampled_from((200, 200, 200, 204, 302, 404, 409, 412, 500, 503))


@pytest.mark.parametrize('call', CALLS.values(), ids=CALLS)
@settings(max_examples=50)
@given(status=STATUSES, body=BODIES)
def test_any_answer_gives_a_numbered_error(
    call: FakeCall,
    status: int,
    body: bytes,
) -> None:
    async def main() -> object:
        return await call(FakeCaller(status, body))

    try:
        asyncio.run(main())
    except CassiahitchError as error:
        assert error.code


@pytest.mark.parametrize('body', [b'', b'{', b'[]', b'{"versions": []}', b'{"versions": [1, 2]}'])
def test_commit_with_a_corrupt_answer_is_not_called_refused(body: bytes) -> None:
    async def main() -> object:
        return await commit(FakeCaller(200, body))

    with pytest.raises(CassiahitchError, match='store_outcome_unknown'):
        asyncio.run(main())


ROW = {'key': 'k', 'value': '', 'rowVersion': 1}
INVALID_PAGES = (
    {'rows': [{**ROW, 'value': 'ü'}], 'rowVersion': 1},
    {'rows': [{**ROW, 'value': '=='}], 'rowVersion': 1},
    {'rows': [ROW], 'rowVersion': 1, 'hasMore': True},
    {'rows': [], 'rowVersion': 10**30, 'hasMore': True},
    [1],
    {'rowVersion': None},
    {'rowVersion': [1]},
)
INVALID_BODIES = (
    b'[' * 100_000,
    b'1' * 5_000,
    b'\xff',
    *(json.dumps(page).encode() for page in INVALID_PAGES),
)


@pytest.mark.parametrize('body', INVALID_BODIES)
@pytest.mark.parametrize('status', [200, 412])
@pytest.mark.parametrize('call', CALLS.values(), ids=CALLS)
def test_odd_page_gives_a_numbered_error_and_ends(call: FakeCall, status: int, body: bytes) -> None:
    async def main() -> object:
        # A store that always returns the same row as the next one must not cause an endless loop.
        async with asyncio.timeout(5):
            return await call(YieldingCaller(status, body))

    try:
        asyncio.run(main())
    except CassiahitchError as error:
        assert error.code


class YieldingCaller(FakeCaller):
    """Yields to the event loop in every call, so that a timeout can take effect."""

    async def call(self, call: HttpCall) -> HttpResponse:
        await asyncio.sleep(0)
        return await super().call(call)
