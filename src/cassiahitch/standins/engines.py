"""Stand-ins of backend servers: a model engine and a plain sequence service."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import asdict, dataclass, field

from tornado.http1connection import HTTP1Connection
from tornado.web import Finish

from cassiahitch.engine.api import EngineState
from cassiahitch.standins.http import StandInHandler, StandInServer

HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
#: Number of parts in which an engine sends a response.
RESPONSE_PARTS = 4


def engine_response(digest: str, body: bytes) -> bytes:
    """Return the response of an engine to a request, which depends on the loaded weights.

    :param digest: digest of the loaded weights.
    :param body: body of the request.
    :return: UTF-8 text.
    """
    fingerprint = hashlib.sha256(digest.encode() + body).hexdigest()
    return f'draft {fingerprint} of {body.decode(errors="replace")}'.encode()


@dataclass(slots=True)
class ModelEngineStandin:
    """A model engine; without ``checks_fencing`` it accepts outdated fencing numbers.

    ``step_s`` is the time between two parts of a response. A request whose body contains ``poison``
    crashes the engine, which restarts after ``restart_s``.
    """

    checks_fencing: bool = True
    step_s: float = 0.005
    load_s: float = 0.05
    digest: str = ''
    load_epoch: int = 0
    running: int = 0
    highest_fencing_number: int = 0
    loading: bool = False
    runs: Counter[str] = field(default_factory=Counter)
    cancelled: set[str] = field(default_factory=set)
    poison: str = ''
    restart_s: float = 0.3
    crashes: int = 0
    down: bool = False

    def crash(self) -> None:
        """Abort all requests and refuse connections until the restart."""
        self.crashes += 1
        self.down = True
        asyncio.get_running_loop().call_later(self.restart_s, self._restart)

    def _restart(self) -> None:
        self.down = False

    def state(self) -> EngineState:
        """Return the loaded version and the number of running requests.

        :return: the state.
        """
        return EngineState(self.digest, self.load_epoch, self.running, queued=0)

    @contextmanager
    def run(self) -> Iterator[None]:
        """Count a request as running within the context.

        :yield: nothing.
        """
        with ExitStack() as stack:
            self.running += 1
            stack.callback(self._end_run)
            yield

    def _end_run(self) -> None:
        self.running -= 1

    async def load(self, digest: str, fencing_number: int) -> bool:
        """Load a version.

        :param digest: digest of the version.
        :param fencing_number: fencing number of the order.
        :return: whether the order was accepted.
        """
        if self.checks_fencing and fencing_number < self.highest_fencing_number:
            return False
        self.highest_fencing_number = max(fencing_number, self.highest_fencing_number)
        self.loading = True
        await asyncio.sleep(self.load_s)
        self.digest = digest
        self.load_epoch += 1
        self.loading = False
        return True


@dataclass(slots=True)
class SequenceStandin:
    """A plain service that issues the next number of a sequence; not idempotent."""

    issued: int = 0
    delay_s: float = 0
    running: int = 0
    runs: Counter[str] = field(default_factory=Counter)

    async def run(self, request_id: str) -> int:
        """Issue the next number after a delay.

        :param request_id: hexadecimal request id.
        :return: the number.
        """
        self.running += 1
        number = self.issue(request_id)
        await asyncio.sleep(self.delay_s)
        self.running -= 1
        return number

    def issue(self, request_id: str) -> int:
        """Issue the next number.

        :param request_id: hexadecimal request id.
        :return: the number.
        """
        self.runs[request_id] += 1
        self.issued += 1
        return self.issued


class EngineHandler(StandInHandler):
    """Base of the handlers of an engine; closes every connection while the engine is down."""

    target: ModelEngineStandin

    def prepare(self) -> None:
        """Close the connection while the engine is down."""
        if self.target.down:
            self.close_connection()

    def close_connection(self) -> None:
        """Close the connection without a response.

        :raises Finish: always.
        """
        connection = self.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.stream.close()
        raise Finish


class EngineStateHandler(EngineHandler):
    """Serves the state of an engine."""

    target: ModelEngineStandin

    def get(self) -> None:
        """Return the state."""
        self.write(asdict(self.target.state()))


class EngineLoadHandler(EngineHandler):
    """Handles orders to load a version."""

    target: ModelEngineStandin

    async def post(self) -> None:
        """Load a version."""
        order = json.loads(self.request.body)
        if not await self.target.load(order['digest'], order['fencing_number']):
            self.set_status(HTTP_CONFLICT)
            return
        self.write(asdict(self.target.state()))


class EngineGenerateHandler(EngineHandler):
    """Executes requests."""

    target: ModelEngineStandin

    async def post(self) -> None:
        """Execute a request and send the response in parts."""
        if self.target.loading or not self.target.digest:
            self.set_status(HTTP_UNAVAILABLE)
            return
        order = json.loads(self.request.body)
        self.target.runs[order['request_id']] += 1
        if self.target.poison and self.target.poison in order['body']:
            self.target.crash()
            self.close_connection()
        response = engine_response(self.target.digest, order['body'].encode())
        with self.target.run():
            await self._send(response, order['request_id'])

    async def _send(self, response: bytes, request_id: str) -> None:
        size = len(response) // RESPONSE_PARTS + 1
        crashes = self.target.crashes
        text = response.decode()
        for start in range(0, len(text), size):
            await asyncio.sleep(self.target.step_s)
            if self.target.crashes != crashes:
                self.close_connection()
            if request_id in self.target.cancelled:
                return
            self._write_line({'text': text[start : start + size]})
            self.flush()
        self._write_line({'length': len(response)})

    def _write_line(self, part: dict[str, str | int]) -> None:
        self.write(f'{json.dumps(part)}\n')


class EngineCancelHandler(StandInHandler):
    """Cancels requests."""

    target: ModelEngineStandin

    def post(self, request_id: str) -> None:
        """Cancel a request.

        :param request_id: hexadecimal request id.
        """
        self.target.cancelled.add(request_id)


class EngineCacheHandler(StandInHandler):
    """Serves the cache events, of which this engine has none."""

    def get(self) -> None:
        """Return an empty list."""
        self.write(json.dumps([]))


class PlainStateHandler(StandInHandler):
    """Serves the state of a plain service, which has no weights."""

    def get(self) -> None:
        """Return the state."""
        self.write(asdict(EngineState(digest='', load_epoch=0, running=0, queued=0)))


class SequenceHandler(StandInHandler):
    """Issues numbers of the sequence."""

    target: SequenceStandin

    async def post(self) -> None:
        """Issue the next number."""
        order = json.loads(self.request.body)
        text = str(await self.target.run(order['request_id']))
        self.write(f'{json.dumps({"text": text})}\n{json.dumps({"length": len(text)})}\n')


def serve_engine(engine: ModelEngineStandin) -> StandInServer:
    """Serve a model engine over HTTP.

    :param engine: the engine.
    :return: the running server.
    """
    routes = [
        ('/v1/state', EngineStateHandler),
        ('/v1/load', EngineLoadHandler),
        ('/v1/generate', EngineGenerateHandler),
        (r'/v1/cancel/(\w+)', EngineCancelHandler),
        ('/v1/cache-events', EngineCacheHandler),
    ]
    return StandInServer(routes, engine)


def serve_sequence(service: SequenceStandin) -> StandInServer:
    """Serve a sequence service over HTTP.

    :param service: the service.
    :return: the running server.
    """
    routes = [('/v1/state', PlainStateHandler), ('/v1/generate', SequenceHandler)]
    return StandInServer(routes, service)


__all__ = (
    'SequenceStandin',
    'ModelEngineStandin',
    'engine_response',
    'serve_engine',
    'serve_sequence',
)
