"""The filter chain that a request passes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.requests.api import Filter, Proceed, Request, Response


@dataclass(frozen=True, slots=True)
class Step:
    """A filter and the rest of the chain behind it."""

    filter: Filter
    proceed: Proceed

    async def __call__(self, request: Request) -> Response:
        """Pass a request through the filter.

        :param request: the request.
        :return: the answer.
        """
        return await self.filter.handle(request, self.proceed)


async def refuse_unanswered(request: Request) -> Response:
    """Refuse a request that no filter answered.

    :param request: the request.
    :raises RequestError: ``internal``.
    """
    raise RequestError(Code.internal, f'no filter answered {request.id}', Ran.no)


def build_chain(filters: tuple[Filter, ...]) -> Proceed:
    """Join filters.

    :param filters: the first one sees a request first.
    :return: passes a request through all of them.
    """
    proceed: Proceed = refuse_unanswered
    for step in reversed(filters):
        proceed = Step(step, proceed)
    return proceed


__all__ = (
    'Step',
    'build_chain',
)
