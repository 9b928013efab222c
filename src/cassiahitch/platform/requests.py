"""Headers of requests and answers, as callers and backend servers of the platform use them."""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from types import MappingProxyType

from cassiahitch.codes import Code, HasRun
from cassiahitch.direct.api import (
    CallerRequest,
    Destination,
    Generation,
    Headers,
    ResponseHead,
    header,
)
from cassiahitch.errors import RequestError
from cassiahitch.platform import names
from cassiahitch.wire.structs import MAX_INT32

MS_PER_S = 1000
#: Status of a backend server at whose address the request is not meant to be.
MISDIRECTED = 421
RETRY_AFTER = 'Retry-After'
#: What the header of a backend server that leaves may hold.
LEAVING_VALUES = MappingProxyType({'': False, '0': False, '1': True})
#: Seconds that a backend server may ask for, with a fraction; dates are not among them.
SECONDS = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
#: Headers that concern only one connection, in lower case.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
#: Headers that are written anew for the backend server, in lower case.
OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        names.API_KEY,
        names.ORGANISATION,
        names.DEADLINE_MS,
        names.EXPECTED_REPLICA,
        names.EXPECTED_VERSION,
        names.QUEUE_RANK,
        names.LAST_EVENT,
    )
)
#: Headers that no ``Connection`` header of a caller removes, in lower case.
KEPT_HEADERS = frozenset(
    name.lower()
    for name in (
        'Host',
        names.ATTEMPT_ID,
        names.MODEL,
        names.TOKEN_COUNTS,
        names.EXPECTED_TOKENS,
        'X-Cassiahitch-Prompt-Prefix',
    )
)


class PlatformRequests:
    """Translates requests and answers; holds no state."""

    def read_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Read a request of a caller.

        :param method: the method.
        :param target: path and query.
        :param headers: all headers.
        :param body: the whole body.
        :return: the request.
        :raises RequestError: ``bad_request`` if it has no id or a wrong number.
        """
        attempt_id = header(headers, names.ATTEMPT_ID)
        if not attempt_id:
            raise RequestError(Code.bad_request, 'the request has no id', HasRun.no)
        return CallerRequest(
            method=method,
            target=target,
            host=header(headers, 'Host'),
            headers=_passed_on(headers),
            body=body,
            attempt_id=attempt_id,
            key=header(headers, names.API_KEY),
            caller_timeout_s=_patience_s(header(headers, names.DEADLINE_MS)),
            generation=_generation(headers),
            last_event_id=header(headers, names.LAST_EVENT),
        )

    def write_headers(self, request: CallerRequest, destination: Destination) -> Headers:
        """Return the headers of a request to a backend server.

        :param request: the caller's request.
        :param destination: where it goes.
        :return: all headers but those of the connection.
        """
        left_ms = max(1, int(destination.remaining_s * MS_PER_S))
        own = [
            (names.DEADLINE_MS, str(left_ms)),
            (names.EXPECTED_REPLICA, destination.replica.id),
        ]
        if destination.organisation is not None:
            own.append((names.ORGANISATION, destination.organisation.name))
        if destination.version:
            own.append((names.EXPECTED_VERSION, str(destination.version)))
        if destination.rank is not None:
            own.append((names.QUEUE_RANK, str(destination.rank)))
        last_event_id = destination.last_event_id or request.last_event_id
        if last_event_id:
            own.append((names.LAST_EVENT, last_event_id))
        return (*request.headers, *own)

    def read_response(self, status: int, reason: str, headers: Headers) -> ResponseHead:
        """Read the start of an answer of a backend server.

        :param status: its status.
        :param reason: the reason that it gives.
        :param headers: all headers.
        :return: what they say.
        """
        length = header(headers, 'Content-Length')
        stopping = read_server_leaving(headers)
        pause_s = _pause_s(headers) if status == HTTPStatus.SERVICE_UNAVAILABLE else 0
        invalid_headers = ((names.SERVER_LEAVING, stopping is None), (RETRY_AFTER, pause_s is None))
        return ResponseHead(
            status=status,
            reason=reason,
            headers=_passed_on(headers),
            attempt_id=header(headers, names.ATTEMPT_ID),
            not_run=bool(header(headers, names.NOT_EXECUTED)) or status == MISDIRECTED,
            sealed=bool(header(headers, names.RESPONSE_SEAL)),
            content_encoded=header(headers, 'Content-Encoding', 'identity').lower() != 'identity',
            length=int(length) if length.isdigit() else None,
            idle_timeout_s=_idle_s(header(headers, 'Keep-Alive')),
            closes_connection='close' in header(headers, 'Connection').lower(),
            stopping=bool(stopping),
            pause_s=pause_s or None,
            invalid_headers=tuple(name for name, is_bad in invalid_headers if is_bad),
        )


def read_server_leaving(headers: Headers) -> bool | None:
    """Tell whether a backend server says that it leaves.

    :param headers: headers of any answer of it.
    :return: whether it does; nothing if what it says cannot be read.
    """
    return LEAVING_VALUES.get(','.join(_values(headers, names.SERVER_LEAVING)))


def _pause_s(headers: Headers) -> float | None:
    values = _values(headers, RETRY_AFTER)
    if not values:
        return 0
    return float(values[0]) if len(values) == 1 and SECONDS.fullmatch(values[0]) else None


def _values(headers: Headers, name: str) -> list[str]:
    return [value.strip() for own, value in headers if own.lower() == name.lower()]


def _passed_on(headers: Headers) -> Headers:
    named = {name.strip().lower() for name in header(headers, 'Connection').split(',')}
    dropped = CONNECTION_HEADERS | OWN_HEADERS | (named - KEPT_HEADERS)
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)


def _patience_s(text: str) -> float | None:
    if not text:
        return None
    try:
        return max(0, _finite(text) / MS_PER_S)
    except ValueError:
        raise RequestError(Code.bad_request, 'the deadline is not a number', HasRun.no) from None


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(text)
    return number


def _count(text: str) -> int:
    number = int(_finite(text))
    if not 0 <= number <= MAX_INT32:
        raise ValueError(text)
    return number


def _generation(headers: Headers) -> Generation | None:
    model = header(headers, names.MODEL)
    if not model:
        return None
    prompt, _, longest = header(headers, names.TOKEN_COUNTS, '0,0').partition(',')
    expected = header(headers, names.EXPECTED_TOKENS, longest or '0')
    try:
        return Generation(model, _count(prompt), _count(longest or '0'), _count(expected))
    except ValueError:
        raise RequestError(Code.bad_request, 'a token count is not a count', HasRun.no) from None


def _idle_s(keep_alive: str) -> float | None:
    for part in keep_alive.split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout' and SECONDS.fullmatch(seconds):
            return float(seconds)
    return None


__all__ = (
    'PlatformRequests',
    'read_server_leaving',
)
