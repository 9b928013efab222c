"""Choice of the entries whose addresses callers receive."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from cassiahitch.wire.datagrammessages import MemberState

#: Maximum addresses in one response.
MAX_ADDRESSES = 64
#: Entries that the caller's region must have for callers to use only that region.
MIN_LOCAL_ENTRIES = 2
#: Maximum weight of a large host relative to the smallest one.
MAX_WEIGHT = 3


@dataclass(frozen=True, slots=True)
class AddressResponse:
    """Endpoints that a caller may use, and the seconds for which it may cache them."""

    endpoints: tuple[Endpoint, ...]
    lifetime_s: float


def choose_addresses(
    by_region: Mapping[str, list[Endpoint]],
    region: str,
    allowed_regions: frozenset[str],
    rng: random.Random,
) -> tuple[Endpoint, ...]:
    """Choose the entries that a caller may use.

    Callers of a region use its entries if it has enough of them, and otherwise also those of other
    regions, as far as the routes of their host allow these. Without any entry in such a region,
    all entries are used, since each of them forwards requests to allowed regions only.

    :param by_region: endpoints of ready entries by region.
    :param region: region of the caller.
    :param allowed_regions: regions that the routes of the requested host allow, empty for all.
    :param rng: shuffles the endpoints.
    :return: the endpoints.
    """
    near = by_region.get(region, [])
    if len(set(near)) >= MIN_LOCAL_ENTRIES:
        chosen = near.copy()
    else:
        others = {name: found for name, found in by_region.items() if name != region}
        allowed = [
            endpoint
            for name, found in others.items()
            if not allowed_regions or name in allowed_regions
            for endpoint in found
        ]
        chosen = [*near, *allowed] or [endpoint for found in others.values() for endpoint in found]
    rng.shuffle(chosen)
    return tuple(chosen[:MAX_ADDRESSES])


def weight_by_capacity(states: tuple[MemberState, ...]) -> list[Endpoint]:
    """Repeat each endpoint in proportion to the capacity of its host.

    Callers choose among the addresses of a response at random, so that repetition is a weight.

    :param states: states of entries.
    :return: their endpoints.
    """
    smallest = max(1, min((state.capacity for state in states), default=1))
    return [
        Endpoint(state.address, state.http_port)
        for state in states
        for _ in range(max(1, min(MAX_WEIGHT, round(state.capacity / smallest))))
    ]


__all__ = (
    'AddressResponse',
    'choose_addresses',
    'weight_by_capacity',
)
