"""Registry of the other regions: how many entries are alive there, and a few endpoints."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.util.endpoints import Endpoint, parse_endpoint
from cassiahitch.wire.datagrammessages import RegionState

if TYPE_CHECKING:
    from cassiahitch.wire.datagrammessages import MemberState

#: Maximum endpoints in the state of a region.
MAX_ENDPOINTS = 3
#: Seconds for which the endpoints of a region are used.
ENDPOINTS_EXPIRY_S = 2.5
#: Seconds for which its entries count as live; longer, since they may still serve requests.
LIVE_COUNT_EXPIRY_S = 10.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RegionSnapshot:
    """State of a region as of ``seen_at``, in seconds.

    ``live`` is the number of live entries.
    """

    seen_at: float
    live: int
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class RegionRegistry:
    """Latest state of each other region; ``own_region`` is left out."""

    own_region: str
    snapshots: dict[str, RegionSnapshot] = field(default_factory=dict)

    def apply(self, state: RegionState, now: float) -> None:
        """Store the state of a region if it is newer than the stored one.

        :param state: the state.
        :param now: current time in seconds.
        """
        seen_at = now - max(0, state.age_ms) / MS_PER_S
        stored = self.snapshots.get(state.region)
        if state.region == self.own_region or (stored is not None and seen_at <= stored.seen_at):
            return
        self.snapshots[state.region] = RegionSnapshot(seen_at, state.live, parse_endpoints(state))

    def current_states(self, now: float) -> tuple[RegionState, ...]:
        """Return the states of regions for messages to other entries.

        :param now: current time in seconds.
        :return: those whose endpoints have not expired.
        """
        return tuple(
            RegionState(
                region,
                int((now - snapshot.seen_at) * MS_PER_S),
                snapshot.live,
                tuple(map(str, snapshot.endpoints)),
            )
            for region, snapshot in self.snapshots.items()
            if now - snapshot.seen_at < ENDPOINTS_EXPIRY_S
        )

    def endpoints_by_region(self, now: float) -> dict[str, list[Endpoint]]:
        """Return endpoints of entries of other regions that callers can use.

        :param now: current time in seconds.
        :return: the endpoints by region.
        """
        return {
            name: list(snapshot.endpoints)
            for name, snapshot in self.snapshots.items()
            if now - snapshot.seen_at < ENDPOINTS_EXPIRY_S
        }

    def endpoints(self, now: float, region: str = '') -> tuple[Endpoint, ...]:
        """Return endpoints of entries of other regions that callers can use.

        :param now: current time in seconds.
        :param region: the region; all other regions if empty.
        :return: the endpoints.
        """
        return tuple(
            endpoint
            for name, found in self.endpoints_by_region(now).items()
            if region in {'', name}
            for endpoint in found
        )

    def live_regions(self, now: float) -> tuple[str, ...]:
        """Return the other regions that may have live entries.

        :param now: current time in seconds.
        :return: their names.
        """
        return tuple(
            name
            for name, snapshot in self.snapshots.items()
            if snapshot.live and now - snapshot.seen_at < LIVE_COUNT_EXPIRY_S
        )

    def live_count(self, now: float) -> int:
        """Return how many entries may be alive in other regions.

        :param now: current time in seconds.
        :return: the number of entries.
        """
        return sum(
            snapshot.live
            for snapshot in self.snapshots.values()
            if now - snapshot.seen_at < LIVE_COUNT_EXPIRY_S
        )


def summarize_region(region: str, states: tuple[MemberState, ...]) -> RegionState:
    """Return the state of a region from those of its entries.

    :param region: the region.
    :param states: the states of its live entries; the first ready ones are named as endpoints.
    :return: the state.
    """
    ready = [state for state in states if state.ready and not state.leaving]
    endpoints = tuple(
        str(Endpoint(state.address, state.http_port)) for state in ready[:MAX_ENDPOINTS]
    )
    return RegionState(region, 0, len(states), endpoints)


def parse_endpoints(state: RegionState) -> tuple[Endpoint, ...]:
    """Parse the endpoints in the state of a region.

    :param state: the state.
    :return: the endpoints, without those that are invalid.
    """
    endpoints = []
    for text in state.endpoints:
        # An endpoint that another entry reported wrongly is ignored.
        with suppress(ValueError):
            endpoints.append(parse_endpoint(text))
    return tuple(endpoints)


__all__ = (
    'RegionRegistry',
    'parse_endpoints',
    'summarize_region',
)
