"""Enforcement of organisation limits, which hold over all entries together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError
from cassiahitch.limits.organisations import OverLimit
from cassiahitch.resources.models import Organisation

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.controllers.configuration import Configuration
    from cassiahitch.limits.division import LimitRegistry
    from cassiahitch.requests.api import Proceed, Request, Response


@dataclass(frozen=True, slots=True)
class LimitFilter:
    """Filter that refuses requests over the limit of their organisation."""

    configuration: Configuration
    clock: Clock
    registry: LimitRegistry

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Check a request against the limit of its organisation.

        :param request: the request.
        :param proceed: the rest of the chain.
        :return: the response.
        :raises RequestError: ``organisation_limit``.
        """
        organisation = self.configuration.resources.get(f'Organisation/{request.organisation}')
        if isinstance(organisation, Organisation):
            limit_per_s = organisation.requests_per_s
            decision = self.registry.admit(organisation.name, limit_per_s, self.clock.monotonic())
            if isinstance(decision, OverLimit):
                detail = (
                    f'{organisation.name} is over its limit of {limit_per_s} requests per second'
                )
                code = Code.organisation_limit
                raise RequestError(code, detail, HasRun.no, decision.retry_after_s)
        return await proceed(request)


__all__ = ('LimitFilter',)
