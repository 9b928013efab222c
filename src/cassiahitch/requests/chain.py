"""Assembly of the filter chain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.requests.api import Filter, Proceed, Request, Response


@dataclass(frozen=True, slots=True)
class Step:
    """A filter, bound to the rest of the chain."""

    filter: Filter
    proceed: Proceed

    async def __call__(self, request: Request) -> Response:
        """Pass a request to the filter.

        :param request: the request.
        :return: the response.
        """
        return await self.filter.handle(request, self.proceed)


async def refuse_unhandled(request: Request) -> Response:
    """Refuse a request that no filter handled.

    :param request: the request.
    :raises RequestError: ``internal``.
    """
    raise RequestError(Code.internal, f'no filter handled request {request.id}', HasRun.no)


def build_chain(filters: tuple[Filter, ...]) -> Proceed:
    """Build the chain of filters.

    :param filters: filters in the order in which they handle a request.
    :return: the entry point of the chain.
    """
    proceed: Proceed = refuse_unhandled
    for request_filter in reversed(filters):
        proceed = Step(request_filter, proceed)
    return proceed


__all__ = (
    'Step',
    'build_chain',
)
