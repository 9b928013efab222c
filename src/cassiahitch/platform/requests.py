"""Translation of the platform's headers in requests and responses."""

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
#: Status of a backend server that is not the one the request is for.
MISDIRECTED = 421
RETRY_AFTER = 'Retry-After'
#: Valid values of the ``Server-Leaving`` header; it is empty if the header is absent.
SERVER_LEAVING_VALUES = MappingProxyType({'': False, '0': False, '1': True})
#: Accepted decimal numbers in a header; signs, exponents and HTTP dates are not accepted.
DECIMAL_PATTERN = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
#: Accepted entries of the header that lists the segments of a prompt.
SEGMENT_PATTERN = re.compile(r'([0-9a-fA-F]{1,64}):[0-9]{1,9}')
#: Shared segments of a prompt that are kept, which is more than a head of 16 KiB can name.
MAX_SHARED_SEGMENTS = 4_096
#: Hop-by-hop headers, which are not forwarded, in lower case.
HOP_BY_HOP_HEADERS = frozenset(
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
#: Headers of the caller that are replaced for the backend server, in lower case.
REPLACED_HEADERS = frozenset(
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
#: Headers that are forwarded even if a ``Connection`` header names them, in lower case.
FORWARDED_HEADERS = frozenset(
    name.lower()
    for name in (
        'Host',
        names.ATTEMPT_ID,
        names.MODEL,
        names.TOKEN_COUNTS,
        names.EXPECTED_TOKENS,
        names.PROMPT_SEGMENTS,
    )
)


class PlatformRequests:
    """Translates requests and responses; stateless."""

    def read_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Parse a request of a caller.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: all headers.
        :param body: the complete body.
        :return: the request.
        :raises RequestError: ``bad_request`` if the attempt identifier is missing or a number is
            invalid.
        """
        attempt_id = header(headers, names.ATTEMPT_ID)
        if not attempt_id:
            raise RequestError(Code.bad_request, 'the attempt id header is missing', HasRun.no)
        return CallerRequest(
            method=method,
            target=target,
            host=header(headers, 'Host'),
            headers=_forwarded(headers),
            body=body,
            attempt_id=attempt_id,
            key=header(headers, names.API_KEY),
            caller_timeout_s=_caller_timeout_s(header(headers, names.DEADLINE_MS)),
            generation=_parse_generation(headers),
            last_event_id=header(headers, names.LAST_EVENT),
        )

    def write_headers(self, request: CallerRequest, destination: Destination) -> Headers:
        """Return the headers of a request to a backend server.

        :param request: request of the caller.
        :param destination: replica that the request is sent to.
        :return: all headers except the hop-by-hop ones.
        """
        remaining_ms = max(1, int(destination.remaining_s * MS_PER_S))
        replaced = [
            (names.DEADLINE_MS, str(remaining_ms)),
            (names.EXPECTED_REPLICA, destination.replica.id),
        ]
        if destination.organisation is not None:
            replaced.append((names.ORGANISATION, destination.organisation.name))
        if destination.version:
            replaced.append((names.EXPECTED_VERSION, str(destination.version)))
        if destination.rank is not None:
            replaced.append((names.QUEUE_RANK, str(destination.rank)))
        last_event_id = destination.last_event_id or request.last_event_id
        if last_event_id:
            replaced.append((names.LAST_EVENT, last_event_id))
        return (*request.headers, *replaced)

    def read_response(self, status: int, reason: str, headers: Headers) -> ResponseHead:
        """Parse the head of a response of a backend server.

        :param status: status code.
        :param reason: reason phrase of the status line.
        :param headers: all headers.
        :return: the parsed head.
        """
        length = header(headers, 'Content-Length')
        stopping = read_server_leaving(headers)
        pause_s = (
            _parse_decimal(headers, RETRY_AFTER, 0)
            if status == HTTPStatus.SERVICE_UNAVAILABLE
            else 0
        )
        limit_per_s = read_server_limit(headers)
        cold_s = read_cold_s(headers)
        invalid_headers = (
            (names.SERVER_LEAVING, stopping is None),
            (RETRY_AFTER, pause_s is None),
            (names.SERVER_LIMIT, limit_per_s is None),
            (names.COLD_MS, cold_s is None),
        )
        return ResponseHead(
            status=status,
            reason=reason,
            headers=_forwarded(headers),
            attempt_id=header(headers, names.ATTEMPT_ID),
            not_run=bool(header(headers, names.NOT_EXECUTED)) or status == MISDIRECTED,
            sealed=bool(header(headers, names.RESPONSE_SEAL)),
            content_encoded=header(headers, 'Content-Encoding', 'identity').lower() != 'identity',
            length=int(length) if length.isdigit() else None,
            idle_timeout_s=_parse_idle_timeout_s(header(headers, 'Keep-Alive')),
            closes_connection='close' in header(headers, 'Connection').lower(),
            stopping=bool(stopping),
            pause_s=pause_s or None,
            limit_per_s=limit_per_s,
            cold_s=cold_s or 0,
            invalid_headers=tuple(name for name, is_invalid in invalid_headers if is_invalid),
        )


def read_server_leaving(headers: Headers) -> bool | None:
    """Return whether a backend server reports that it is stopping.

    :param headers: headers of any response of the backend server.
    :return: whether it is stopping, ``None`` if the value of the header is invalid.
    """
    return SERVER_LEAVING_VALUES.get(','.join(_values(headers, names.SERVER_LEAVING)))


def read_server_limit(headers: Headers) -> float | None:
    """Return the rate limit that a backend server names.

    :param headers: headers of any response of the backend server.
    :return: requests per second over all hosts, infinity if it names no limit, ``None`` if the
        value of the header is invalid.
    """
    return _parse_decimal(headers, names.SERVER_LIMIT, math.inf)


def read_cold_s(headers: Headers) -> float | None:
    """Return how long a backend server stays cold.

    :param headers: headers of any response of the backend server.
    :return: seconds, 0 if it reports none, ``None`` if the value of the header is invalid.
    """
    cold_ms = _parse_decimal(headers, names.COLD_MS, 0)
    return None if cold_ms is None else cold_ms / MS_PER_S


def _parse_decimal(headers: Headers, name: str, default: float) -> float | None:
    values = _values(headers, name)
    if not values:
        return default
    return float(values[0]) if len(values) == 1 and DECIMAL_PATTERN.fullmatch(values[0]) else None


def _values(headers: Headers, name: str) -> list[str]:
    return [value.strip() for header_name, value in headers if header_name.lower() == name.lower()]


def _forwarded(headers: Headers) -> Headers:
    hop_by_hop = {name.strip().lower() for name in header(headers, 'Connection').split(',')}
    dropped = HOP_BY_HOP_HEADERS | REPLACED_HEADERS | (hop_by_hop - FORWARDED_HEADERS)
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)


def _caller_timeout_s(text: str) -> float | None:
    if not text:
        return None
    try:
        return max(0, _parse_finite(text) / MS_PER_S)
    except ValueError:
        raise RequestError(
            Code.bad_request, 'the deadline header is not a number', HasRun.no
        ) from None


def _parse_finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(text)
    return number


def _parse_count(text: str) -> int:
    number = int(_parse_finite(text))
    if not 0 <= number <= MAX_INT32:
        raise ValueError(text)
    return number


def _parse_generation(headers: Headers) -> Generation | None:
    model = header(headers, names.MODEL)
    if not model:
        return None
    prompt, _, max_output = header(headers, names.TOKEN_COUNTS, '0,0').partition(',')
    expected = header(headers, names.EXPECTED_TOKENS, max_output or '0')
    try:
        return Generation(
            model,
            _parse_count(prompt),
            _parse_count(max_output or '0'),
            _parse_count(expected),
            _shared_segments(headers),
        )
    except ValueError:
        raise RequestError(
            Code.bad_request, 'a number of tokens in the headers is invalid', HasRun.no
        ) from None


def _shared_segments(headers: Headers) -> tuple[str, ...]:
    """Return the ids of all segments but the last one, without repeats and invalid entries."""
    *shared, _ = header(headers, names.PROMPT_SEGMENTS).split(',')
    matches = (SEGMENT_PATTERN.fullmatch(entry.strip()) for entry in shared[:MAX_SHARED_SEGMENTS])
    return tuple(dict.fromkeys(match[1].lower() for match in matches if match))


def _parse_idle_timeout_s(keep_alive: str) -> float | None:
    for part in keep_alive.split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout' and DECIMAL_PATTERN.fullmatch(seconds):
            return float(seconds)
    return None


__all__ = (
    'PlatformRequests',
    'read_cold_s',
    'read_server_leaving',
    'read_server_limit',
)
