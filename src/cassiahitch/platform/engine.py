"""Clients of the model engine on this host and of the origin of weights."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from cassiahitch.codes import Code
from cassiahitch.direct.staging.enginestate import EngineReport, LoadOutcome
from cassiahitch.direct.staging.layout import ManifestDocument
from cassiahitch.direct.state.layers import LayerRange
from cassiahitch.errors import PlatformError
from cassiahitch.platform import names
from cassiahitch.platform.documents import decode_manifest, decode_report
from cassiahitch.platform.requests import read_cold_s, read_server_leaving, read_server_limit
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient, HttpResponse

#: Timeout of a call to the engine on this host, in seconds.
ENGINE_TIMEOUT_S = 1.0
#: Timeout of a call to the origin, in seconds.
ORIGIN_TIMEOUT_S = 4.0


@dataclass(frozen=True, slots=True)
class PlatformEngine:
    """Client of the engine on this host at the base address ``url``."""

    caller: HttpClient
    url: str

    async def report(self) -> EngineReport:
        """Return the state of the engine.

        :return: the report.
        :raises PlatformError: ``engine_unavailable`` or ``engine_answer_corrupt``.
        """
        response = await self._call('GET', names.REPORT_PATH)
        _require_ok(response, Code.engine_unavailable)
        stopping = bool(read_server_leaving(response.headers))
        limit_per_s = read_server_limit(response.headers)
        return replace(
            decode_report(response.body),
            stopping=stopping,
            limit_per_s=limit_per_s,
            cold_s=read_cold_s(response.headers) or 0,
        )

    async def stage(self, model: str, index: int, content: bytes) -> None:
        """Upload a chunk of weights to the engine.

        :param model: name of the model.
        :param index: position of the chunk in the manifest.
        :param content: bytes of the chunk.
        :raises PlatformError: ``engine_unavailable``.
        """
        path = _chunk_path(names.STORE_CHUNK_PATH, model, index)
        response = await self._call('PUT', path, content)
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise PlatformError(
                Code.engine_unavailable, f'staging a chunk failed with status {response.status}'
            )

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk without verifying it.

        :param model: name of the model.
        :param index: position of the chunk in the manifest.
        :return: its bytes, or ``None`` if the chunk is not staged.
        :raises PlatformError: ``engine_unavailable``.
        """
        response = await self._call('GET', _chunk_path(names.READ_CHUNK_PATH, model, index))
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        _require_ok(response, Code.engine_unavailable)
        return response.body

    async def load(
        self, model: str, version: int, load_orders: int, layers: LayerRange | None = None
    ) -> LoadOutcome:
        """Order the engine to load the staged version.

        :param model: name of the model.
        :param version: version of the weights.
        :param load_orders: number of load orders that the engine must have started so far; the
            engine refuses the order otherwise.
        :param layers: the layers to have, None for all.
        :return: the result of the order.
        """
        order: dict[str, Any] = {
            'operation': 'start',
            'model': model,
            'version': version,
            'loadMode': 'wait',
            'precondition': load_orders,
        }
        if layers is not None:
            order |= {'from': layers.first, 'to': layers.end}
        try:
            response = await self._call('POST', names.ORDER_PATH, json.dumps(order).encode())
        except PlatformError:
            # The next report of the engine shows whether it has started the order.
            return LoadOutcome.unknown
        match response.status:
            case HTTPStatus.ACCEPTED:
                return LoadOutcome.begun
            case HTTPStatus.OK:
                return LoadOutcome.in_effect
            case _:
                return LoadOutcome.refused

    async def _call(self, method: str, path: str, body: bytes | None = None) -> HttpResponse:
        headers = (('Content-Type', 'application/json'),) if method == 'POST' else ()
        repeatable = method != 'POST'
        call = HttpCall(method, f'{self.url}{path}', body, ENGINE_TIMEOUT_S, repeatable, headers)
        return await _call(self.caller, call, Code.engine_unavailable)


@dataclass(frozen=True, slots=True)
class PlatformOrigin:
    """Client of the origin of weights."""

    caller: HttpClient

    async def manifest(self, url: str, model: str, version: int) -> ManifestDocument:
        """Return the manifest of a version without checking it.

        :param url: base address of the origin.
        :param model: name of the model.
        :param version: version of the weights.
        :return: what the origin sent.
        :raises PlatformError: ``origin_unavailable``, ``object_missing`` or ``manifest_corrupt``.
        """
        query = urlencode({'version': version})
        response = await self._get(f'{url}{names.MANIFEST_PATH}/{quote(model)}?{query}')
        return decode_manifest(response.body)

    async def chunk(self, url: str, model: str, version: int, index: int) -> bytes:
        """Return a chunk without verifying it.

        :param url: base address of the origin.
        :param model: name of the model.
        :param version: version of the weights.
        :param index: position of the chunk in the manifest.
        :return: its bytes.
        :raises PlatformError: ``origin_unavailable`` or ``object_missing``.
        """
        query = urlencode({names.CHUNK_INDEX: index, 'version': version})
        return (await self._get(f'{url}{names.ORIGIN_CHUNK_PATH}/{quote(model)}?{query}')).body

    async def _get(self, url: str) -> HttpResponse:
        call = HttpCall('GET', url, None, ORIGIN_TIMEOUT_S)
        response = await _call(self.caller, call, Code.origin_unavailable)
        if response.status == HTTPStatus.GONE:
            raise PlatformError(Code.object_missing, 'the origin no longer has this version')
        _require_ok(response, Code.origin_unavailable)
        return response


def _chunk_path(path: str, model: str, index: int) -> str:
    return f'{path}/{quote(model)}?{urlencode({names.CHUNK_INDEX: index})}'


async def _call(caller: HttpClient, call: HttpCall, code: Code) -> HttpResponse:
    try:
        return await caller.call(call)
    except HttpCallError as error:
        raise PlatformError(code, str(error)) from error


def _require_ok(response: HttpResponse, code: Code) -> None:
    if response.status != HTTPStatus.OK:
        raise PlatformError(code, f'the call failed with status {response.status}')


__all__ = (
    'PlatformEngine',
    'PlatformOrigin',
)
