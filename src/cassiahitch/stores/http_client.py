"""HTTP client for the platform and for backend servers, based on tornado's curl client."""

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

#: Maximum number of concurrent calls; further calls are queued in the client.
MAX_CONCURRENT_CALLS = 256
#: Maximum size of a response body, in bytes.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
#: Seconds without a received byte after which a response that has begun is given up.
STALL_TIMEOUT_S = 0.6
#: Seconds between checks whether a queued call has been started.
QUEUED_POLL_INTERVAL_S = 0.05
#: Disables libcurl's own timeouts, which include the time in which this process was paused.
NO_TIMEOUT = 0

_NOT_SENT = frozenset((pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST))


@dataclass(frozen=True, slots=True)
class HttpCall:
    """An HTTP call; one that is not ``repeatable`` uses a new connection.

    The response has to be complete within ``timeout_s``. A response that has begun by then and
    whose transfer does not stall may take ``transfer_extension_s`` more.
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
    """Status, body and headers of a response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def json(self) -> Any:
        """Return the body decoded from JSON.

        :return: plain JSON values.
        :raises PlatformError: ``store_row_corrupt`` if it is not JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise PlatformError(
                Code.store_row_corrupt, 'the body of the response is not JSON'
            ) from error


class HttpCallError(Exception):
    """A call failed; ``sent`` is whether the server may have received the request."""

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Create the error.

        :param detail: the cause, one line.
        :param sent: whether the server may have received the request.
        """
        super().__init__(detail)
        self.sent = sent


def _use_new_connection(curl: pycurl.Curl) -> None:
    # libcurl retries a request on its own if a reused connection closes before the response.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _allow_reuse(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)


def _discard(_response: HTTPResponse) -> None:
    """Discard the response to a cancelled call."""


def _was_sent(error: BaseException) -> bool:
    return not (isinstance(error, CurlError) and error.errno in _NOT_SENT)


class _CurlClient(CurlAsyncHTTPClient):
    """Curl client that can abort calls, and ignores timers that fire after it was closed."""

    def is_running(self, curl: Any, request: HTTPRequest) -> bool:
        """Return whether a curl handle still runs a request; handles are reused for others."""
        is_active = self._multi is not None and curl.info is not None
        # The client wraps the request in a proxy object.
        return is_active and curl.info['request'].request is request

    def received_bytes(self, curl: Any) -> int:
        """Return how many bytes of the response body have been received."""
        return int(curl.info['buffer'].tell())

    def cancel(self, curl: Any) -> None:
        """Abort a running call and discard its result."""
        curl.info['callback'] = _discard
        self.abort(curl)

    def abort(self, curl: Any) -> None:
        """Fail a running call with a timeout."""
        self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, 'the response stalled or took too long')
        self._process_queue()

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


