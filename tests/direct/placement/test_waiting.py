"""Tests of the refusal of requests that have no chance to be served after a wait.

Guards against requests that wait in the entry although they cannot be served any more.
"""

from __future__ import annotations

import pytest
from deployment_loads import MIXED

from cassiahitch.direct.placement.assignments import NoCapacity, PlacementRequest
from cassiahitch.direct.placement.waiting import may_still_be_served

ROUTE = MIXED[1].route


@pytest.mark.parametrize(
    ('elapsed_s', 'remaining_s', 'best_s', 'may_wait'),
    [
        (0.05, 6, 0.3, True),
        (2, 4, 0.4, True),
        (5.9, 0.1, 0.4, False),
    ],
)
def test_request_waits_only_while_it_can_be_served(
    elapsed_s: float, remaining_s: float, best_s: float, *, may_wait: bool
) -> None:
    request = PlacementRequest(ROUTE, elapsed_s, remaining_s=remaining_s)
    assert may_still_be_served(request, NoCapacity(1, best_s, 0.02)) is may_wait


def test_request_waits_for_the_permit_of_a_limited_replica() -> None:
    refusal = NoCapacity(1, float('inf'), 0.02, limited=2)
    assert may_still_be_served(PlacementRequest(ROUTE, 0, remaining_s=6), refusal)
