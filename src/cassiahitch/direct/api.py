"""What the direct path needs of its surroundings, and the requests that run on it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from cassiahitch.codes import HasRun

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cassiahitch.direct.placement.sizes import SizeRank
    from cassiahitch.direct.state.catalogue import Organisation, Route
    from cassiahitch.direct.state.feed import Reply
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.routing.suspects import Fingerprint
    from cassiahitch.stores.api import Committed, Condition, Conflicted, Write

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Generation:
    """What a request asks of a model engine, in tokens."""

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request as its caller sent it.

    ``headers`` are those to forward to the backend server. ``caller_timeout_s`` is how long the
    caller waits for the response, in seconds, None if it did not say. ``last_event_id`` is the
    id of the last event of a stream that the caller has already received.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    attempt_id: str
    key: str = ''
    caller_timeout_s: float | None = None
    generation: Generation | None = None
    last_event_id: str = ''

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class Destination:
    """Where one send goes; ``version`` is that of the weights, 0 if none is required.

    ``rank`` orders requests in the queue of an engine, 0 first.
    """

    replica: Replica
    remaining_s: float
    organisation: Organisation | None
    version: int = 0
    rank: int | None = None
    last_event_id: str = ''


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Start of an answer of a backend server.

    ``not_run`` tells that the request was not run and never will be, ``sealed`` that the answer
    carries the backend server's signature, ``length`` that of the body if it is stated.
    ``leaves`` tells that the backend server is about to end, ``pause_s`` for how many seconds it
    wants nothing, ``unreadable`` names headers that could not be read.
    """

    status: int
    reason: str
    headers: Headers
    attempt_id: str
    not_run: bool
    sealed: bool
    content_encoded: bool
    length: int | None = None
    idle_timeout_s: float | None = None
    closes_connection: bool = False
    stopping: bool = False
    pause_s: float | None = None
    invalid_headers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server gave a whole answer that is not a stream."""

    head: ResponseHead
    body: bytes


class RequestCodec(Protocol):
    """Reads requests of callers, writes those to backend servers and reads their answers."""

    def read_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Read a request; raises ``bad_request`` if it cannot be used."""

    def write_headers(self, request: CallerRequest, destination: Destination) -> Headers:
        """Return the headers of a request to a backend server."""

    def read_response(self, status: int, reason: str, headers: Headers) -> ResponseHead:
        """Read the start of an answer."""


class TableStore(Protocol):
    """Tables of rows whose changes can be followed."""

    async def read_all(self, table: str) -> Reply:
        """Read all rows of a table."""

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        """Wait for changes of a table after a version of the store."""

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> Committed | Conflicted:
        """Apply all writes if all conditions hold; raises ``PlatformError`` if it cannot."""


@dataclass(slots=True)
class Call:
    """A request on its way: what was decided for it, and its times in seconds.

    ``sends`` counts the backend servers that it was handed to, ``may_have_run`` tells that one of
    them took it and gave no whole answer. ``failure`` is a failed answer that is not passed on
    yet, and ``may_reuse_replica`` tells that the backend server that gave it may be asked again.
    ``size`` tells how large it is among those of its route.
    """

    request: CallerRequest
    arrived_at: float
    deadline: float = 0
    route: Route | None = None
    service: str = ''
    organisation: Organisation | None = None
    fingerprint: Fingerprint | None = None
    attempt_count: int = 0
    may_have_run: bool = False
    may_reuse_replica: bool = False
    failed_response: Answered | None = None
    avoided_replicas: set[str] = field(default_factory=set)
    size_rank: SizeRank | None = None

    @property
    def id(self) -> str:
        """Identifies the attempt of the caller."""
        return self.request.attempt_id

    @property
    def ran(self) -> HasRun:
        """Whether it has run, for an answer that is a failure."""
        return HasRun.unknown if self.may_have_run else HasRun.no

    def require_route(self) -> Route:
        """Return the route, which the first filter found.

        :return: the route.
        :raises LookupError: before that.
        """
        if self.route is None:
            raise LookupError('the request has no route yet')
        return self.route


def header(headers: Sequence[tuple[str, str]], name: str, default: str = '') -> str:
    """Return the first header of a name.

    :param headers: names and values.
    :param name: the name, in any case.
    :param default: what is returned without such a header.
    :return: its value.
    """
    wanted = name.lower()
    for own, value in headers:
        if own.lower() == wanted:
            return value
    return default


__all__ = (
    'ResponseHead',
    'Answered',
    'Call',
    'CallerRequest',
    'Destination',
    'Generation',
    'Headers',
    'RequestCodec',
    'TableStore',
    'header',
)
