"""HTTP handlers for callers: addresses of entries, tickets and requests."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from cassiahitch.codes import Code, HasRun
from cassiahitch.entry.statuses import http_status
from cassiahitch.errors import CassiahitchError, RequestError
from cassiahitch.ledger.sweep import SweepLimits
from cassiahitch.requests.api import Request
from cassiahitch.routing.api import Choice, RouteQuery

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.ledger.tickets import TicketIssuer
    from cassiahitch.requests.api import Proceed, Response
    from cassiahitch.requests.identification import IdentificationFilter
    from cassiahitch.routing.addresses import EntryRegistry
    from cassiahitch.routing.router import Router
    from cassiahitch.wire.node import Node

MS_PER_S = 1000
#: Seconds for which a response is kept for retries with the same idempotency key.
RETENTION_S = SweepLimits().retention_s
EVENT_STREAM = 'text/event-stream'
BEARER = 'Bearer '
#: Codes of errors after which a change may nevertheless have taken effect.
UNKNOWN_OUTCOME_CODES = frozenset((Code.store_outcome_unknown, Code.outcome_unknown, Code.internal))
#: Retry-After in seconds for callers of an entry that is stopping or not ready.
RETRY_AFTER_S = 1.0
#: Seconds between checks whether all responses have been sent.
RESPONSE_POLL_INTERVAL_S = 0.02
#: Maximum time that a caller may take to read the end of its response, in seconds.
FLUSH_TIMEOUT_S = 30.0


@dataclass(slots=True)
class CallerService:
    """Components that the handlers use, and the requests in progress."""

    node: Node
    chain: Proceed
    identification: IdentificationFilter
    entry_registry: EntryRegistry
    tickets: TicketIssuer
    router: Router
    refuses_requests: Callable[[], bool]
    tasks: dict[int, asyncio.Future[Response]] = field(default_factory=dict)
    open_responses: int = 0

    @contextmanager
    def count_response(self) -> Iterator[None]:
        """Count a response as open within the context.

        :yield: nothing.
        """
        with ExitStack() as stack:
            self.open_responses += 1
            stack.callback(self._end_response)
            yield

    def _end_response(self) -> None:
        self.open_responses -= 1

    async def wait_for_responses(self) -> None:
        """Wait until the responses to all accepted requests have been sent."""
        while self.open_responses:
            await asyncio.sleep(RESPONSE_POLL_INTERVAL_S)


class CallerHandler(RequestHandler):
    """Base class of the handlers; every error is sent as a JSON document with a code."""

    def initialize(self, service: CallerService) -> None:
        """Initialise the handler.

        :param service: components that the handler uses.
        """
        self.service = service

    def compute_etag(self) -> None:
        """Send no entity tag, as only revisions are used in the preconditions of operators."""

    @property
    def pending_writes(self) -> list[asyncio.Future[None]]:
        """Futures that are done when the end of the response has been written."""
        writes: list[asyncio.Future[None]] = self.request.__dict__.setdefault('endings', [])
        return writes

    def bearer_token(self) -> str:
        """Return the bearer token of the request.

        :return: the token, or an empty string.
        """
        header = self.request.headers.get('Authorization', '')
        return header.removeprefix(BEARER) if header.startswith(BEARER) else ''

    def finish(self, chunk: Any = None) -> asyncio.Future[None]:
        """Finish the response and record the future of its last write.

        :param chunk: the last part of the response.
        :return: done when the response has been written.
        """
        last_write = super().finish(chunk)
        self.pending_writes.append(last_write)
        return last_write

    async def wait_until_written(self) -> None:
        """Wait until the response is written, the caller disconnects or reads too slowly."""
        for last_write in self.pending_writes:
            with suppress(StreamClosedError, TimeoutError):
                await asyncio.wait_for(asyncio.shield(last_write), FLUSH_TIMEOUT_S)

    def fail(self, error: CassiahitchError) -> None:
        """Send an error as the response.

        :param error: the error.
        """
        retry_after_s = getattr(error, 'retry_after_s', None)
        if retry_after_s is not None:
            self.set_header('Retry-After', str(math.ceil(retry_after_s)))
        self.set_status(http_status(error.code))
        self.finish(error_document(error))

    def write_error(self, status_code: int, **_details: Any) -> None:
        """Send an error raised by tornado, in the same JSON form as all other errors.

        :param status_code: HTTP status of the response.
        """
        code = Code.bad_request if status_code < http_status(Code.internal) else Code.internal
        ran = HasRun.no if code is Code.bad_request else HasRun.unknown
        self.finish(error_document(RequestError(code, self._reason, ran)))


class NotFoundHandler(CallerHandler):
    """Handles requests with a path that does not exist."""

    def prepare(self) -> None:
        """Respond with ``not_found``."""
        self.fail(RequestError(Code.not_found, f'there is no path {self.request.path}', HasRun.no))


class AddressHandler(CallerHandler):
    """Returns addresses of entries to callers."""

    def get(self) -> None:
        """Return a few addresses and the time for which they may be cached."""
        response = self.service.entry_registry.select_addresses(self.service.node.clock.monotonic())
        if not response.addresses:
            detail = 'none of the entries known to this entry is ready'
            self.fail(RequestError(Code.not_ready, detail, HasRun.no, RETRY_AFTER_S))
            return
        addresses = [
            {'address': entry.address, 'weight': entry.weight} for entry in response.addresses
        ]
        self.finish({'addresses': addresses, 'lifetime_s': response.lifetime_s})


class TicketHandler(CallerHandler):
    """Issues tickets, which bind a request to one replica."""

    def post(self) -> None:
        """Issue a ticket for a service."""
        try:
            self.finish({'ticket': self._mint()})
        except RequestError as error:
            self.fail(error)

    def _mint(self) -> str:
        if not self.service.identification.find_organisation(self.bearer_token()):
            raise RequestError(Code.unauthorised, 'no organisation has this key', HasRun.no)
        query = RouteQuery(self.get_query_argument('service', ''))
        choice = self.service.router.choose(query, self.service.node.clock.monotonic())
        if not isinstance(choice, Choice):
            detail = f'no replica is available for service {query.service}'
            raise RequestError(Code.no_replica, detail, HasRun.no, choice.retry_after_s)
        wall = self.service.node.clock.wall()
        return self.service.tickets.issue(choice.host, choice.incarnation, wall)


class RequestsHandler(CallerHandler):
    """Runs requests; the response is one document or a stream of server-sent events."""

    async def post(self, service: str) -> None:
        """Run a request.

        :param service: name of the service.
        """
        with self.service.count_response():
            await self._respond(service)
            await self.wait_until_written()

    async def _respond(self, service: str) -> None:
        try:
            request = self._parse(service)
            response = await self._run(request)
        except RequestError as error:
            self._fail_request(error)
            return
        except (asyncio.CancelledError, StreamClosedError):
            return
        self._finish_request(request, response)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        task = self.service.tasks.get(id(self))
        if task is not None:
            task.cancel()

    def _parse(self, service: str) -> Request:
        if self.service.refuses_requests():
            raise RequestError(
                Code.leaving, 'this entry is stopping; use another entry', HasRun.no, RETRY_AFTER_S
            )
        headers = self.request.headers
        request = Request(
            service,
            self.request.body,
            secret=self.bearer_token(),
            idempotency_key=headers.get('Idempotency-Key', ''),
            ticket=headers.get('X-Ticket', ''),
            timeout_s=_timeout_s(headers.get('X-Timeout-Ms')),
            stream=EVENT_STREAM in headers.get('Accept', ''),
            retry='X-Retry' in headers,
        )
        if request.stream:
            request.on_part = self._send_part
        return request

    async def _run(self, request: Request) -> Response:
        self.set_header('X-Request-Id', request.id)
        tasks = self.service.tasks
        task = asyncio.ensure_future(self.service.chain(request))
        tasks[id(self)] = task
        task.add_done_callback(lambda _: tasks.pop(id(self)))
        return await task

    def _finish_request(self, request: Request, response: Response) -> None:
        end = {
            'request_id': request.id,
            'code': Code.ok.value,
            'length': len(response.content),
            'sha256': response.checksum,
            'weights': response.weights_digest,
            'replayed': response.replayed,
        }
        if request.idempotency_key or request.ticket:
            # For RETENTION_S, a retry with the same key or ticket receives this response again.
            end['retention_s'] = RETENTION_S
        if not request.stream:
            self.finish({**end, 'answer': response.content.decode()})
            return
        remainder = response.content[request.streamed_bytes :]
        if remainder:
            self._send_part(remainder)
        self._send_event('end', end)
        self.finish()

    def _send_part(self, part: bytes) -> None:
        self._send_event('part', {'text': part.decode(errors='replace')})
        with suppress(StreamClosedError):
            self.flush()

    def _send_event(self, kind: str, document: dict[str, Any]) -> None:
        self.set_header('Content-Type', EVENT_STREAM)
        self.write(f'event: {kind}\ndata: {json.dumps(document)}\n\n')

    def _fail_request(self, error: RequestError) -> None:
        if self._headers_written:
            self._send_event('error', error_document(error))
            self.finish()
            return
        self.fail(error)


def error_document(error: CassiahitchError) -> dict[str, Any]:
    """Return the JSON form of an error.

    :param error: the error.
    :return: code, name and detail, and whether the request may have run.
    """
    ran = getattr(
        error, 'ran', HasRun.unknown if error.code in UNKNOWN_OUTCOME_CODES else HasRun.no
    )
    return {
        'code': error.code.value,
        'name': error.code.name,
        'detail': error.detail,
        'ran': ran.value,
    }


def _timeout_s(header: str | None) -> float | None:
    if header is None:
        return None
    try:
        return int(header) / MS_PER_S
    except (OverflowError, ValueError):
        detail = 'header X-Timeout-Ms is not an integer'
        raise RequestError(Code.bad_request, detail, HasRun.no) from None


__all__ = (
    'AddressHandler',
    'CallerHandler',
    'CallerService',
    'NotFoundHandler',
    'RequestsHandler',
    'TicketHandler',
    'error_document',
)
