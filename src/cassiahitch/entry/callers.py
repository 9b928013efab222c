"""HTTP handlers for callers: addresses, tickets and requests."""

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

    from cassiahitch.ledger.tickets import TicketOffice
    from cassiahitch.requests.api import Proceed, Response
    from cassiahitch.requests.identification import IdentificationFilter
    from cassiahitch.routing.addresses import EntryRegistry
    from cassiahitch.routing.router import Router
    from cassiahitch.wire.node import Node

MS_PER_S = 1000
#: Seconds for which an answer is kept for retries under its key.
RETENTION_S = SweepLimits().retention_s
EVENT_STREAM = 'text/event-stream'
BEARER = 'Bearer '
#: Errors after which a change may have taken effect all the same.
UNSETTLED_CODES = frozenset((Code.store_outcome_unknown, Code.outcome_unknown, Code.internal))
#: Seconds after which a leaving entry's callers may come back, to another entry.
LEAVING_RETRY_S = 1.0
#: Seconds between looks at whether every request is answered.
ANSWERED_POLL_S = 0.02
#: Longest time that a caller may take to read the end of its answer, in seconds.
FLUSH_TIMEOUT_S = 30.0


@dataclass(slots=True)
class CallerService:
    """What the handlers use."""

    node: Node
    chain: Proceed
    identification: IdentificationFilter
    addresses: EntryRegistry
    tickets: TicketOffice
    router: Router
    is_leaving: Callable[[], bool]
    running: dict[int, asyncio.Future[Response]] = field(default_factory=dict)
    answering: int = 0

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request as taken until it is answered.

        :yield: meanwhile.
        """
        with ExitStack() as stack:
            self.answering += 1
            stack.callback(self._end_answer)
            yield

    def _end_answer(self) -> None:
        self.answering -= 1

    async def answered(self) -> None:
        """Wait until every request that was taken is answered and its answer is flushed."""
        while self.answering:
            await asyncio.sleep(ANSWERED_POLL_S)


class CallerHandler(RequestHandler):
    """Base of the handlers; every failure is an answer with a numbered code."""

    def initialize(self, service: CallerService) -> None:
        """Keep what the handler uses.

        :param service: the parts of the entry.
        """
        self.service = service

    def compute_etag(self) -> None:
        """Name no entity tag, since revisions are the only versions that operators match."""

    @property
    def endings(self) -> list[asyncio.Future[None]]:
        """What tells when the end of the answer is written."""
        found: list[asyncio.Future[None]] = self.request.__dict__.setdefault('endings', [])
        return found

    def bearer(self) -> str:
        """Return the secret of the request.

        :return: the secret, or nothing.
        """
        header = self.request.headers.get('Authorization', '')
        return header.removeprefix(BEARER) if header.startswith(BEARER) else ''

    def finish(self, chunk: Any = None) -> asyncio.Future[None]:
        """Finish the answer and keep what tells when its last byte is written.

        :param chunk: the end of the answer.
        :return: done when the answer is written.
        """
        written = super().finish(chunk)
        self.endings.append(written)
        return written

    async def flushed(self) -> None:
        """Wait until the answer is written, unless the caller is gone or reads too slowly."""
        for written in self.endings:
            with suppress(StreamClosedError, TimeoutError):
                await asyncio.wait_for(asyncio.shield(written), FLUSH_TIMEOUT_S)

    def fail(self, error: CassiahitchError) -> None:
        """Answer with an error.

        :param error: the error.
        """
        retry_after_s = getattr(error, 'retry_after_s', None)
        if retry_after_s is not None:
            self.set_header('Retry-After', str(math.ceil(retry_after_s)))
        self.set_status(http_status(error.code))
        self.finish(error_document(error))

    def write_error(self, status_code: int, **_details: Any) -> None:
        """Answer in the form of all errors where tornado refuses a request.

        :param status_code: status of the answer.
        """
        code = Code.bad_request if status_code < http_status(Code.internal) else Code.internal
        ran = HasRun.no if code is Code.bad_request else HasRun.unknown
        self.finish(error_document(RequestError(code, self._reason, ran)))


class MissingHandler(CallerHandler):
    """Answers for a path that does not exist."""

    def prepare(self) -> None:
        """Refuse the request."""
        self.fail(RequestError(Code.not_found, f'nothing at {self.request.path}', HasRun.no))


class AddressHandler(CallerHandler):
    """Tells callers which entries to use."""

    def get(self) -> None:
        """Return a few addresses and their lifetime."""
        response = self.service.addresses.response(self.service.node.clock.monotonic())
        if not response.addresses:
            detail = 'no entry is ready, as far as this one knows'
            self.fail(RequestError(Code.not_ready, detail, HasRun.no, LEAVING_RETRY_S))
            return
        addresses = [
            {'address': found.address, 'weight': found.weight} for found in response.addresses
        ]
        self.finish({'addresses': addresses, 'lifetime_s': response.lifetime_s})


class TicketHandler(CallerHandler):
    """Gives out tickets."""

    def post(self) -> None:
        """Return a ticket for a service."""
        try:
            self.finish({'ticket': self._mint()})
        except RequestError as error:
            self.fail(error)

    def _mint(self) -> str:
        if not self.service.identification.find(self.bearer()):
            raise RequestError(Code.unauthorised, 'the key is not known', HasRun.no)
        query = RouteQuery(self.get_query_argument('service', ''))
        choice = self.service.router.choose(query, self.service.node.clock.monotonic())
        if not isinstance(choice, Choice):
            detail = f'no replica serves {query.service}'
            raise RequestError(Code.no_replica, detail, HasRun.no, choice.retry_after_s)
        wall = self.service.node.clock.wall()
        return self.service.tickets.mint(choice.host, choice.incarnation, wall)


class RequestsHandler(CallerHandler):
    """Runs requests, unary or as a stream of events."""

    async def post(self, service: str) -> None:
        """Run a request.

        :param service: name of the service.
        """
        with self.service.counted():
            await self._answer(service)
            await self.flushed()

    async def _answer(self, service: str) -> None:
        try:
            request = self._parse(service)
            answer = await self._run(request)
        except RequestError as error:
            self._fail_request(error)
            return
        except (asyncio.CancelledError, StreamClosedError):
            return
        self._finish_request(request, answer)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has left."""
        task = self.service.running.get(id(self))
        if task is not None:
            task.cancel()

    def _parse(self, service: str) -> Request:
        if self.service.is_leaving():
            raise RequestError(Code.leaving, 'use another entry', HasRun.no, LEAVING_RETRY_S)
        headers = self.request.headers
        request = Request(
            service,
            self.request.body,
            secret=self.bearer(),
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
        running = self.service.running
        task = asyncio.ensure_future(self.service.chain(request))
        running[id(self)] = task
        task.add_done_callback(lambda _: running.pop(id(self)))
        return await task

    def _finish_request(self, request: Request, answer: Response) -> None:
        end = {
            'request_id': request.id,
            'code': Code.ok.value,
            'length': len(answer.content),
            'sha256': answer.checksum,
            'weights': answer.weights_digest,
            'replayed': answer.replayed,
        }
        if request.idempotency_key or request.ticket:
            # A retry under the key gets the same answer for this long.
            end['retention_s'] = RETENTION_S
        if not request.stream:
            self.finish({**end, 'answer': answer.content.decode()})
            return
        missing = answer.content[request.streamed_bytes :]
        if missing:
            self._send_part(missing)
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
    :return: code, name, detail and whether the request has run.
    """
    ran = getattr(error, 'ran', HasRun.unknown if error.code in UNSETTLED_CODES else HasRun.no)
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
        detail = 'X-Timeout-Ms is not a number'
        raise RequestError(Code.bad_request, detail, HasRun.no) from None


__all__ = (
    'AddressHandler',
    'CallerHandler',
    'CallerService',
    'MissingHandler',
    'RequestsHandler',
    'TicketHandler',
    'error_document',
)
