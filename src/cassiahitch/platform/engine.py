"""Client of the model engine of the own host and of the origin of weights."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from cassiahitch.codes import Code
from cassiahitch.direct.staging.enginestate import EngineReport, LoadOutcome
from cassiahitch.errors import PlatformError
from cassiahitch.platform import names
from cassiahitch.platform.documents import decode_manifest, decode_report
from cassiahitch.platform.requests import read_server_leaving
from cassiahitch.stores.caller import Call, CallFailed, HttpCaller, Reply

#: Seconds until a call to the engine of the own host fails.
ENGINE_TIMEOUT_S = 1.0
#: Seconds until a call to the origin fails.
ORIGIN_TIMEOUT_S = 4.0


@dataclass(frozen=True, slots=True)
class PlatformEngine:
    """Calls the engine of the own host."""

    caller: HttpCaller
    url: str

    async def report(self) -> EngineReport:
        """Return the engine's state.

        :return: the report.
        :raises PlatformError: ``engine_unavailable`` or ``engine_answer_corrupt``.
        """
        reply = await self._call('GET', names.REPORT_PATH)
        _require(reply, Code.engine_unavailable)
        stopping = bool(read_server_leaving(reply.headers))
        return replace(decode_report(reply.body), stopping=stopping)

    async def stage(self, model: str, index: int, content: bytes) -> None:
        """Store a chunk at the engine.

        :param model: the model.
        :param index: the position of the chunk.
        :param content: the chunk.
        :raises PlatformError: ``engine_unavailable``.
        """
        path = _chunk_path(names.STORE_CHUNK_PATH, model, index)
        reply = await self._call('PUT', path, content)
        if reply.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise PlatformError(Code.engine_unavailable, f'staging: status {reply.status}')

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a stored chunk, unverified.

        :param model: the model.
        :param index: the position of the chunk.
        :return: its bytes, or nothing if there is none.
        :raises PlatformError: ``engine_unavailable``.
        """
        reply = await self._call('GET', _chunk_path(names.READ_CHUNK_PATH, model, index))
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        _require(reply, Code.engine_unavailable)
        return reply.body

    async def load(self, model: str, version: int, load_orders: int) -> LoadOutcome:
        """Order to load what is staged.

        :param model: the model.
        :param version: the version.
        :param load_orders: how many orders the engine must have begun so far.
        :return: what became of the order.
        """
        order: dict[str, Any] = {
            'operation': 'start',
            'model': model,
            'version': version,
            'loadMode': 'wait',
            'precondition': load_orders,
        }
        try:
            reply = await self._call('POST', names.ORDER_PATH, json.dumps(order).encode())
        except PlatformError:
            # The report of the engine settles what became of it.
            return LoadOutcome.unknown
        match reply.status:
            case HTTPStatus.ACCEPTED:
                return LoadOutcome.begun
            case HTTPStatus.OK:
                return LoadOutcome.in_effect
            case _:
                return LoadOutcome.refused

    async def _call(self, method: str, path: str, body: bytes | None = None) -> Reply:
        headers = (('Content-Type', 'application/json'),) if method == 'POST' else ()
        repeatable = method != 'POST'
        call = Call(method, f'{self.url}{path}', body, ENGINE_TIMEOUT_S, repeatable, headers)
        return await _call(self.caller, call, Code.engine_unavailable)


@dataclass(frozen=True, slots=True)
class PlatformOrigin:
    """Calls the origin of weights."""

    caller: HttpCaller

    async def manifest(self, url: str, model: str, version: int) -> tuple[int, tuple[str, ...]]:
        """Return the digests of the chunks of a version.

        :param url: the origin.
        :param model: the model.
        :param version: the version.
        :return: the version and the digests.
        :raises PlatformError: ``origin_unavailable``, ``object_missing`` or ``manifest_corrupt``.
        """
        query = urlencode({'version': version})
        reply = await self._get(f'{url}{names.MANIFEST_PATH}/{quote(model)}?{query}')
        return decode_manifest(reply.body)

    async def chunk(self, url: str, model: str, version: int, index: int) -> bytes:
        """Return a chunk, unverified.

        :param url: the origin.
        :param model: the model.
        :param version: the version.
        :param index: the position of the chunk.
        :return: its bytes.
        :raises PlatformError: ``origin_unavailable`` or ``object_missing``.
        """
        query = urlencode({names.CHUNK_INDEX: index, 'version': version})
        return (await self._get(f'{url}{names.ORIGIN_CHUNK_PATH}/{quote(model)}?{query}')).body

    async def _get(self, url: str) -> Reply:
        call = Call('GET', url, None, ORIGIN_TIMEOUT_S)
        reply = await _call(self.caller, call, Code.origin_unavailable)
        if reply.status == HTTPStatus.GONE:
            raise PlatformError(Code.object_missing, 'the origin no longer has this version')
        _require(reply, Code.origin_unavailable)
        return reply


def _chunk_path(path: str, model: str, index: int) -> str:
    return f'{path}/{quote(model)}?{urlencode({names.CHUNK_INDEX: index})}'


async def _call(caller: HttpCaller, call: Call, code: Code) -> Reply:
    try:
        return await caller.call(call)
    except CallFailed as error:
        raise PlatformError(code, str(error)) from error


def _require(reply: Reply, code: Code) -> None:
    if reply.status != HTTPStatus.OK:
        raise PlatformError(code, f'status {reply.status}')


__all__ = (
    'PlatformEngine',
    'PlatformOrigin',
)
