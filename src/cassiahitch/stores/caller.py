"""HTTP calls to the platform and to backend servers through tornado's curl client."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator, Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from cassiahitch.codes import Code
from cassiahitch.errors import PlatformError

if TYPE_CHECKING:
    from types import TracebackType

#: Calls under way at once; further ones wait in the client.
MAX_CLIENTS = 256
#: Largest answer to a call, in bytes.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
#: Longest time in which nothing of an answer that has begun arrives, in seconds.
PROGRESS_S = 0.6

_NOT_SENT = frozenset((pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST))


@dataclass(frozen=True, slots=True)
class Call:
    """An HTTP call; one that is not ``repeatable`` uses a fresh connection.

    It fails unless its answer is whole after ``timeout_s``, or has begun by then, makes progress
    and is whole within ``longer_s`` more.
    """

    method: str
    url: str
    body: bytes | None = None
    timeout_s: float = 5
    repeatable: bool = True
    headers: tuple[tuple[str, str], ...] = ()
    longer_s: float = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an answer."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the decoded body.

        :return: plain JSON values.
        :raises PlatformError: ``store_row_corrupt`` if it is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise PlatformError(Code.store_row_corrupt, 'the answer is not JSON') from error


class CallFailed(Exception):
    """A call without an answer; ``sent`` tells whether the peer may have seen it."""

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Create the error.

        :param detail: one line.
        :param sent: whether the peer may have seen the call.
        """
        super().__init__(detail)
        self.sent = sent


def _fresh_connection(curl: pycurl.Curl) -> None:
    # libcurl repeats a request by itself when a reused connection closes before any answer.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _reuse_connection(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)


def _was_sent(error: BaseException) -> bool:
    return not (isinstance(error, CurlError) and error.errno in _NOT_SENT)


class _CurlClient(CurlAsyncHTTPClient):
    """Ignores the timer that libcurl may have set before the client was closed."""

    def carries(self, curl: Any, request: HTTPRequest) -> bool:
        """Tell whether a handle still carries a call."""
        under_way = self._multi is not None and curl.info is not None
        # The client wraps the request.
        return under_way and curl.info['request'].request is request

    def received(self, curl: Any) -> int:
        """Return the bytes of the answer that have arrived."""
        return int(curl.info['buffer'].tell())

    def end(self, curl: Any) -> None:
        """End a call that is under way."""
        self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, 'the answer makes no progress')
        self._process_queue()

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


@dataclass(slots=True)
class _Watch:
    """Ends a call whose answer has not begun in time, or makes no progress.

    Load pattern: a link that many answers share carries each of them slowly. A call that is given
    up and made again then sends the same bytes over it twice.
    """

    client: _CurlClient
    request: HTTPRequest
    prepare: Callable[[Any], None]
    curl: Any = None
    seen: int = 0

    def begin(self, curl: Any) -> None:
        """Note the handle that carries the call."""
        self.curl = curl
        self.prepare(curl)

    def look(self) -> None:
        """End the call if nothing has arrived since the last look."""
        if self.curl is None or not self.client.carries(self.curl, self.request):
            return
        received = self.client.received(self.curl)
        if received == self.seen:
            self.client.end(self.curl)
            return
        self.seen = received
        asyncio.get_running_loop().call_later(PROGRESS_S, self.look)


class HttpCaller:
    """Owns a curl client; an asynchronous context manager."""

    def __init__(self) -> None:
        """Create the caller within a running event loop."""
        self.client = _CurlClient(force_instance=True, max_clients=MAX_CLIENTS)
        self.closed = False

    async def __aenter__(self) -> HttpCaller:
        """Return the caller."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the client."""
        self.closed = True
        self.client.close()

    async def call(self, call: Call) -> Reply:
        """Make a call and wait for its whole answer.

        :param call: what to send.
        :return: the answer, whatever its status.
        :raises CallFailed: without an answer.
        """
        if self.closed:
            raise CallFailed('the client is closed', sent=False)
        try:
            return _reply(await self._fetch(call))
        except (HTTPClientError, OSError) as error:
            raise CallFailed(str(error), sent=_was_sent(error)) from error

    async def stream(self, call: Call) -> AsyncGenerator[bytes, None]:
        """Make a call and yield its answer as it arrives.

        :param call: what to send.
        :yield: parts of the body.
        :raises CallFailed: if the answer is cut short or its status is not 200.
        """
        parts: asyncio.Queue[bytes | None] = asyncio.Queue()
        request = self._request(call)
        request.streaming_callback = parts.put_nowait
        answer = asyncio.ensure_future(self.client.fetch(request, raise_error=False))
        answer.add_done_callback(lambda _: parts.put_nowait(None))
        while True:
            part = await parts.get()
            if part is None:
                break
            yield part
        try:
            _check_stream(answer.result())
        except CurlError as error:
            raise CallFailed(str(error), sent=_was_sent(error)) from error

    async def _fetch(self, call: Call) -> HTTPResponse:
        request = self._request(call)
        if not call.longer_s:
            return await self.client.fetch(request, raise_error=False)
        assert request.prepare_curl_callback is not None
        watch = _Watch(self.client, request, request.prepare_curl_callback)
        request.prepare_curl_callback = watch.begin
        look = asyncio.get_running_loop().call_later(call.timeout_s, watch.look)
        with ExitStack() as stack:
            stack.callback(look.cancel)
            return await self.client.fetch(request, raise_error=False)

    def _request(self, call: Call) -> HTTPRequest:
        return HTTPRequest(
            call.url,
            method=call.method,
            headers=HTTPHeaders(dict(call.headers)),
            body=call.body,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            connect_timeout=min(call.timeout_s, 2),
            request_timeout=call.timeout_s + call.longer_s,
            prepare_curl_callback=_reuse_connection if call.repeatable else _fresh_connection,
        )


def _reply(answer: HTTPResponse) -> Reply:
    if isinstance(answer.error, CurlError):
        raise answer.error
    if len(answer.body) > MAX_ANSWER_BYTES:
        raise CallFailed('the answer is too large', sent=True)
    return Reply(answer.code, answer.body)


def _check_stream(answer: HTTPResponse) -> None:
    if answer.error is not None:
        raise CallFailed(str(answer.error), sent=_was_sent(answer.error))


__all__ = (
    'Call',
    'CallFailed',
    'HttpCaller',
    'Reply',
)
