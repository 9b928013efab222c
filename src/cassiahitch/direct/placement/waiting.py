"""Whether a request that found no capacity waits in the entry or is refused at once.

Load pattern: during an overload, requests with little time left search again and again for capacity
that they cannot use before their deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.placement.assignments import NoCapacity, PlacementRequest


def may_still_be_served(request: PlacementRequest, refusal: NoCapacity) -> bool:
    """Return whether a request can be served after it has waited for capacity.

    :param request: the request.
    :param refusal: the result of its last search.
    :return: whether the best engine would start it before its deadline. True if replicas are
        limited, since the refusal then may have no prediction.
    """
    return bool(refusal.limited) or refusal.best_expected_s <= request.remaining_s


__all__ = ('may_still_be_served',)
