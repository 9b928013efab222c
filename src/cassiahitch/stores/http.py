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

    client: HttpClient
    url: str
    timeout_s: float = 3

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist.

        :param table: table of the row.
        :param key: key of the row.
        :return: the row.
        :raises PlatformError: ``store_unavailable`` or ``store_row_corrupt``.
        """
        rows = await self._rows('read', {'table': table, 'key': key})
        return rows[0] if rows else None

    async def scan(self, table: str, prefix: str, after: str, limit: int) -> tuple[Row, ...]:
        """Return rows in the order of their keys.

        :param table: table of the rows.
        :param prefix: common prefix of the keys.
        :param after: only rows with greater keys are returned.
        :param limit: maximum number of rows.
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
        """Apply all writes if all conditions hold, else none of them.

        :param conditions: versions that rows must have.
        :param writes: rows to set or delete.
        :return: the outcome.
        :raises PlatformError: ``store_unavailable`` if nothing was written,
            ``store_outcome_unknown`` if the response was lost or is invalid.
        """
        transaction = TransactionModel(
            conditions=tuple(ConditionModel(**asdict(condition)) for condition in conditions),
            writes=tuple(WriteModel(**asdict(write)) for write in writes),
        )
        body = transaction.model_dump_json().encode()
        response = await self._commit(body)
        try:
            outcome = parse_response(OutcomeModel, response.body)
        except PlatformError as error:
            raise PlatformError(Code.store_outcome_unknown, error.detail) from error
        if outcome.versions is None:
            return CommitConflict(tuple(model.row() for model in outcome.conflicts))
        if len(outcome.versions) != len(writes):
            raise PlatformError(Code.store_outcome_unknown, 'the number of versions is wrong')
        return CommitSuccess(outcome.versions)

    async def _commit(self, body: bytes) -> HttpResponse:
        call = HttpCall('POST', f'{self.url}/v1/commit', body, self.timeout_s, repeatable=False)
        try:
            response = await self.client.call(call)
        except HttpCallError as error:
            code = Code.store_outcome_unknown if error.sent else Code.store_unavailable
            raise PlatformError(code, str(error)) from error
        if response.status == HTTP_OK:
            return response
        # Only status 503 guarantees that the transaction was not started.
        was_refused = response.status == HTTP_UNAVAILABLE
        code = Code.store_unavailable if was_refused else Code.store_outcome_unknown
        raise PlatformError(code, f'the table service responded with status {response.status}')

    async def _rows(self, operation: str, query: dict[str, str | int]) -> tuple[Row, ...]:
        body = json.dumps(query).encode()
        call = HttpCall('POST', f'{self.url}/v1/{operation}', body, self.timeout_s)
        response = await _call(self.client, call, Code.store_unavailable)
        return tuple(model.row() for model in parse_response(RowsModel, response.body).rows)


@dataclass(frozen=True, slots=True)
class HttpObjectStore:
    """Client of the object store."""

    client: HttpClient
    url: str
    timeout_s: float = 5

    async def get(self, key: str) -> bytes:
        """Return an object.

        :param key: key of the object.
        :return: content of the object.
        :raises PlatformError: ``object_missing`` or ``store_unavailable``.
        """
        call = HttpCall('GET', f'{self.url}/v1/objects/{quote(key)}', timeout_s=self.timeout_s)
        return (await _call(self.client, call, Code.store_unavailable)).body

    async def put(self, key: str, content: bytes) -> None:
        """Store an object.

        :param key: key of the object.
        :param content: content of the object.
        :raises PlatformError: ``store_unavailable``.
        """
        url = f'{self.url}/v1/objects/{quote(key)}'
        call = HttpCall('PUT', url, content, self.timeout_s)
        await _call(self.client, call, Code.store_unavailable)


@dataclass(frozen=True, slots=True)
class HttpWeightOrigin:
    """Client of the weight origin."""

    client: HttpClient
    url: str
    timeout_s: float = 30

    async def manifest(self, origin: str) -> bytes:
        """Return the manifest that is published under an origin path.

        :param origin: the path.
        :return: the manifest as JSON text; the caller has to verify it.
        :raises PlatformError: ``object_missing`` or ``origin_unavailable``.
        """
        return await self._get(f'{quote(origin)}/manifest')

    async def chunk(self, origin: str, index: int) -> bytes:
        """Return a chunk of the weights under an origin path.

        :param origin: the path.
        :param index: position in the manifest, from 0.
        :return: content of the chunk; the caller has to verify it.
        :raises PlatformError: ``object_missing`` or ``origin_unavailable``.
        """
        return await self._get(f'{quote(origin)}/chunks/{index}')

    async def _get(self, path: str) -> bytes:
        call = HttpCall('GET', f'{self.url}/v1/weights/{path}', timeout_s=self.timeout_s)
        return (await _call(self.client, call, Code.origin_unavailable)).body


_HOST_RECORDS = TypeAdapter(tuple[HostRecord, ...])


@dataclass(frozen=True, slots=True)
class HttpHostList:
    """Client of the host list."""

    client: HttpClient
    url: str
    timeout_s: float = 3

    async def hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts that are listed now.

        :return: the hosts; the list may be out of date.
        :raises PlatformError: ``host_list_corrupt`` or ``store_unavailable``.
        """
        call = HttpCall('GET', f'{self.url}/v1/hosts', timeout_s=self.timeout_s)
        response = await _call(self.client, call, Code.store_unavailable)
        try:
            return _HOST_RECORDS.validate_json(response.body)
        except ValidationError as error:
            detail = f'{error.error_count()} invalid values in the host list'
            raise PlatformError(Code.host_list_corrupt, detail) from error


async def _call(client: HttpClient, call: HttpCall, unavailable: Code) -> HttpResponse:
    try:
        response = await client.call(call)
    except HttpCallError as error:
        raise PlatformError(unavailable, str(error)) from error
    if response.status == HTTP_NOT_FOUND:
        raise PlatformError(Code.object_missing, f'there is no object at {call.url}')
    if response.status != HTTP_OK:
        raise PlatformError(unavailable, f'the server responded with status {response.status}')
    return response


__all__ = (
    'HttpHostList',
    'HttpObjectStore',
    'HttpWeightOrigin',
    'HttpTableService',
)
