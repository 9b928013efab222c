"""Other regions: how many entries live there, and a few of them."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.util.endpoints import Endpoint, parse_endpoint
from cassiahitch.wire.beats import RegionState

if TYPE_CHECKING:
    from cassiahitch.wire.beats import MemberState

#: Entries of a region that others are told of.
ENDPOINTS = 3
#: Seconds for which endpoints of a region are used after it was last heard of.
ENDPOINTS_EXPIRY_S = 2.5
#: Seconds for which its entries count as live, since they may go on serving.
LIVE_COUNT_EXPIRY_S = 10.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RegionSnapshot:
    """A region as it was at a moment, in seconds."""

    at: float
    live: int
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class RegionRegistry:
    """The latest state of each other region."""

    own: str
    snapshots: dict[str, RegionSnapshot] = field(default_factory=dict)

    def apply(self, state: RegionState, now: float) -> None:
        """Take the state of a region in, if it is later than the known one.

        :param state: the state.
        :param now: seconds.
        """
        at = now - max(0, state.age_ms) / MS_PER_S
        known = self.snapshots.get(state.region)
        if state.region == self.own or (known is not None and at <= known.at):
            return
        self.snapshots[state.region] = RegionSnapshot(at, state.live, parse_endpoints(state))

    def current_states(self, now: float) -> tuple[RegionState, ...]:
        """Return what others may be told.

        :param now: seconds.
        :return: states of regions that are known well enough.
        """
        return tuple(
            RegionState(
                region,
                int((now - snapshot.at) * MS_PER_S),
                snapshot.live,
                tuple(map(str, snapshot.endpoints)),
            )
            for region, snapshot in self.snapshots.items()
            if now - snapshot.at < ENDPOINTS_EXPIRY_S
        )

    def endpoints(self, now: float, region: str = '') -> tuple[Endpoint, ...]:
        """Return entries of other regions that callers can use.

        :param now: seconds.
        :param region: only those of one region.
        :return: their endpoints.
        """
        return tuple(
            endpoint
            for name, snapshot in self.snapshots.items()
            if now - snapshot.at < ENDPOINTS_EXPIRY_S and region in {'', name}
            for endpoint in snapshot.endpoints
        )

    def live_count(self, now: float) -> int:
        """Return how many entries may live in other regions.

        :param now: seconds.
        :return: their number.
        """
        return sum(
            snapshot.live
            for snapshot in self.snapshots.values()
            if now - snapshot.at < LIVE_COUNT_EXPIRY_S
        )


def summarize_region(region: str, states: tuple[MemberState, ...]) -> RegionState:
    """Return the state of a region for others.

    :param region: the region.
    :param states: its entries that live, in the order in which they are to be named.
    :return: the state.
    """
    ready = [one for one in states if one.ready and not one.leaving]
    endpoints = tuple(str(Endpoint(one.address, one.http_port)) for one in ready[:ENDPOINTS])
    return RegionState(region, 0, len(states), endpoints)


def parse_endpoints(state: RegionState) -> tuple[Endpoint, ...]:
    """Return the entries that the state of a region names.

    :param state: the state.
    :return: their endpoints, without those that cannot be read.
    """
    found = []
    for text in state.endpoints:
        # Another entry's mistake names no entry to use.
        with suppress(ValueError):
            found.append(parse_endpoint(text))
    return tuple(found)


__all__ = (
    'RegionRegistry',
    'parse_endpoints',
    'summarize_region',
)
