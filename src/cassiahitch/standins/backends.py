"""Stand-ins of the platform's backend servers, plain and model engines."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import h11

from cassiahitch.direct.api import header
from cassiahitch.platform import names
from cassiahitch.standins.agentcalls import answer_agent_call
from cassiahitch.standins.engineweights import EngineWeights
from cassiahitch.standins.executions import (
    BegunRequest,
    ExecutedRequest,
    respond_plain,
    respond_stream,
)
from cassiahitch.standins.faults import REFUSALS, Fault
from cassiahitch.standins.requestreader import read_request
from cassiahitch.standins.responses import ResponseWriter, refusal_headers, reset
from cassiahitch.util.listening import bound_port, listen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cassiahitch.standins.segmentcrashes import SegmentCrashes

MS_PER_S = 1000
#: Maximum number of requests that wait for a free slot.
MAX_QUEUED_REQUESTS = 32


@dataclass(slots=True)
class BackendStandin:
    """One replica; each request takes the next of ``faults``, or ``fault`` if there is none left.

    While ``stopping`` is set, every response announces it, and while ``limit_per_s`` is set, every
    response names it as the rate limit, those to the agent only with ``reports_limit``. Until
    ``cold_until``, in seconds of the event loop's clock, the replica is cold: its row says so, and
    its responses to the agent, all others only with ``reports_cold``. Every
    response has ``extra_headers``. ``arrivals`` holds the times of all requests except the calls of
    the agent, in seconds of the event loop's clock.
    A stream begins ``queue_s`` after its request. Until ``silent_until``, an engine begins nothing
    and notices no closed connection. ``begun`` holds the streams that have begun.
    ``pause_s`` delays each body and each event, ``events`` is the number of events of a stream, and
    ``padding`` the number of bytes added to each plain body. Requests with the segment of
    ``segment_crashes`` in their prompts crash the replica.
    """

    id: str
    service: str
    failure_domain: str
    slots: int = 4
    events: int = 5
    pause_s: float = 0
    padding: int = 0
    started_at_ms: int = 1
    stopping: bool = False
    limit_per_s: float | None = None
    reports_limit: bool = True
    cold_until: float = 0
    reports_cold: bool = False
    extra_headers: dict[str, str] = field(default_factory=dict)
    refusal_retry_after_s: float = 1
    fault: Fault = Fault.none
    faults: list[Fault] = field(default_factory=list)
    engine: EngineWeights | None = None
    segment_crashes: SegmentCrashes | None = None
    runs: list[ExecutedRequest] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    arrivals: list[float] = field(default_factory=list)
    queue_s: float = 0
    silent_until: float = 0
    begun: list[BegunRequest] = field(default_factory=list)
    running: int = 0
    address: str = ''
    port: int = 0
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)

    def row(self, state: str = 'ready') -> dict[str, Any]:
        """Return the row that registers the replica in the store.

        :param state: state of the replica.
        :return: JSON values.
        """
        engine = self.engine or EngineWeights()
        return {
            'service': self.service,
            'address': f'{self.address}:{self.port}',
            'zone': self.failure_domain,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldMs': self.cold_ms(),
            'models': engine.models(),
            'layers': engine.layers(),
            'seq': engine.load_sequence,
            'born': self.started_at_ms,
        }

    async def start(self, address: str, port: int = 0) -> None:
        """Start to accept connections.

        :param address: IP number.
        :param port: TCP port, 0 for a free one.
        """
        own = listen(address, port)
        self.address = address
        self.port = bound_port(own)
        self.server = await asyncio.start_server(self.accept, sock=own)

    async def stop(self) -> None:
        """Stop accepting and reset all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.connections):
            reset(writer)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends or fails.

        :param reader: receives the requests.
        :param writer: sends the responses.
        """
        self.connections.add(writer)
        with suppress(ConnectionError, h11.RemoteProtocolError, asyncio.CancelledError):
            await self.serve_connection(reader, writer)
        self.connections.discard(writer)
        writer.close()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection one after the other.

        :param reader: receives the requests.
        :param writer: sends the responses.
        """
        machine = h11.Connection(h11.SERVER)
        while True:
            request, body = await read_request(machine, reader)
            if request is None:
                return
            target = request.target.decode('latin1')
            default_headers = self.signal_headers(target) | self.extra_headers
            response = ResponseWriter(machine, writer, default_headers)
            headers = tuple(
                (name.decode(), text.decode('latin1')) for name, text in request.headers
            )
            if not await self.answer(response, request.method.decode(), target, headers, body):
                return
            if machine.our_state is not h11.DONE:
                return
            machine.start_next_cycle()

    def signal_headers(self, target: str) -> dict[str, str]:
        """Return the headers in which the replica reports its state.

        :param target: path and query of the request.
        :return: headers.
        """
        headers = {names.SERVER_LEAVING: '1'} if self.stopping else {}
        names_limit = self.reports_limit or not target.startswith(names.REPORT_PATH)
        if self.limit_per_s is not None and names_limit:
            headers[names.SERVER_LIMIT] = str(self.limit_per_s)
        cold_ms = self.cold_ms()
        if cold_ms and (self.reports_cold or target.startswith(names.REPORT_PATH)):
            headers[names.COLD_MS] = str(cold_ms)
        return headers

    def cold_ms(self) -> int:
        """Return the time for which the replica stays cold.

        :return: milliseconds.
        """
        left_s = self.cold_until - asyncio.get_running_loop().time()
        return math.ceil(max(0, left_s) * MS_PER_S)

    async def answer(
        self,
        response: ResponseWriter,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> bool:
        """Respond to one request.

        :param response: writes the response.
        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers of the request.
        :param body: body of the request.
        :return: whether the connection can serve another request.
        """
        if self.engine is not None:
            management_response = answer_agent_call(self, self.engine, method, target, body)
            if management_response is not None:
                await response.send_response(*management_response)
                return True
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.segment_crashes is not None:
            self.segment_crashes.record_arrival(headers)
        refusal_status = self.refusal_status(headers)
        fault = self.faults.pop(0) if self.faults else self.fault
        if refusal_status is None and fault in REFUSALS:
            await asyncio.sleep(self.pause_s if fault is Fault.refuse_late else 0)
            refusal_status = HTTPStatus.SERVICE_UNAVAILABLE.value
        attempt = header(headers, names.ATTEMPT_ID)
        if refusal_status is not None:
            self.refused[attempt] += 1
            pause_s = self.refusal_retry_after_s if fault is Fault.ask_pause else None
            await response.send_response(refusal_status, refusal_headers(attempt, pause_s), b'')
            return True
        return await self.run(response, target, headers, fault)

    def refusal_status(self, headers: tuple[tuple[str, str], ...]) -> int | None:
        """Return the status with which a request must be refused.

        :param headers: headers of the request.
        :return: the HTTP status, None if the request can run.
        """
        if header(headers, names.EXPECTED_REPLICA, self.id) != self.id:
            return HTTPStatus.MISDIRECTED_REQUEST.value
        version = header(headers, names.EXPECTED_VERSION)
        if self.engine is not None and version not in {'', str(self.engine.version)}:
            return HTTPStatus.MISDIRECTED_REQUEST.value
        loading = self.engine is not None and self.engine.loading
        if loading or self.running >= self.slots + MAX_QUEUED_REQUESTS:
            return HTTPStatus.SERVICE_UNAVAILABLE.value
        return None

    async def run(
        self,
        response: ResponseWriter,
        target: str,
        headers: tuple[tuple[str, str], ...],
        fault: Fault,
    ) -> bool:
        """Execute a request.

        :param response: writes the response.
        :param target: path and query.
        :param headers: headers of the request.
        :param fault: the fault to inject.
        :return: whether the connection can serve another request.
        """
        attempt = header(headers, names.ATTEMPT_ID)
        after = int(header(headers, names.LAST_EVENT, '0'))
        version = self.engine.version if self.engine else 0
        organisation = header(headers, names.ORGANISATION)
        self.runs.append(ExecutedRequest(attempt, target, organisation, version, after))
        with self.count_running():
            if await self.crashes_by(headers, response):
                return False
            if self.engine is None:
                return await respond_plain(self, response, attempt, fault)
            return await respond_stream(self, response, attempt, after, fault)

    async def crashes_by(
        self, headers: tuple[tuple[str, str], ...], response: ResponseWriter
    ) -> bool:
        """Crash before the first part of the response to a request that crashes the replica.

        :param headers: headers of the request.
        :param response: writes the response; a request whose connection was closed is dropped.
        :return: whether the request crashed the replica or was dropped.
        """
        if self.segment_crashes is None or not self.segment_crashes.is_carried(headers):
            return False
        await asyncio.sleep(self.pause_s)
        if not response.writer.transport.is_closing():
            await self.segment_crashes.crash(self)
        return True

    @contextmanager
    def count_running(self) -> Iterator[None]:
        """Count a request as running within the context.

        :yield: nothing.
        """
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

    def report(self, engine: EngineWeights) -> dict[str, Any]:
        """Return the load report of the engine.

        :param engine: the weights.
        :return: JSON values.
        """
        return {
            'models': engine.models(),
            'layers': engine.layers(),
            'busy': engine.loading,
            'seq': engine.load_sequence,
            'waiting': max(0, self.running - self.slots),
            'running': min(self.running, self.slots),
            'pace': 1.0,
            'born': self.started_at_ms,
        }

    def order(self, engine: EngineWeights, order: dict[str, Any]) -> int:
        """Start to load the staged chunks as they are now.

        :param engine: the weights.
        :param order: the order, with the version and the sequence number that it expects.
        :return: the HTTP status.
        """
        status = engine.begin_load(order)
        if engine.loading and status == HTTPStatus.ACCEPTED:
            task = asyncio.create_task(self.load(engine, order['version']))
            task.add_done_callback(lambda _: None)
        return status

    async def load(self, engine: EngineWeights, version: int) -> None:
        """Load the chunks of the accepted order once all running requests have ended.

        :param engine: the weights.
        :param version: the version to load.
        """
        while self.running:
            await asyncio.sleep(0.005)
        await asyncio.sleep(engine.load_s)
        engine.finish_load(version)


__all__ = ('BackendStandin',)
