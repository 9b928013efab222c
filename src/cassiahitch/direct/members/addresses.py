"""Choice of the entries whose addresses callers receive."""

from __future__ import annotations

import random
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
    near: list[Endpoint], others: list[Endpoint], rng: random.Random
) -> tuple[Endpoint, ...]:
    """Choose the entries that a caller may use.

    Callers of a region use its entries if it has enough of them, and all entries otherwise.

    :param near: endpoints of ready entries of the caller's region.
    :param others: those of other regions.
    :param rng: shuffles the endpoints.
    :return: the endpoints.
    """
    chosen = near.copy() if len(set(near)) >= MIN_LOCAL_ENTRIES else [*near, *others]
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
