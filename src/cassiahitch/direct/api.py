"""Types of requests and responses, and the interfaces that the platform implements for them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

from cassiahitch.codes import HasRun

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cassiahitch.direct.placement.sizes import SizeRank
    from cassiahitch.direct.state.catalogue import Organisation, Route
    from cassiahitch.direct.state.eras import StoreEra
    from cassiahitch.direct.state.feed import Reply
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.routing.suspects import Fingerprint
    from cassiahitch.stores.api import CommitConflict, CommitSuccess, Condition, Row, Write

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Generation:
    """The size of a request to a model engine, in tokens.

    ``shared_segments`` holds the ids of the segments of its prompt that other requests may have as
    well; the last segment of a prompt is not among them.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    shared_segments: tuple[str, ...] = ()


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
        """The target without its query string."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class Destination:
    """The replica that one attempt of a request is sent to.

    ``remaining_s`` is the time left until the deadline of the request. ``version`` is the version
    of the weights that the replica must have, 0 for any. ``rank`` orders requests in the queue of
    an engine, lowest first. ``last_event_id`` is the id of the last event of a stream that the
    caller has received.
    """

    replica: Replica
    remaining_s: float
    organisation: Organisation | None
    version: int = 0
    rank: int | None = None
    last_event_id: str = ''


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a response of a backend server.

    ``not_run`` is set if the request was not run and never will be, ``sealed`` if the backend
    server has signed the response, ``content_encoded`` if the body has a content encoding.
    ``length`` is the stated length of the body in bytes. ``idle_timeout_s`` is how long the
    backend server keeps an idle connection, and ``closes_connection`` is set if it closes it after
    this response. ``stopping`` is set if the backend server announces its shutdown. ``pause_s`` is
    the time for which it asks for no new requests. ``limit_per_s`` is the rate of requests that it
    accepts from all entries together, infinity if it names no limit and None if that is unknown.
    ``cold_s`` is the time for which it stays cold.
    ``invalid_headers`` names headers that could not be parsed. ``close_delimited`` is set if the
    body has neither chunks nor a length, so that it ends with its connection.
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
    limit_per_s: float | None = math.inf
    cold_s: float = 0
    invalid_headers: tuple[str, ...] = ()
    close_delimited: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete response of a backend server that is not a stream."""

    head: ResponseHead
    body: bytes


class RequestCodec(Protocol):
    """Parses requests of callers and responses, and writes the headers for backend servers."""

    def read_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Parse a request; raises ``bad_request`` if it is invalid."""

    def write_headers(self, request: CallerRequest, destination: Destination) -> Headers:
        """Return the headers of an attempt at a backend server."""

    def read_response(self, status: int, reason: str, headers: Headers) -> ResponseHead:
        """Parse the head of a response."""


class TableStore(Protocol):
    """The store: versioned tables of rows.

    ``era`` is the latest era of the store that one of its responses has named.
    """

    @property
    def era(self) -> StoreEra:
        """Latest era of the store that this process knows."""

    async def read_all(self, table: str) -> Reply:
        """Read all rows of a table."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist; raises ``store_unavailable``."""

    async def read_changes(self, table: str, since: int, wait_s: float) -> Reply:
        """Return changes of a table after version ``since``; waits up to ``wait_s`` for one."""

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> CommitSuccess | CommitConflict:
        """Apply all writes if all conditions hold; raises ``PlatformError`` if it cannot."""


@dataclass(slots=True)
class Call:
    """The state of a request while it is served; all times are seconds of the loop's clock.

    ``attempt_count`` is the number of backend servers that it was sent to. ``may_have_run`` is set
    if one of them received it and sent no complete response. ``avoided_replicas`` has the keys of
    replicas that it should not be sent to again. ``failed_response`` is an error response that
    was not forwarded because of a retry; ``may_reuse_replica`` is set if the replica that sent it
    may be tried again. ``size_rank`` is its size among the requests of its route.
    ``has_begun`` is set once a replica has sent the first event or the complete response.
    ``is_trial`` is set if it tests whether a segment of its prompt still crashes engines.
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
    has_begun: bool = False
    is_trial: bool = False

    @property
    def id(self) -> str:
        """Id of this attempt of the caller, by which log lines name the request."""
        return self.request.attempt_id

    @property
    def ran(self) -> HasRun:
        """Whether it has run, as an error response states it."""
        return HasRun.unknown if self.may_have_run else HasRun.no

    @property
    def shared_segments(self) -> tuple[str, ...]:
        """Ids of the segments of its prompt that other requests may have as well."""
        generation = self.request.generation
        return generation.shared_segments if generation else ()

    def without_content(self) -> Call:
        """Return a copy that can be kept after the request has ended.

        :return: a copy without headers, body and failed response.
        """
        request = replace(self.request, headers=(), body=b'')
        return replace(self, request=request, failed_response=None)

    def require_route(self) -> Route:
        """Return the route.

        :return: the route.
        :raises LookupError: if the route is not resolved yet.
        """
        if self.route is None:
            raise LookupError('the route of the request is not resolved yet')
        return self.route


def header(headers: Sequence[tuple[str, str]], name: str, default: str = '') -> str:
    """Return the value of the first header with a name.

    :param headers: names and values.
    :param name: name of the header; its case does not matter.
    :param default: returned if there is no such header.
    :return: the value.
    """
    lowered = name.lower()
    for header_name, value in headers:
        if header_name.lower() == lowered:
            return value
    return default


__all__ = (
    'Answered',
    'Call',
    'CallerRequest',
    'Destination',
    'Generation',
    'Headers',
    'RequestCodec',
    'ResponseHead',
    'TableStore',
    'header',
)
