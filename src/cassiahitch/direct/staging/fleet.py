"""The agents that fetch the same version, and what they may order."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from cassiahitch.weights.tree import ranked, rendezvous_hash

if TYPE_CHECKING:
    from cassiahitch.weights.plan import Participant


@dataclass(frozen=True, slots=True)
class FromOrigin:
    """Fetch a chunk from the origin."""

    index: int


@dataclass(frozen=True, slots=True)
class FromRegion:
    """Fetch a chunk from an agent of another region, which may not have it yet."""

    index: int
    host: str


@dataclass(frozen=True, slots=True)
class FromPeer:
    """Fetch a chunk from an agent of the own region that holds it."""

    index: int
    host: str


ChunkFetch = FromOrigin | FromRegion | FromPeer


@dataclass(frozen=True)
class Fleet:
    """The agents that fetch the same version."""

    member: Participant
    participants: tuple[Participant, ...]
    first_region: str = ''
    known_ahead: dict[int, tuple[str, ...]] = field(default_factory=dict, init=False, compare=False)

    @cached_property
    def near(self) -> tuple[str, ...]:
        """Hosts of the own region, this one among them."""
        return self.hosts(self.member.region)

    @cached_property
    def regions(self) -> tuple[str, ...]:
        """All regions."""
        return tuple(sorted({one.region for one in self.participants} | {self.member.region}))

    def hosts(self, region: str) -> tuple[str, ...]:
        """Return the hosts of a region.

        :param region: the region.
        :return: their names.
        """
        own = {self.member.host} if region == self.member.region else set()
        named = {one.host for one in self.participants if one.region == region}
        return tuple(sorted(named | own))

    def ahead(self, index: int) -> tuple[str, ...]:
        """Return the hosts of the region that have the duty for a chunk before this one.

        :param index: the position of the chunk.
        :return: their names; it is asked for all the time and worked out once.
        """
        if index not in self.known_ahead:
            order = ranked(index, self.near)
            self.known_ahead[index] = order[: order.index(self.member.host)]
        return self.known_ahead[index]

    def chain(self, index: int) -> tuple[str, ...]:
        """Return the regions in the order in which a chunk comes to them.

        :param index: the position of the chunk.
        :return: regions, that of the origin first if it is known.
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
