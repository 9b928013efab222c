"""Mapping of result codes to HTTP statuses."""

from __future__ import annotations

from http import HTTPStatus
from types import MappingProxyType

from cassiahitch.codes import Code

_STATUSES = MappingProxyType(
    {
        Code.bad_request: HTTPStatus.BAD_REQUEST,
        Code.unauthorised: HTTPStatus.UNAUTHORIZED,
        Code.forbidden: HTTPStatus.FORBIDDEN,
        Code.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Code.unknown_service: HTTPStatus.NOT_FOUND,
        Code.not_found: HTTPStatus.NOT_FOUND,
        Code.deadline_exceeded: HTTPStatus.GATEWAY_TIMEOUT,
        Code.organisation_limit: HTTPStatus.TOO_MANY_REQUESTS,
        Code.poison_refused: HTTPStatus.UNPROCESSABLE_ENTITY,
        Code.key_reused: HTTPStatus.UNPROCESSABLE_ENTITY,
        Code.key_expired: HTTPStatus.GONE,
        Code.ticket_invalid: HTTPStatus.BAD_REQUEST,
        Code.ticket_voided: HTTPStatus.CONFLICT,
        Code.request_in_progress: HTTPStatus.CONFLICT,
        Code.resource_invalid: HTTPStatus.UNPROCESSABLE_ENTITY,
        Code.resource_missing: HTTPStatus.NOT_FOUND,
        Code.revision_conflict: HTTPStatus.PRECONDITION_FAILED,
        Code.resource_exists: HTTPStatus.PRECONDITION_FAILED,
        Code.resource_in_use: HTTPStatus.CONFLICT,
        Code.precondition_missing: HTTPStatus.PRECONDITION_REQUIRED,
        Code.unknown_kind: HTTPStatus.NOT_FOUND,
        Code.watch_too_old: HTTPStatus.GONE,
        Code.internal: HTTPStatus.INTERNAL_SERVER_ERROR,
    },
)


def http_status(code: Code) -> int:
    """Return the HTTP status of a code.

    :param code: the code.
    :return: the status; 503 for codes that are not mapped.
    """
    return _STATUSES.get(code, HTTPStatus.SERVICE_UNAVAILABLE).value


__all__ = ('http_status',)
