"""Client of the operators' API."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Self
from urllib.parse import quote
from uuid import uuid4

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from cassiahitch.cli.exit_codes import UnreachableError
from cassiahitch.cli.line_stream import NO_RESPONSE_STATUS, LineStream
from cassiahitch.cli.responses import (
    ListResponse,
    ResourceResponse,
    StatusResponse,
    parse_api_response,
    parse_error,
)
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.metrics.encoding import decode_snapshot
from cassiahitch.timeline.encoding import decode_events

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Mapping
    from types import TracebackType

    from pydantic import SecretStr

    from cassiahitch.metrics.snapshots import Snapshot
    from cassiahitch.resources.models import Resource
    from cassiahitch.timeline.events import Event

CONNECT_TIMEOUT_S = 3
REQUEST_TIMEOUT_S = 20
#: A watch that is silent for longer is opened again.
WATCH_IDLE_TIMEOUT_S = 60
RECONNECT_DELAY_S = 1
MAX_CLIENTS = 64
#: An entry that refuses with one of these leaves the work to another.
TRY_NEXT_ENTRY_CODES = frozenset((Code.leaving, Code.not_ready))


@dataclass(frozen=True, slots=True)
class Target:
    """The entries to ask, in the order of preference, and the operator's token."""

    entries: tuple[str, ...]
    token: SecretStr


@dataclass(frozen=True, slots=True)
class Call:
    """A call of the operators' API; it has the same effect if it is sent again."""

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


