"""Validation of requests against their service; sets deadline and priority."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError
from cassiahitch.resources.models import Service

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.controllers.configuration import Configuration
    from cassiahitch.requests.api import Proceed, Request, Response

#: Format of an idempotency key: 1 to 200 printable ASCII characters without spaces.
IDEMPOTENCY_KEY = re.compile(r'[\x21-\x7e]{1,200}')


@dataclass(frozen=True, slots=True)
class ValidationFilter:
    """Filter that refuses invalid requests."""

    configuration: Configuration
    clock: Clock
    max_body_bytes: int

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Validate a request.

        :param request: the request.
        :param proceed: the rest of the chain.
        :return: the response.
        :raises RequestError: ``unknown_service``, ``body_too_large`` or ``bad_request``.
        """
        service = self.configuration.resources.get(f'Service/{request.service}')
        if not isinstance(service, Service):
            raise RequestError(
                Code.unknown_service, f'there is no service {request.service}', HasRun.no
            )
        if len(request.body) > self.max_body_bytes:
            detail = f'body has {len(request.body)} bytes, the limit is {self.max_body_bytes}'
            raise RequestError(Code.body_too_large, detail, HasRun.no)
        self._check_form(request)
        request.idempotent = service.idempotent
        request.priority = service.priority
        timeout_s = min(request.timeout_s or service.deadline_s, service.deadline_s)
        request.deadline = self.clock.monotonic() + timeout_s
        return await proceed(request)

    def _check_form(self, request: Request) -> None:
        if request.timeout_s is not None and not request.timeout_s > 0:
            raise RequestError(Code.deadline_exceeded, 'the timeout is not above 0', HasRun.no)
        _check_keys(request)
        try:
            request.body.decode()
        except UnicodeDecodeError as error:
            raise RequestError(
                Code.bad_request, 'the body is not valid UTF-8', HasRun.no
            ) from error


def _check_keys(request: Request) -> None:
    if request.ticket and request.idempotency_key:
        detail = 'the request has both a ticket and an idempotency key'
        raise RequestError(Code.bad_request, detail, HasRun.no)
    key = request.idempotency_key
    if key and not IDEMPOTENCY_KEY.fullmatch(key):
        detail = 'the idempotency key is not 1 to 200 printable ASCII characters'
        raise RequestError(Code.bad_request, detail, HasRun.no)


__all__ = ('ValidationFilter',)
