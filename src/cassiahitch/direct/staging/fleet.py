"""The agents that fetch the same version, and the sources that each chunk can be fetched from."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from cassiahitch.weights.tree import rendezvous_hash, rendezvous_order

if TYPE_CHECKING:
    from cassiahitch.weights.plan import Participant


@dataclass(frozen=True, slots=True)
class FromOrigin:
    """Fetch of a chunk from the origin."""

    index: int


@dataclass(frozen=True, slots=True)
class FromRegion:
    """Fetch of a chunk from an agent of another region, which may not hold it yet."""

    index: int
    host: str


@dataclass(frozen=True, slots=True)
class FromPeer:
    """Fetch of a chunk from an agent of the own region that holds it."""

    index: int
    host: str


ChunkFetch = FromOrigin | FromRegion | FromPeer


@dataclass(frozen=True)
class Fleet:
    """The agents that fetch the same version, by region.

    ``local_agent`` is the agent of this process, and ``first_region`` the region of the origin, if
    it is known.
    """

    local_agent: Participant
    participants: tuple[Participant, ...]
    first_region: str = ''
    preceding_hosts_cache: dict[int, tuple[str, ...]] = field(
        default_factory=dict, init=False, compare=False
    )

    @cached_property
    def region_hosts(self) -> tuple[str, ...]:
        """Hosts of the own region, this one among them."""
        return self.hosts_in(self.local_agent.region)

    @cached_property
    def regions(self) -> tuple[str, ...]:
        """All regions, sorted."""
        return tuple(
            sorted({agent.region for agent in self.participants} | {self.local_agent.region})
        )

    def hosts_in(self, region: str) -> tuple[str, ...]:
        """Return the hosts of a region.

        :param region: the region.
        :return: the names of the hosts, sorted.
        """
        own = {self.local_agent.host} if region == self.local_agent.region else set()
        listed = {agent.host for agent in self.participants if agent.region == region}
        return tuple(sorted(listed | own))

    def preceding_hosts(self, index: int) -> tuple[str, ...]:
        """Return the hosts that rank before this one for fetching a chunk into the own region.

        :param index: the position of the chunk.
        :return: the names of the hosts, cached as each scheduling step needs them.
        """
        if index not in self.preceding_hosts_cache:
            order = rendezvous_order(index, self.region_hosts)
            self.preceding_hosts_cache[index] = order[: order.index(self.local_agent.host)]
        return self.preceding_hosts_cache[index]

    def region_chain(self, index: int) -> tuple[str, ...]:
        """Return the regions in the order in which a chunk is passed on from one to the next.

        :param index: the position of the chunk.
        :return: the regions, that of the origin first if it is known.
        """
        return tuple(
            sorted(
                self.regions,
                key=lambda region: (region != self.first_region, rendezvous_hash(index, region)),
            )
        )


__all__ = (
    'ChunkFetch',
    'Fleet',
    'FromOrigin',
    'FromPeer',
    'FromRegion',
)
