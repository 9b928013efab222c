"""HTTP clients of the platform's services."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from urllib.parse import quote

from pydantic import TypeAdapter, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import PlatformError
from cassiahitch.stores.api import (
    CommitConflict,
    CommitSuccess,
    Condition,
    HostRecord,
    Row,
    Write,
)
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient, HttpResponse
from cassiahitch.stores.rows import (
    ConditionModel,
    OutcomeModel,
    RowsModel,
    TransactionModel,
    WriteModel,
    parse_response,
)

HTTP_NOT_FOUND = 404
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class HttpTableService:
    """Client of the table service."""

    caller: HttpClient
    url: str
    timeout_s: float = 3

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or nothing if it does not exist.

        :param table: its table.
        :param key: its key.
        :return: the row.
        :raises PlatformError: ``store_unavailable`` or ``store_row_corrupt``.
        """
        rows = await self._rows('read', {'table': table, 'key': key})
        return rows[0] if rows else None

    async def scan(self, table: str, prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        """Return rows in the order of their keys.

        :param table: their table.
        :param prefix: what their keys start with.
        :param after: the key after which to start.
        :param limit: how many at most.
        :return: the rows.
        :raises PlatformError: ``store_unavailable`` or ``store_row_corrupt``.
        """
        query: dict[str, str | int] = {
            'table': table,
            'prefix': prefix,
            'after': after,
            'limit': limit,
        }
        return await self._rows('scan', query)

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> CommitSuccess | CommitConflict:
        """Apply all writes if all conditions hold, else nothing.

        :param conditions: versions that rows must have.
        :param writes: what to write.
        :return: the outcome.
        :raises PlatformError: ``store_unavailable`` if nothing happened,
            ``store_outcome_unknown`` if the answer was lost.
        """
        transaction = TransactionModel(
            conditions=tuple(ConditionModel(**asdict(condition)) for condition in conditions),
            writes=tuple(WriteModel(**asdict(write)) for write in writes),
        )
        body = transaction.model_dump_json().encode()
        reply = await self._commit(body)
        try:
            outcome = parse_response(OutcomeModel, reply.body)
        except PlatformError as error:
            raise PlatformError(Code.store_outcome_unknown, error.detail) from error
        if outcome.versions is None:
            return CommitConflict(tuple(model.row() for model in outcome.conflicts))
        if len(outcome.versions) != len(writes):
            raise PlatformError(Code.store_outcome_unknown, 'an answer for other writes')
        return CommitSuccess(outcome.versions)

    async def _commit(self, body: bytes) -> HttpResponse:
        call = HttpCall('POST', f'{self.url}/v1/commit', body, self.timeout_s, repeatable=False)
        try:
            reply = await self.caller.call(call)
        except HttpCallError as error:
            code = Code.store_outcome_unknown if error.sent else Code.store_unavailable
            raise PlatformError(code, str(error)) from error
        if reply.status == HTTP_OK:
            return reply
        # Only 503 says that the transaction was not begun.
        refused = reply.status == HTTP_UNAVAILABLE
        code = Code.store_unavailable if refused else Code.store_outcome_unknown
        raise PlatformError(code, f'status {reply.status}')

    async def _rows(self, operation: str, query: dict[str, str | int]) -> tuple[Row, ...]:
        body = json.dumps(query).encode()
        call = HttpCall('POST', f'{self.url}/v1/{operation}', body, self.timeout_s)
        reply = await _call(self.caller, call, Code.store_unavailable)
        return tuple(model.row() for model in parse_response(RowsModel, reply.body).rows)


@dataclass(frozen=True, slots=True)
class HttpObjectStore:
    """Client of the object store."""

    caller: HttpClient
    url: str
    timeout_s: float = 5

    async def get(self, key: str) -> bytes:
        """Return an object.

        :param key: its key.
        :return: its content.
        :raises PlatformError: ``object_missing`` or ``store_unavailable``.
        """
        call = HttpCall('GET', f'{self.url}/v1/objects/{quote(key)}', timeout_s=self.timeout_s)
        return (await _call(self.caller, call, Code.store_unavailable)).body

    async def put(self, key: str, content: bytes) -> None:
        """Store an object.

        :param key: its key.
        :param content: its content.
        :raises PlatformError: ``store_unavailable``.
        """
        url = f'{self.url}/v1/objects/{quote(key)}'
        call = HttpCall('PUT', url, content, self.timeout_s)
        await _call(self.caller, call, Code.store_unavailable)


@dataclass(frozen=True, slots=True)
class HttpWeightOrigin:
    """Client of the origin of weights."""

    caller: HttpClient
    url: str
    timeout_s: float = 30

    async def manifest(self, origin: str) -> bytes:
        """Return the JSON manifest of an origin path.

        :param origin: the path.
        :return: JSON text, not yet verified.
        :raises PlatformError: ``object_missing`` or ``origin_unavailable``.
        """
        return await self._get(f'{quote(origin)}/manifest')

    async def chunk(self, origin: str, index: int) -> bytes:
        """Return a chunk of an origin path.

        :param origin: the path.
        :param index: position in the manifest, from 0.
        :return: the content, not yet verified.
        :raises PlatformError: ``object_missing`` or ``origin_unavailable``.
        """
        return await self._get(f'{quote(origin)}/chunks/{index}')

    async def _get(self, path: str) -> bytes:
        call = HttpCall('GET', f'{self.url}/v1/weights/{path}', timeout_s=self.timeout_s)
        return (await _call(self.caller, call, Code.origin_unavailable)).body


_HOST_RECORDS = TypeAdapter(tuple[HostRecord, ...])


@dataclass(frozen=True, slots=True)
class HttpHostList:
    """Client of the host list."""

    caller: HttpClient
    url: str
    timeout_s: float = 3

    async def hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts listed now.

        :return: the hosts; the list lags.
        :raises PlatformError: ``host_list_corrupt`` or ``store_unavailable``.
        """
        call = HttpCall('GET', f'{self.url}/v1/hosts', timeout_s=self.timeout_s)
        reply = await _call(self.caller, call, Code.store_unavailable)
        try:
            return _HOST_RECORDS.validate_json(reply.body)
        except ValidationError as error:
            detail = f'{error.error_count()} faults in the host list'
            raise PlatformError(Code.host_list_corrupt, detail) from error


async def _call(caller: HttpClient, call: HttpCall, unavailable: Code) -> HttpResponse:
    try:
        reply = await caller.call(call)
    except HttpCallError as error:
        raise PlatformError(unavailable, str(error)) from error
    if reply.status == HTTP_NOT_FOUND:
        raise PlatformError(Code.object_missing, f'nothing at {call.url}')
    if reply.status != HTTP_OK:
        raise PlatformError(unavailable, f'status {reply.status}')
    return reply


__all__ = (
    'HttpHostList',
    'HttpObjectStore',
    'HttpWeightOrigin',
    'HttpTableService',
)
