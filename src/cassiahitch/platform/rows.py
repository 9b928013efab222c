"""Client of the platform's table store."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Annotated, Any
from urllib.parse import urlencode

from pydantic import BaseModel, ConfigDict, Field

from cassiahitch.codes import Code
from cassiahitch.direct.api import header
from cassiahitch.direct.state.eras import StoreEra
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
from cassiahitch.stores.api import (
    ABSENT_VERSION,
    NO_ERA,
    CommitConflict,
    CommitSuccess,
    Condition,
    Row,
    Write,
)
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient
from cassiahitch.stores.http_client import HttpResponse as HttpResponse
from cassiahitch.wire.structs import MAX_INT64

#: Timeout of a call beyond the time for which the store waits for changes, in seconds.
CALL_TIMEOUT_S = 1.2
#: Further time for a response that has begun before the timeout, in seconds.
RESPONSE_EXTENSION_S = 5.0
MS_PER_S = 1000
#: Largest number of rows of one page.
PAGE_ROWS = 500
#: Suffix that turns a key into its direct successor in the order of keys.
SUCCESSOR_SUFFIX = '\x00'
#: Largest number of digits of an era, so that it fits into 64 bits.
MAX_ERA_DIGITS = 18
#: Stands for the content of an invalid row; no decoder of rows accepts it.
UNREADABLE_CONTENT = b''


class _RowModel(BaseModel):
    model_config = ConfigDict(frozen=True, populate_by_name=True)

    table: str = ''
    key: str
    content: str = Field(default='', alias='value')
    version: Annotated[int, Field(ge=0)] = Field(alias='rowVersion')
    removed: bool = False

    def decoded(self) -> bytes | None:
        """Return the content of the row, ``None`` if it was removed."""
        return None if self.removed else base64.b64decode(self.content, validate=True)


class _PageModel(BaseModel):
    model_config = ConfigDict(frozen=True)

    rows: tuple[Any, ...] = ()
    more: bool = Field(default=False, alias='hasMore')
    version: Annotated[int, Field(ge=0, le=MAX_INT64)] = Field(alias='rowVersion')

    def table_rows(self) -> tuple[TableRow, ...]:
        """Convert the rows to those of a table feed; one that is invalid affects no other row."""
        return tuple(_table_row(document, self.version) for document in self.rows)


class _ConflictModel(BaseModel):
    model_config = ConfigDict(frozen=True)

    rows: tuple[_RowModel, ...] = ()


class _CommittedModel(BaseModel):
    model_config = ConfigDict(frozen=True)

    version: Annotated[int, Field(ge=0)] = Field(default=ABSENT_VERSION, alias='rowVersion')


@dataclass(frozen=True, slots=True)
class PlatformTableStore:
    """Reads and writes rows, and polls tables for changes.

    ``era`` is the latest era of the store that one of its responses has named.
    """

    caller: HttpClient
    url: str
    era: StoreEra = field(default_factory=StoreEra)

    async def read_all(self, table: str) -> Reply:
        """Read all rows of a table.

        :param table: name of the table.
        :return: a snapshot of the rows, or why the call failed.
        """
        rows: list[TableRow] = []
        versions: list[int] = []
        eras: set[int] = set()
        start = ''
        more = True
        while more:
            page, era = await self._read_page(names.READ_ROWS_PATH, _range_query(table, start))
            if not isinstance(page, _PageModel):
                return page
            eras.add(era)
            page_rows = page.table_rows()
            rows.extend(page_rows)
            versions.append(page.version)
            more = page.more and bool(page_rows)
            last_key = max((row.key for row in page_rows), default='')
            next_start = f'{last_key}{SUCCESSOR_SUFFIX}'
            if more and next_start == start:
                return CallFailure('the store returned the same page twice')
            start = next_start
        if len(eras) > 1:
            return CallFailure('the store was restored between two pages', max(eras))
        return TableSnapshot(tuple(rows), min(versions), max(eras))

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        """Wait for changes of a table with a long poll.

        :param table: name of the table.
        :param since: version of the store after which the changes were made.
        :param wait_s: longest time to wait for the first change, in seconds.
        :return: the changed rows, or why the call failed.
        """
        query = {'table': table, 'sinceRev': since, 'waitTimeoutMs': int(wait_s * MS_PER_S)}
        page, era = await self._read_page(names.READ_CHANGES_PATH, query, wait_s)
        if isinstance(page, _PageModel):
            return TableChanges(page.table_rows(), page.version, era=era)
        return page

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row.

        :param table: name of the table.
        :param key: key of the row.
        :return: the row, ``None`` if it does not exist.
        :raises PlatformError: ``store_unavailable``.
        """
        rows = await self.scan(table, key, '', 1)
        return rows[0] if rows and rows[0].key == key else None

    async def scan(self, table: str, prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        """Return rows in the order of their keys.

        :param table: name of the table.
        :param prefix: prefix of the keys.
        :param after: key after which to start, empty to start at the first key.
        :param limit: largest number of rows.
        :return: the rows.
        :raises PlatformError: ``store_unavailable``.
        """
        start = max(prefix, f'{after}{SUCCESSOR_SUFFIX}') if after else prefix
        page, era = await self._read_page(names.READ_ROWS_PATH, _range_query(table, start, limit))
        if not isinstance(page, _PageModel):
            raise PlatformError(Code.store_unavailable, str(page))
        if NO_ERA < era < self.era.latest:
            raise PlatformError(Code.store_unavailable, 'the response is of an older era')
        return tuple(
            Row(table, row.key, row.content or b'', row.version, era)
            for row in page.table_rows()
            if row.key.startswith(prefix)
        )

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> CommitSuccess | CommitConflict:
        """Apply all writes in one transaction if all conditions hold, else none.

        Conditions of an older era count as violated and are not sent, since the store may have
        reused their versions for other contents.

        :param conditions: versions that rows must have.
        :param writes: rows to set or to remove.
        :return: the versions after the transaction, or the rows that violate a condition.
        :raises PlatformError: ``store_unavailable`` or ``store_busy`` if nothing was written,
            ``store_outcome_unknown`` if the response was lost or is invalid, or if the store was
            restored after the conditions were read.
        """
        known_era = self.era.latest
        if any(NO_ERA < condition.era < known_era for condition in conditions):
            return CommitConflict(())
        body = json.dumps(_transaction_document(conditions, writes)).encode()
        url = f'{self.url}{names.COMMIT_PATH}'
        call = HttpCall('POST', url, body, CALL_TIMEOUT_S, repeatable=False, headers=_JSON_HEADERS)
        try:
            response = await self.caller.call(call)
        except HttpCallError as error:
            code = Code.store_outcome_unknown if error.sent else Code.store_unavailable
            raise PlatformError(code, str(error)) from error
        era = self._observe_era(response)
        if any(NO_ERA < condition.era < era for condition in conditions):
            detail = 'the store was restored after the conditions were read'
            raise PlatformError(Code.store_outcome_unknown, detail)
        return _decode_outcome(response, len(writes), era)

    async def _read_page(
        self,
        path: str,
        query: dict[str, Any],
        wait_s: float = 0,
    ) -> tuple[_PageModel | HistoryUnavailable | CallFailure, int]:
        url = f'{self.url}{path}?{urlencode(query)}'
        try:
            call = HttpCall(
                'GET', url, None, wait_s + CALL_TIMEOUT_S, transfer_extension_s=RESPONSE_EXTENSION_S
            )
            response = await self.caller.call(call)
        except HttpCallError as error:
            return CallFailure(str(error)), NO_ERA
        era = self._observe_era(response)
        return _decode_page(response, era), era

    def _observe_era(self, response: HttpResponse) -> int:
        era = _response_era(response)
        self.era.observe(era)
        return era


def _response_era(response: HttpResponse) -> int:
    text = header(response.headers, names.STORE_ERA).strip()
    # A header that is not a number counts as absent.
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number else NO_ERA


def _decode_page(response: HttpResponse, era: int) -> _PageModel | HistoryUnavailable | CallFailure:
    if response.status == HTTPStatus.GONE:
        return HistoryUnavailable(era)
    if response.status != HTTPStatus.OK:
        return CallFailure(f'the store responded with status {response.status}', era)
    try:
        return _PageModel.model_validate_json(response.body)
    except ValueError as error:
        detail = f'the response of the store is invalid: {type(error).__name__}'
        return CallFailure(detail, era)


def _table_row(document: Any, page_version: int) -> TableRow:
    try:
        row = _RowModel.model_validate(document)
        # No row is newer than the page; the version of a row decides which of two is current.
        return TableRow(row.key, row.decoded(), min(row.version, page_version))
    except ValueError:
        key = document.get('key') if isinstance(document, dict) else None
        return TableRow(key if isinstance(key, str) else '', UNREADABLE_CONTENT, page_version)


_JSON_HEADERS = (('Content-Type', 'application/json'),)


def _range_query(table: str, start: str, limit: int = PAGE_ROWS) -> dict[str, Any]:
    query: dict[str, Any] = {'table': table, 'part': '', 'maxItems': limit}
    return {**query, 'from': start} if start else query


def _transaction_document(
    conditions: tuple[Condition, ...], writes: tuple[Write, ...]
) -> dict[str, Any]:
    return {
        'precondition': [
            {**_row_name(condition.table, condition.key), 'rowVersion': condition.version}
            for condition in conditions
        ],
        'setKeys': [
            {
                **_row_name(write.table, write.key),
                'value': base64.b64encode(write.content).decode('ascii'),
            }
            for write in writes
            if write.content is not None
        ],
        'remove': [_row_name(write.table, write.key) for write in writes if write.content is None],
    }


def _row_name(table: str, key: str) -> dict[str, Any]:
    return {'table': table, 'part': '', 'key': key}


def _decode_outcome(
    response: HttpResponse, writes: int, era: int
) -> CommitSuccess | CommitConflict:
    try:
        return _parse_outcome(response, writes, era)
    except ValueError as error:
        detail = f'the response of the store is invalid: {type(error).__name__}'
        raise PlatformError(Code.store_outcome_unknown, detail) from error


def _parse_outcome(response: HttpResponse, writes: int, era: int) -> CommitSuccess | CommitConflict:
    match response.status:
        case HTTPStatus.OK:
            version = _CommittedModel.model_validate_json(response.body).version
            return CommitSuccess((version,) * writes, era)
        case HTTPStatus.PRECONDITION_FAILED:
            conflict = _ConflictModel.model_validate_json(response.body)
            return CommitConflict(
                tuple(
                    Row(row.table, row.key, row.decoded() or b'', row.version, era)
                    for row in conflict.rows
                )
            )
        case HTTPStatus.SERVICE_UNAVAILABLE:
            raise PlatformError(Code.store_unavailable, 'the store is unavailable')
        case HTTPStatus.TOO_MANY_REQUESTS:
            raise PlatformError(Code.store_busy, 'the store refuses further calls for now')
        case status:
            raise PlatformError(
                Code.store_outcome_unknown, f'the store responded with status {status}'
            )


__all__ = ('PlatformTableStore',)
