"""Tests of the era that responses of the store name.

Guards against a transaction whose condition names a row version of an older era, which the store
may have reused for other contents, and against headers that end a read.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import cast

import pytest

from cassiahitch.codes import Code
from cassiahitch.direct.state.feed import (
    CallFailure,
    HistoryUnavailable,
    TableChanges,
    TableSnapshot,
)
from cassiahitch.errors import PlatformError
from cassiahitch.platform.names import STORE_ERA
from cassiahitch.platform.rows import PlatformTableStore
from cassiahitch.stores.api import NO_ERA, CommitConflict, CommitSuccess, Condition, Write
from cassiahitch.stores.http_client import HttpCall, HttpClient, HttpResponse

WRITES = (Write('t', 'k', b'1'),)


@dataclass
class Responses:
    """An HTTP client that returns given responses, and records the calls."""

    responses: list[HttpResponse]
    calls: list[HttpCall] = field(default_factory=list)

    async def call(self, call: HttpCall) -> HttpResponse:
        self.calls.append(call)
        return self.responses.pop(0)

    def store(self) -> PlatformTableStore:
        return PlatformTableStore(cast('HttpClient', self), 'http://127.0.0.1:1')


def page(era: str | None, status: int = 200, *, more: bool = False, key: str = 'k') -> HttpResponse:
    row = {'key': key, 'value': '', 'rowVersion': 3}
    body = json.dumps({'rows': [row], 'hasMore': more, 'rowVersion': 5}).encode()
    headers = () if era is None else ((STORE_ERA.lower(), era),)
    return HttpResponse(status, body, headers)


@pytest.mark.parametrize(
    ('text', 'era'),
    [(None, NO_ERA), ('0', 0), (' 7 ', 7), ('', NO_ERA), ('-3', NO_ERA), ('x', NO_ERA)]
    + [('1' * 40, NO_ERA), ('1.5', NO_ERA), ('\u0664', NO_ERA)],
)
def test_era_of_a_response(text: str | None, era: int) -> None:
    store = Responses([page(text), page(text), page(text, 410), page(text, 503)]).store()
    snapshot = asyncio.run(store.read_all('t'))
    assert isinstance(snapshot, TableSnapshot)
    assert snapshot.era == era
    changes = asyncio.run(store.read_changes('t', 1, 0))
    assert isinstance(changes, TableChanges)
    assert changes.era == era
    assert asyncio.run(store.read_changes('t', 1, 0)) == HistoryUnavailable(era)
    refused = asyncio.run(store.read_changes('t', 1, 0))
    assert isinstance(refused, CallFailure)
    assert refused.era == era
    assert store.era.latest == era


def test_pages_of_two_eras_are_no_snapshot() -> None:
    store = Responses([page('4', more=True), page('5', key='m')]).store()
    reply = asyncio.run(store.read_all('t'))
    assert isinstance(reply, CallFailure)
    assert reply.era == 5


def test_condition_of_an_older_era_is_not_sent() -> None:
    responses = Responses([page('4'), page('5')])
    store = responses.store()
    row = asyncio.run(store.read('t', 'k'))
    assert row is not None
    asyncio.run(store.read('t', 'k'))
    condition = Condition('t', 'k', row.version, row.era)
    assert asyncio.run(store.commit((condition,), WRITES)) == CommitConflict(())
    assert len(responses.calls) == 2


@pytest.mark.parametrize('status', [200, 412])
def test_outcome_is_unknown_if_the_store_was_restored_since_the_condition_was_read(
    status: int,
) -> None:
    store = Responses([page('5', status)]).store()
    with pytest.raises(PlatformError) as caught:
        asyncio.run(store.commit((Condition('t', 'k', 3, 4),), WRITES))
    assert caught.value.code is Code.store_outcome_unknown


def test_outcome_names_the_era() -> None:
    store = Responses([page('5'), page('5', 412)]).store()
    condition = Condition('t', 'k', 3, 5)
    assert asyncio.run(store.commit((condition,), WRITES)) == CommitSuccess((5,), 5)
    conflict = asyncio.run(store.commit((condition,), WRITES))
    assert isinstance(conflict, CommitConflict)
    assert [row.era for row in conflict.rows] == [5]


def test_row_of_an_older_era_is_not_used() -> None:
    store = Responses([page('4')]).store()
    store.era.observe(5)
    with pytest.raises(PlatformError) as caught:
        asyncio.run(store.read('t', 'k'))
    assert caught.value.code is Code.store_unavailable
