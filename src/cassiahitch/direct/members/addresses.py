"""Which entries a caller is told to use."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from cassiahitch.wire.beats import MemberState

#: Most addresses of one answer.
MAX_ADDRESSES = 64
#: Least entries of the caller's region among which callers spread.
LEAST_NEAR = 2
#: Times that a large host is named for the smallest one, at most.
MOST_TIMES = 3


@dataclass(frozen=True, slots=True)
class AddressResponse:
    """Entries that a caller may use, and for how long it may keep the answer."""

    endpoints: tuple[Endpoint, ...]
    lifetime_s: float


def choose_addresses(
    near: list[Endpoint], others: list[Endpoint], rng: random.Random
) -> tuple[Endpoint, ...]:
    """Choose the entries that a caller may use.

    Callers of a region use its own entries if there are a few, and all known entries otherwise.

    :param near: entries of the caller's region that are ready.
    :param others: those of other regions.
    :param rng: source of the order.
    :return: where they are.
    """
    chosen = near.copy() if len(set(near)) >= LEAST_NEAR else [*near, *others]
    rng.shuffle(chosen)
    return tuple(chosen[:MAX_ADDRESSES])


def weight_by_capacity(states: tuple[MemberState, ...]) -> list[Endpoint]:
    """Name each entry as often as its host is larger than the smallest one.

    Callers choose among the addresses of an answer at random.

    :param states: entries.
    :return: their endpoints.
    """
    least = max(1, min((state.capacity for state in states), default=1))
    return [
        Endpoint(state.address, state.http_port)
        for state in states
        for _ in range(max(1, min(MOST_TIMES, round(state.capacity / least))))
    ]


__all__ = (
    'AddressResponse',
    'weight_by_capacity',
    'choose_addresses',
)
