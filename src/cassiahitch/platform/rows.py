"""Client of the platform's tables of rows."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Any
from urllib.parse import urlencode

from pydantic import BaseModel, ConfigDict, Field

from cassiahitch.codes import Code
from cassiahitch.direct.state.feed import (
    CallFailure,
    HistoryUnavailable,
    Reply,
    TableChanges,
    TableRow,
    TableSnapshot,
)
from cassiahitch.errors import PlatformError
from cassiahitch.platform import names
from cassiahitch.stores.api import ABSENT, Committed, Condition, Conflicted, Row, Write
from cassiahitch.stores.caller import Call, CallFailed, HttpCaller
from cassiahitch.stores.caller import Reply as Answer

#: Seconds until a call that does not wait for changes fails.
CALL_TIMEOUT_S = 1.2
#: Seconds for which an answer that has begun by then may go on.
ANSWER_S = 5.0
MS_PER_S = 1000
#: Rows of one answer.
PAGE_ROWS = 500
#: What follows a key directly in the order of keys.
NEXT_KEY = '\x00'


class _RowModel(BaseModel):
    model_config = ConfigDict(frozen=True, populate_by_name=True)

    table: str = ''
    key: str
    content: str = Field(default='', alias='value')
    version: Annotated[int, Field(ge=0)] = Field(alias='rowVersion')
    removed: bool = False

    def decoded(self) -> bytes | None:
        """Return the content of the row, nothing if it was removed."""
        return None if self.removed else base64.b64decode(self.content, validate=True)


class _PageModel(BaseModel):
    model_config = ConfigDict(frozen=True)

    rows: tuple[_RowModel, ...] = ()
    more: bool = Field(default=False, alias='hasMore')
    version: Annotated[int, Field(ge=0)] = Field(alias='rowVersion')

    def table_rows(self) -> tuple[TableRow, ...]:
        """Return the rows as a feed takes them."""
        return tuple(TableRow(row.key, row.decoded(), row.version) for row in self.rows)


class _CommittedModel(BaseModel):
    model_config = ConfigDict(frozen=True)

    version: Annotated[int, Field(ge=0)] = Field(default=ABSENT, alias='rowVersion')


@dataclass(frozen=True, slots=True)
class PlatformTableStore:
    """Reads and writes rows, and follows the changes of tables."""

    caller: HttpCaller
    url: str

    async def read_all(self, table: str) -> Reply:
        """Read all rows of a table.

        :param table: its name.
        :return: the rows, or why there is no answer.
        """
        rows: list[TableRow] = []
        versions: list[int] = []
        after = ''
        more = True
        while more:
            page = await self._page(names.READ_ROWS_PATH, _range_query(table, after))
            if not isinstance(page, _PageModel):
                return page
            rows.extend(page.table_rows())
            versions.append(page.version)
            more = page.more and bool(page.rows)
            following = f'{page.rows[-1].key}{NEXT_KEY}' if page.rows else ''
            if more and following == after:
                return CallFailure('pages that do not go on')
            after = following
        return TableSnapshot(tuple(rows), min(versions))

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        """Wait for changes of a table.

        :param table: its name.
        :param since: the version of the store after which they came.
        :param wait_s: how long to wait for the first one.
        :return: the rows, or why there is no answer.
        """
        query = {'table': table, 'sinceRev': since, 'waitTimeoutMs': int(wait_s * MS_PER_S)}
        page = await self._page(names.READ_CHANGES_PATH, query, wait_s)
        if isinstance(page, _PageModel):
            return TableChanges(page.table_rows(), page.version)
        return page

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or nothing if it does not exist.

        :param table: its table.
        :param key: its key.
        :return: the row.
        :raises PlatformError: ``store_unavailable``.
        """
        rows = await self.scan(table, key, '', 1)
        return rows[0] if rows and rows[0].key == key else None

    async def scan(self, table: str, prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        """Return rows in the order of their keys.

        :param table: their table.
        :param prefix: what their keys start with.
        :param after: the key after which to start.
        :param limit: how many at most.
        :return: the rows.
        :raises PlatformError: ``store_unavailable``.
        """
        start = max(prefix, f'{after}{NEXT_KEY}') if after else prefix
        page = await self._page(names.READ_ROWS_PATH, _range_query(table, start, limit))
        if not isinstance(page, _PageModel):
            raise PlatformError(Code.store_unavailable, str(page))
        return tuple(
            Row(table, row.key, row.decoded() or b'', row.version)
            for row in page.rows
            if row.key.startswith(prefix)
        )

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> Committed | Conflicted:
        """Apply all writes if all conditions hold, else nothing.

        :param conditions: versions that rows must have.
        :param writes: what to write.
        :return: the outcome.
        :raises PlatformError: ``store_unavailable`` or ``store_busy`` if nothing happened,
            ``store_outcome_unknown`` if the answer was lost.
        """
        body = json.dumps(_transaction(conditions, writes)).encode()
        url = f'{self.url}{names.COMMIT_PATH}'
        call = Call('POST', url, body, CALL_TIMEOUT_S, repeatable=False, headers=_JSON)
        try:
            answer = await self.caller.call(call)
        except CallFailed as error:
            code = Code.store_outcome_unknown if error.sent else Code.store_unavailable
            raise PlatformError(code, str(error)) from error
        return _outcome(answer, len(writes))

    async def _page(
        self,
        path: str,
        query: dict[str, Any],
        wait_s: float = 0,
    ) -> _PageModel | HistoryUnavailable | CallFailure:
        url = f'{self.url}{path}?{urlencode(query)}'
        try:
            call = Call('GET', url, None, wait_s + CALL_TIMEOUT_S, longer_s=ANSWER_S)
            answer = await self.caller.call(call)
        except CallFailed as error:
            return CallFailure(str(error))
        if answer.status == HTTPStatus.GONE:
            return HistoryUnavailable()
        if answer.status != HTTPStatus.OK:
            return CallFailure(f'status {answer.status}')
        try:
            page = _PageModel.model_validate_json(answer.body)
            page.table_rows()
        except ValueError as error:
            return CallFailure(f'an answer that cannot be read: {type(error).__name__}')
        return page


_JSON = (('Content-Type', 'application/json'),)


def _range_query(table: str, start: str, limit: int = PAGE_ROWS) -> dict[str, Any]:
    query: dict[str, Any] = {'table': table, 'part': '', 'maxItems': limit}
    return {**query, 'from': start} if start else query


def _transaction(conditions: tuple[Condition, ...], writes: tuple[Write, ...]) -> dict[str, Any]:
    return {
        'precondition': [
            {**_name(condition.table, condition.key), 'rowVersion': condition.version}
            for condition in conditions
        ],
        'setKeys': [
            {
                **_name(write.table, write.key),
                'value': base64.b64encode(write.content).decode('ascii'),
            }
            for write in writes
            if write.content is not None
        ],
        'remove': [_name(write.table, write.key) for write in writes if write.content is None],
    }


def _name(table: str, key: str) -> dict[str, Any]:
    return {'table': table, 'part': '', 'key': key}


def _outcome(answer: Answer, writes: int) -> Committed | Conflicted:
    try:
        return _known_outcome(answer, writes)
    except ValueError as error:
        detail = f'an answer that cannot be read: {type(error).__name__}'
        raise PlatformError(Code.store_outcome_unknown, detail) from error


def _known_outcome(answer: Answer, writes: int) -> Committed | Conflicted:
    match answer.status:
        case HTTPStatus.OK:
            version = _CommittedModel.model_validate_json(answer.body).version
            return Committed((version,) * writes)
        case HTTPStatus.PRECONDITION_FAILED:
            page = _PageModel.model_validate_json(answer.body)
            return Conflicted(
                tuple(
                    Row(row.table, row.key, row.decoded() or b'', row.version) for row in page.rows
                )
            )
        case HTTPStatus.SERVICE_UNAVAILABLE:
            raise PlatformError(Code.store_unavailable, 'the store is unavailable')
        case HTTPStatus.TOO_MANY_REQUESTS:
            raise PlatformError(Code.store_busy, 'the store takes no more calls now')
        case status:
            raise PlatformError(Code.store_outcome_unknown, f'status {status}')


__all__ = ('PlatformTableStore',)
