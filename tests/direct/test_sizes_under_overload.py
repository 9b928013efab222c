"""Tests that overload refuses requests of all sizes alike, in virtual time."""

from __future__ import annotations

import pytest
from overload_model import Overload

#: Part of the served share of all requests that large ones have to reach at least.
LEAST_PART = 0.5
SECONDS = 20


@pytest.mark.parametrize('returns', [1, 2])
@pytest.mark.parametrize('load', [0.9, 1.2, 1.5, 3.0])
def test_large_requests_find_a_place_under_overload_like_all_others(
    load: float, returns: int
) -> None:
    # Issue 15: the largest requests were left unserved while small ones found a place.
    result = Overload(load, returns, SECONDS).play()
    parts = {'largest tenth': result.part(0.9, 1), 'fifth below it': result.part(0.7, 0.9)}
    shares = {name: round(part.served / result.served, 2) for name, part in parts.items()}
    assert min(shares.values()) >= LEAST_PART, shares
