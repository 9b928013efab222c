"""Builds the responses to requests that failed."""

from __future__ import annotations

import json
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.direct.api import Headers, RequestCodec
    from cassiahitch.direct.callers.incomingrequest import IncomingRequest

#: Statuses of client errors; all other requests that have not run get 503.
_STATUSES = MappingProxyType(
    {
        Code.bad_request: HTTPStatus.BAD_REQUEST,
        Code.unauthorised: HTTPStatus.UNAUTHORIZED,
        Code.not_found: HTTPStatus.NOT_FOUND,
        Code.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Code.header_too_large: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    }
)


def request_id_of(codec: RequestCodec, incoming: IncomingRequest) -> str:
    """Return the id of a request that was not parsed yet.

    :param codec: parses the request.
    :param incoming: what was received of it.
    :return: its id, empty if it is invalid.
    """
    try:
        read = codec.read_request(incoming.method, incoming.target, incoming.headers, incoming.body)
    except RequestError:
        return ''
    return read.attempt_id


def error_status(error: RequestError) -> HTTPStatus:
    """Return the HTTP status of an error.

    500, 502 and 504 leave open whether the request has run; all other statuses mean that it has
    not.

    :param error: the error.
    :return: the status.
    """
    if error.code is Code.internal:
        return HTTPStatus.INTERNAL_SERVER_ERROR
    if error.ran is not HasRun.no:
        timed_out = error.code is Code.deadline_exceeded
        return HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY
    return _STATUSES.get(error.code, HTTPStatus.SERVICE_UNAVAILABLE)


def error_response(error: RequestError) -> tuple[int, str, Headers, bytes]:
    """Return the response to a request that failed.

    :param error: the error.
    :return: status, reason, headers and body.
    """
    status = error_status(error)
    headers: list[tuple[str, str]] = [('Content-Type', 'application/json')]
    if error.retry_after_s is not None and error.ran is HasRun.no:
        headers.append(('Retry-After', f'{error.retry_after_s:.2f}'))
    document = {
        'code': error.code.value,
        'name': error.code.name,
        'detail': error.detail,
        'ran': error.ran.value,
    }
    return status.value, status.phrase, tuple(headers), json.dumps(document).encode()


def raw_error_response(error: RequestError) -> bytes:
    """Return the bytes of an error response after which the connection is closed.

    :param error: the error.
    :return: the complete response.
    """
    status, reason, headers, body = error_response(error)
    closing = (('Content-Length', str(len(body))), ('Connection', 'close'))
    lines = (
        f'HTTP/1.1 {status} {reason}',
        *(f'{name}: {text}' for name, text in (*headers, *closing)),
    )
    head = ''.join(f'{line}\r\n' for line in lines)
    return f'{head}\r\n'.encode('latin1') + body


__all__ = (
    'error_response',
    'error_status',
    'raw_error_response',
    'request_id_of',
)