@dataclass(slots=True)
class _TimeoutMonitor:
    """Aborts a call whose response does not begin in time, stalls or exceeds its deadline.

    Load pattern: many responses share a link, so that each of them is transferred slowly. Giving
    up a call and repeating it would send the same bytes over that link twice.

    The timeouts run on the event loop, which reads its sockets before it runs timers. A process
    that was paused therefore does not give up responses that are waiting in its sockets.
    """

    curl_client: _CurlClient
    request: HTTPRequest
    prepare: Callable[[Any], None]
    deadline: float
    curl: Any = None
    last_received_bytes: int = 0
    timer: asyncio.TimerHandle | None = None
    stopped: bool = False

    def schedule(self, delay_s: float) -> None:
        """Schedule the next check of the response.

        :param delay_s: delay in seconds.
        """
        self.timer = asyncio.get_running_loop().call_later(delay_s, self.check)

    def stop(self) -> None:
        """Stop checking, and cancel the call if it is still running."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.curl is not None and self.curl_client.is_running(self.curl, self.request):
            self.curl_client.cancel(self.curl)

    def on_start(self, curl: Any) -> None:
        """Record the curl handle that runs the call."""
        self.curl = curl
        self.prepare(curl)
        if self.stopped:
            curl.setopt(pycurl.TIMEOUT_MS, 1)

    def check(self) -> None:
        """Abort the call if its deadline has passed or no byte arrived since the last check."""
        remaining_s = self.deadline - asyncio.get_running_loop().time()
        if self.curl is None:
            # The call timed out in the queue; it is aborted soon after the client starts it.
            self.schedule(QUEUED_POLL_INTERVAL_S)
            return
        if not self.curl_client.is_running(self.curl, self.request):
            return
        received_bytes = self.curl_client.received_bytes(self.curl)
        if received_bytes == self.last_received_bytes or remaining_s <= 0:
            self.curl_client.abort(self.curl)
            return
        self.last_received_bytes = received_bytes
        self.schedule(min(STALL_TIMEOUT_S, remaining_s))


class HttpClient:
    """HTTP client; an asynchronous context manager that closes its connections at the end."""

    def __init__(self) -> None:
        """Create a client; needs a running event loop."""
        self.curl_client = _CurlClient(
            force_instance=True, max_clients=MAX_CONCURRENT_CALLS, max_body_size=MAX_RESPONSE_BYTES
        )
        self.closed = False

    async def __aenter__(self) -> HttpClient:
        """Return the client."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the client."""
        self.closed = True
        self.curl_client.close()

    async def call(self, call: HttpCall) -> HttpResponse:
        """Make a call and wait for the complete response.

        :param call: the call.
        :return: the response, whatever its status.
        :raises HttpCallError: if there is no complete response.
        """
        if self.closed:
            raise HttpCallError('the HTTP client is closed', sent=False)
        try:
            return _response(await self._fetch(call))
        except (HTTPClientError, OSError) as error:
            raise HttpCallError(str(error), sent=_was_sent(error)) from error

    async def stream(self, call: HttpCall) -> AsyncGenerator[bytes, None]:
        """Make a call and yield the body of the response as it arrives.

        :param call: the call.
        :yield: parts of the body.
        :raises HttpCallError: if the response is incomplete or its status is not 200.
        """
        parts: asyncio.Queue[bytes | None] = asyncio.Queue()
        request = self._request(call)
        request.streaming_callback = parts.put_nowait
        request.request_timeout = call.timeout_s + call.transfer_extension_s
        response = asyncio.ensure_future(self.curl_client.fetch(request, raise_error=False))
        response.add_done_callback(lambda _: parts.put_nowait(None))
        while True:
            part = await parts.get()
            if part is None:
                break
            yield part
        try:
            _check_stream(response.result())
        except CurlError as error:
            raise HttpCallError(str(error), sent=_was_sent(error)) from error

    async def _fetch(self, call: HttpCall) -> HTTPResponse:
        request = self._request(call)
        assert request.prepare_curl_callback is not None
        deadline = asyncio.get_running_loop().time() + call.timeout_s + call.transfer_extension_s
        monitor = _TimeoutMonitor(
            self.curl_client, request, request.prepare_curl_callback, deadline
        )
        request.prepare_curl_callback = monitor.on_start
        monitor.schedule(call.timeout_s)
        with ExitStack() as stack:
            stack.callback(monitor.stop)
            return await self.curl_client.fetch(request, raise_error=False)

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
            prepare_curl_callback=_allow_reuse if call.repeatable else _use_new_connection,
        )


def _response(response: HTTPResponse) -> HttpResponse:
    if isinstance(response.error, CurlError):
        raise response.error
    return HttpResponse(response.code, response.body, tuple(response.headers.get_all()))


def _check_stream(response: HTTPResponse) -> None:
    if response.error is not None:
        raise HttpCallError(str(response.error), sent=_was_sent(response.error))


__all__ = (
    'HttpCall',
    'HttpCallError',
    'HttpClient',
    'HttpResponse',
)