class OperatorClient:
    """Calls the first entry that answers; an asynchronous context manager."""

    def __init__(self, target: Target) -> None:
        """Create the client within a running event loop.

        :param target: the entries and the token.
        """
        self.target = target
        self.stack = AsyncExitStack()
        self.curl = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
        self.stack.callback(self.curl.close)

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.stack.aclose()

    async def get(self, kind: str, name: str) -> ResourceResponse:
        """Return a resource.

        :param kind: its kind.
        :param name: its name.
        :return: the resource.
        :raises CassiahitchError: ``resource_missing`` if there is none.
        """
        return parse_api_response(ResourceResponse, await self.call(Call('GET', _path(kind, name))))

    async def list(self, kind: str) -> tuple[ResourceResponse, ...]:
        """Return all resources of a kind, in the order of their names.

        :param kind: the kind.
        :return: the resources.
        """
        found: list[ResourceResponse] = []
        after = ''
        while True:
            call = Call('GET', f'/v1/resources/{kind}?after={quote(after, safe="")}')
            page = parse_api_response(ListResponse, await self.call(call)).resources
            found.extend(page)
            if not page or page[-1].resource is None:
                return tuple(found)
            after = f'{kind}/{page[-1].resource.name}'

    async def put(self, resource: Resource, revision: int | None) -> ResourceResponse:
        """Create or change a resource.

        :param resource: what it shall be.
        :param revision: the revision to change, or nothing to create it.
        :return: the resource as accepted.
        :raises CassiahitchError: ``resource_exists`` or ``revision_conflict`` if another
            operator was faster.
        """
        condition = {'If-None-Match': '*'} if revision is None else _if_match(revision)
        call = Call(
            'PUT',
            _path(resource.kind, resource.name),
            resource.model_dump_json().encode(),
            {**condition, **_change_id(), 'Content-Type': 'application/json'},
        )
        return parse_api_response(ResourceResponse, await self.call(call))

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete a resource.

        :param kind: its kind.
        :param name: its name.
        :param revision: its revision.
        :raises CassiahitchError: ``revision_conflict`` if another operator was faster.
        """
        headers = {**_if_match(revision), **_change_id()}
        await self.call(Call('DELETE', _path(kind, name), headers=headers))

    async def status(self) -> StatusResponse:
        """Return what the first entry that answers knows of the system.

        :return: the status.
        """
        return parse_api_response(StatusResponse, await self.call(Call('GET', '/v1/status')))

    async def timelines(self, query: str) -> tuple[tuple[Event, ...], ...]:
        """Return the events that each entry which answers knows.

        :param query: the query of the URL_ADAPTER, which selects events.
        :return: the events of each entry.
        """
        bodies = await self._call_each(Call('GET', f'/v1/timeline?all=1&{query}'))
        return tuple(decode_events(body) for body in bodies)

    async def metrics(self) -> Snapshot:
        """Return the metrics of all processes that the first entry which answers reaches.

        :return: their sums.
        """
        return decode_snapshot(await self.call(Call('GET', '/v1/metrics?all=1')))

    async def call(self, call: Call) -> bytes:
        """Make a call at the first entry that answers and does not leave.

        :param call: the call; it may reach several entries.
        :return: the body of the answer.
        :raises UnreachableError: if no entry answers.
        :raises CassiahitchError: what the system refused it for.
        """
        refusal: CassiahitchError = UnreachableError(Code.connection_closed, 'no entry answers')
        for entry in self.target.entries:
            try:
                return await self._call_entry(entry, call)
            except CassiahitchError as error:
                refusal = _raise_unless_retryable(error)
        raise refusal

    async def watch(self, kind: str, after: int) -> AsyncGenerator[ResourceResponse, None]:
        """Yield the changes of a kind; a lost connection is replaced.

        :param kind: the kind.
        :param after: only changes after this revision.
        :yield: each change.
        :raises UnreachableError: if no entry answers any more.
        """
        refusal: CassiahitchError = UnreachableError(Code.connection_closed, 'no entry answers')
        failures = 0
        while failures < len(self.target.entries):
            path = f'/v1/watch/{kind}?after={after}'
            lines = self._lines(self.target.entries[failures], path)
            try:
                async for line in lines:
                    change = parse_api_response(ResourceResponse, line)
                    after = max(after, change.revision)
                    yield change
            except CassiahitchError as error:
                refusal = _raise_unless_retryable(error)
                failures += 1
                continue
            finally:
                await lines.aclose()
            failures = 0
            await asyncio.sleep(RECONNECT_DELAY_S)
        raise refusal

    async def _lines(self, entry: str, path: str) -> AsyncGenerator[bytes, None]:
        stream = LineStream()
        request = self._request(entry, Call('GET', path))
        request.request_timeout = 0
        request.header_callback = stream.receive_head
        request.streaming_callback = stream.receive
        request.prepare_curl_callback = _set_idle_timeout
        answer = asyncio.ensure_future(self.curl.fetch(request, raise_error=False))
        answer.add_done_callback(stream.finish)
        status = await stream.status
        if status == NO_RESPONSE_STATUS:
            raise UnreachableError(Code.connection_closed, f'{entry} does not answer')
        async with aclosing(stream.lines()) as lines:
            if status != HTTPStatus.OK:
                raise parse_error(status, b''.join([line async for line in lines]))
            async for line in lines:
                yield line

    async def _call_each(self, call: Call) -> tuple[bytes, ...]:
        calls = [self._call_entry(entry, call) for entry in self.target.entries]
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        bodies = tuple(outcome for outcome in outcomes if isinstance(outcome, bytes))
        errors = [outcome for outcome in outcomes if isinstance(outcome, BaseException)]
        if errors and not bodies:
            raise errors[0]
        return bodies

    async def _call_entry(self, entry: str, call: Call) -> bytes:
        try:
            answer = await self.curl.fetch(self._request(entry, call), raise_error=False)
        except (HTTPClientError, OSError) as error:
            raise UnreachableError(Code.connection_closed, f'{entry}: {error}') from None
        if answer.code >= HTTPStatus.MULTIPLE_CHOICES:
            raise parse_error(answer.code, answer.body)
        return answer.body

    def _request(self, entry: str, call: Call) -> HTTPRequest:
        token = self.target.token.get_secret_value()
        return HTTPRequest(
            f'{entry}{call.path}',
            method=call.method,
            headers={'Authorization': f'Bearer {token}', **call.headers},
            body=call.body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            follow_redirects=False,
        )


def _raise_unless_retryable(error: CassiahitchError) -> CassiahitchError:
    if isinstance(error, UnreachableError) or error.code in TRY_NEXT_ENTRY_CODES:
        return error
    raise error


def _set_idle_timeout(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
    curl.setopt(pycurl.LOW_SPEED_TIME, WATCH_IDLE_TIMEOUT_S)


def _path(kind: str, name: str) -> str:
    return f'/v1/resources/{kind}/{quote(name, safe="")}'


def _if_match(revision: int) -> dict[str, str]:
    return {'If-Match': f'"{revision}"'}


def _change_id() -> dict[str, str]:
    return {'X-Change-Id': uuid4().hex}


__all__ = (
    'Call',
    'OperatorClient',
    'Target',
)
