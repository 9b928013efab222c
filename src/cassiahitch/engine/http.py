"""HTTP client of an engine; a response is a stream of JSON lines with an explicit end."""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from dataclasses import asdict, dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from cassiahitch.codes import Code
from cassiahitch.engine.api import CacheEvent, EngineState, GenerateRequest, LoadRequest
from cassiahitch.errors import PlatformError
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient, HttpResponse

HTTP_OK = 200
HTTP_CONFLICT = 409
#: Maximum time for which an engine may run a request, in seconds.
GENERATE_TIMEOUT_S = 600
#: Maximum time for which an engine may load weights, in seconds.
LOAD_TIMEOUT_S = 600
#: Maximum size of a line of a response, in bytes.
MAX_LINE_BYTES = 1024 * 1024


class PartModel(BaseModel):
    """A line of a response: a part of the text, or the end with the total length in bytes."""

    model_config = ConfigDict(extra='forbid')

    text: str | None = None
    length: Annotated[int, Field(ge=0)] | None = None


_STATE = TypeAdapter(EngineState)
_CACHE_EVENTS = TypeAdapter(tuple[CacheEvent, ...])


@dataclass(frozen=True, slots=True)
class HttpEngine:
    """Client of an engine."""

    client: HttpClient
    url: str
    timeout_s: float = 3

    async def state(self) -> EngineState:
        """Return the loaded weights and the load of the engine.

        :return: the state; the load may be out of date.
        :raises PlatformError: ``engine_unavailable`` or ``engine_answer_corrupt``.
        """
        response = await self._call(
            HttpCall('GET', f'{self.url}/v1/state', timeout_s=self.timeout_s)
        )
        return _parse_state(response)

    async def load(self, request: LoadRequest) -> EngineState:
        """Load weights.

        :param request: the weights and the fencing number.
        :return: the state after the load.
        :raises PlatformError: ``load_refused``, ``engine_unavailable`` or
            ``engine_answer_corrupt``.
        """
        body = json.dumps(asdict(request)).encode()
        call = HttpCall('POST', f'{self.url}/v1/load', body, LOAD_TIMEOUT_S, repeatable=False)
        return _parse_state(await self._call(call))

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[bytes, None]:
        """Run a request.

        :param request: the request.
        :yield: parts of the response, UTF-8 text.
        :raises PlatformError: ``engine_unavailable`` if the engine did not accept the request,
            ``answer_cut_short`` or ``engine_answer_corrupt`` if it did.
        """
        body = json.dumps(
            {**asdict(request), 'body': request.body.decode(errors='replace')}
        ).encode()
        call = HttpCall(
            'POST', f'{self.url}/v1/generate', body, GENERATE_TIMEOUT_S, repeatable=False
        )
        length = request.resume_from
        async with aclosing(self.client.stream(call)) as chunks:
            async for part in _read_parts(chunks):
                if part.text is None:
                    _check_length(part, length)
                    return
                text = part.text.encode()
                length += len(text)
                yield text
        raise PlatformError(
            Code.answer_cut_short, 'the stream of the engine closed before the end line'
        )

    async def cancel(self, request_id: str) -> None:
        """Cancel a running request.

        :param request_id: hexadecimal request id.
        :raises PlatformError: ``engine_unavailable``.
        """
        await self._call(HttpCall('POST', f'{self.url}/v1/cancel/{request_id}', b''))

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number.

        :param after: the last sequence number that was received.
        :return: the events; they may arrive late and have gaps.
        :raises PlatformError: ``engine_unavailable`` or ``engine_event_corrupt``.
        """
        response = await self._call(HttpCall('GET', f'{self.url}/v1/cache-events?after={after}'))
        try:
            return _CACHE_EVENTS.validate_json(response.body)
        except ValidationError as error:
            detail = f'{error.error_count()} invalid values in the cache events'
            raise PlatformError(Code.engine_event_corrupt, detail) from error

    async def _call(self, call: HttpCall) -> HttpResponse:
        try:
            response = await self.client.call(call)
        except HttpCallError as error:
            raise PlatformError(Code.engine_unavailable, str(error)) from error
        if response.status == HTTP_CONFLICT:
            raise PlatformError(
                Code.load_refused, 'the engine refused the fencing number as outdated'
            )
        if response.status != HTTP_OK:
            raise PlatformError(
                Code.engine_unavailable, f'the engine responded with status {response.status}'
            )
        return response


def _parse_state(response: HttpResponse) -> EngineState:
    try:
        return _STATE.validate_json(response.body)
    except ValidationError as error:
        detail = f'{error.error_count()} invalid values in the state of the engine'
        raise PlatformError(Code.engine_answer_corrupt, detail) from error


def _parse_part(line: bytes) -> PartModel:
    try:
        part = PartModel.model_validate_json(line)
    except ValidationError as error:
        raise PlatformError(
            Code.engine_answer_corrupt, 'a line of the stream is neither a part nor the end'
        ) from error
    if (part.text is None) == (part.length is None):
        raise PlatformError(
            Code.engine_answer_corrupt,
            'a line of the stream has not exactly one of text and length',
        )
    return part


def _check_length(end: PartModel, length: int) -> None:
    if end.length != length:
        raise PlatformError(Code.answer_cut_short, f'received {length} bytes of {end.length}')


async def _read_parts(chunks: AsyncIterator[bytes]) -> AsyncGenerator[PartModel, None]:
    pending = b''
    try:
        async for chunk in chunks:
            *lines, pending = (pending + chunk).split(b'\n')
            for line in lines:
                yield _parse_part(line)
            if len(pending) > MAX_LINE_BYTES:
                raise PlatformError(Code.engine_answer_corrupt, 'a line of the stream is too long')
    except HttpCallError as error:
        code = Code.answer_cut_short if error.sent else Code.engine_unavailable
        raise PlatformError(code, str(error)) from error


__all__ = (
    'HttpEngine',
    'PartModel',
)
