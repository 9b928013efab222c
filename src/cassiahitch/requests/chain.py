"""The filter chain that a request passes."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
from cassiahitch.errors import RequestError

if TYPE_CHECKING:
    from cassiahitch.requests.api import Answered, Filter, Proceed, Request


async def _end(request: Request) -> Answered:
    raise RequestError(Code.internal, f'no filter answered {request.id}', Ran.no)


def build_chain(filters: tuple[Filter, ...]) -> Proceed:
    """Join filters.

    :param filters: the first one sees a request first.
    :return: passes a request through all of them.
    """
    proceed: Proceed = _end
    for step in reversed(filters):
        proceed = partial(step.handle, proceed=proceed)
    return proceed


__all__ = ('build_chain',)
