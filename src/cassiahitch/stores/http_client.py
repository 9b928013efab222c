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
MAX_ANSWER_BYTES = 16 * 1024 * 1024
#: Longest time in which nothing of an answer that has begun arrives, in seconds.
STALL_TIMEOUT_S = 0.6
#: Seconds between two looks at a call that waits behind others.
QUEUED_LOOK_S = 0.05
#: The library's own timeouts are off: they count the time in which this process stood still.
NO_TIMEOUT = 0

_NOT_SENT = frozenset((pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST))


@dataclass(frozen=True, slots=True)
class HttpCall:
    """An HTTP call; one that is not ``repeatable`` uses a fresh connection.

    It fails unless its answer is whole after ``timeout_s``, or has begun by then, makes progress
    and is whole within ``transfer_extension_s`` more.
    """

    method: str
    url: str
    body: bytes | None = None
    timeout_s: float = 5
    repeatable: bool = True
    headers: tuple[tuple[str, str], ...] = ()
    transfer_extension_s: float = 0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status, body and headers of an answer."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def json(self) -> Any:
        """Return the decoded body.

        :return: plain JSON values.
        :raises PlatformError: ``store_row_corrupt`` if it is not JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise PlatformError(Code.store_row_corrupt, 'the answer is not JSON') from error


class HttpCallError(Exception):
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


def _ignore(_answer: HTTPResponse) -> None:
    """Take an answer that nobody waits for."""


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

    def drop(self, curl: Any) -> None:
        """End a call whose answer nobody waits for."""
        curl.info['callback'] = _ignore
        self.end(curl)

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

    The clock of the event loop counts, which takes in what has arrived before it looks at timers:
    a process that stood still does not give up answers that wait in its sockets.
    """

    client: _CurlClient
    request: HTTPRequest
    prepare: Callable[[Any], None]
    ends_at: float
    curl: Any = None
    seen: int = 0
    timer: asyncio.TimerHandle | None = None
    stopped: bool = False

    def start(self, within_s: float) -> None:
        """Look at the answer after a time.

        :param within_s: seconds in which it has to begin.
        """
        self.timer = asyncio.get_running_loop().call_later(within_s, self.look)

    def stop(self) -> None:
        """Look no more, and end the call if nobody waits for its answer any longer."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.curl is not None and self.client.carries(self.curl, self.request):
            self.client.drop(self.curl)

    def begin(self, curl: Any) -> None:
        """Note the handle that carries the call."""
        self.curl = curl
        self.prepare(curl)
        if self.stopped:
            curl.setopt(pycurl.TIMEOUT_MS, 1)

    def look(self) -> None:
        """End the call if its time is over or nothing has arrived since the last look."""
        left_s = self.ends_at - asyncio.get_running_loop().time()
        if self.curl is None:
            # It waits behind other calls; it is ended as soon as it gets its turn.
            self.start(QUEUED_LOOK_S)
            return
        if not self.client.carries(self.curl, self.request):
            return
        received = self.client.received(self.curl)
        if received == self.seen or left_s <= 0:
            self.client.end(self.curl)
            return
        self.seen = received
        self.start(min(STALL_TIMEOUT_S, left_s))


class HttpClient:
    """Owns a curl client; an asynchronous context manager."""

    def __init__(self) -> None:
        """Create the caller within a running event loop."""
        self.client = _CurlClient(
            force_instance=True, max_clients=MAX_CLIENTS, max_body_size=MAX_ANSWER_BYTES
        )
        self.closed = False

    async def __aenter__(self) -> HttpClient:
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

    async def call(self, call: HttpCall) -> HttpResponse:
        """Make a call and wait for its whole answer.

        :param call: what to send.
        :return: the answer, whatever its status.
        :raises HttpCallError: without an answer.
        """
        if self.closed:
            raise HttpCallError('the client is closed', sent=False)
        try:
            return _reply(await self._fetch(call))
        except (HTTPClientError, OSError) as error:
            raise HttpCallError(str(error), sent=_was_sent(error)) from error

    async def stream(self, call: HttpCall) -> AsyncGenerator[bytes, None]:
        """Make a call and yield its answer as it arrives.

        :param call: what to send.
        :yield: parts of the body.
        :raises HttpCallError: if the answer is cut short or its status is not 200.
        """
        parts: asyncio.Queue[bytes | None] = asyncio.Queue()
        request = self._request(call)
        request.streaming_callback = parts.put_nowait
        request.request_timeout = call.timeout_s + call.transfer_extension_s
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
            raise HttpCallError(str(error), sent=_was_sent(error)) from error

    async def _fetch(self, call: HttpCall) -> HTTPResponse:
        request = self._request(call)
        assert request.prepare_curl_callback is not None
        ends_at = asyncio.get_running_loop().time() + call.timeout_s + call.transfer_extension_s
        watch = _Watch(self.client, request, request.prepare_curl_callback, ends_at)
        request.prepare_curl_callback = watch.begin
        watch.start(call.timeout_s)
        with ExitStack() as stack:
            stack.callback(watch.stop)
            return await self.client.fetch(request, raise_error=False)

    def _request(self, call: HttpCall) -> HTTPRequest:
        return HTTPRequest(
            call.url,
            method=call.method,
            headers=HTTPHeaders(dict(call.headers)),
            body=call.body,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            connect_timeout=NO_TIMEOUT,
            request_timeout=NO_TIMEOUT,
            prepare_curl_callback=_reuse_connection if call.repeatable else _fresh_connection,
        )


def _reply(answer: HTTPResponse) -> HttpResponse:
    if isinstance(answer.error, CurlError):
        raise answer.error
    return HttpResponse(answer.code, answer.body, tuple(answer.headers.get_all()))


def _check_stream(answer: HTTPResponse) -> None:
    if answer.error is not None:
        raise HttpCallError(str(answer.error), sent=_was_sent(answer.error))


__all__ = (
    'HttpCall',
    'HttpCallError',
    'HttpClient',
    'HttpResponse',
)
