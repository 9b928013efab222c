"""Distribution trees: from which sources a host fetches each chunk."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum
from functools import partial
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from cassiahitch.resources.models import Objective

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from cassiahitch.weights.plan import Participant, RolloutPlan

#: Distinct trees of a rollout; chunks share them in turn.
TREES = 128
#: Regions that draw a chunk from the origin themselves, per objective.
ORIGIN_COPIES: Final = MappingProxyType({Objective.origin_bytes: 1, Objective.time: 3})
HASH_BYTES = 8
NO_HOSTS: frozenset[str] = frozenset()


class Tier(IntEnum):
    """What depends on a fetch; the widest subtree is served first."""

    region = 0
    failure_domain = 1
    host = 2
    leaf = 3
    joiner = 4


@dataclass(frozen=True, slots=True)
class Source:
    """Where a chunk can be fetched; the origin has an empty host name.

    ``tier`` tells what depends on the fetch and ``stagger`` counts the hosts that should turn to
    the origin before this one.
    """

    host: str
    tier: Tier = Tier.host
    stagger: int = 0

    @property
    def is_origin(self) -> bool:
        """Whether this is the origin."""
        return not self.host


class Trees:
    """The trees of one plan, one for each residue of the chunk index.

    Odd trees use the reverse of the order of the even tree before them, so that the inner nodes
    of one are the leaves of the other and all hosts send about as much. A parent always comes
    earlier in the order of the tree, so trees of different exclusions form no cycle.
    """

    def __init__(self, plan: RolloutPlan) -> None:
        """Create the trees.

        :param plan: the plan that names the participants.
        """
        self.plan = plan
        self.hosts = frozenset(member.host for member in plan.participants)
        self.copies = ORIGIN_COPIES[plan.objective]
        self.orders: dict[int, tuple[Participant, ...]] = {}

    def order(self, tree: int) -> tuple[Participant, ...]:
        """Return the participants in the order of a tree.

        :param tree: the number of the tree, below ``TREES``.
        :return: the participants, roots first.
        """
        if tree not in self.orders:
            pair, odd = divmod(tree, 2)
            members = sorted(
                self.plan.participants,
                key=lambda member: rendezvous_hash(pair, member.host),
                reverse=bool(odd),
            )
            # A stable sort keeps the order among the hosts of the origin's region.
            members.sort(key=lambda member: member.region != self.plan.first_region)
            self.orders[tree] = tuple(members)
        return self.orders[tree]

    def ancestors(
        self,
        index: int,
        member: Participant,
        lost: frozenset[str] = NO_HOSTS,
        suspects: frozenset[str] = NO_HOSTS,
    ) -> tuple[Source, ...]:
        """Return the sources of a host for a chunk.

        :param index: the position of the chunk.
        :param member: the host; one that is no participant becomes a leaf.
        :param lost: hosts that are left out of the tree.
        :param suspects: hosts that are left out but may still turn to the origin.
        :return: the sources, the best first; only roots have the origin.
        """
        tree = index % TREES
        if member.host in self.hosts:
            return self.participant_sources(tree, member, lost, suspects)
        return self.joiner_sources(tree, member, lost | suspects)

    def participant_sources(
        self,
        tree: int,
        member: Participant,
        lost: frozenset[str],
        suspects: frozenset[str],
    ) -> tuple[Source, ...]:
        """Return the sources of a participant.

        :param tree: the number of the tree.
        :param member: the participant.
        :param lost: hosts that are left out of the tree.
        :param suspects: hosts that are left out but may still turn to the origin.
        :return: the sources, the best first.
        """
        heads = _Heads(member, suspects, chained=bool(self.plan.first_region))
        ahead = 0
        order = self.order(tree)
        heads.is_leaf = self.is_leaf(order, member)
        for other in order:
            if other.host == member.host:
                break
            if other.host not in lost:
                heads.add(other)
                ahead += other.host in suspects and self.in_scope(other, member)
        sources = tuple(heads.sources(self.copies))
        return sources or (Source('', Tier.region, ahead),)

    def joiner_sources(
        self,
        tree: int,
        member: Participant,
        excluded: frozenset[str],
    ) -> tuple[Source, ...]:
        """Return the sources of a host that joined after the plan was made.

        :param tree: the number of the tree.
        :param member: the host.
        :param excluded: hosts left out of the tree.
        :return: the sources, the best first.
        """
        live = [other for other in self.order(tree) if other.host not in excluded]
        if not live:
            return (Source('', Tier.joiner, len(self.hosts)),)
        region = [other for other in live if other.region == member.region] or live
        near = [other for other in region if other.failure_domain == member.failure_domain]
        near = near or region
        spread = int.from_bytes(rendezvous_hash(tree, member.host), 'big')
        rank = len(near) + spread % (len(near) + 1)
        return tuple(Source(near[parent].host, Tier.joiner) for parent in _heap_path(rank))

    def is_leaf(self, order: tuple[Participant, ...], member: Participant) -> bool:
        """Tell whether no host of its failure domain depends on a participant.

        :param order: the order of a tree.
        :param member: the participant.
        :return: whether it has no children there.
        """
        place = (member.region, member.failure_domain)
        near = [other.host for other in order if (other.region, other.failure_domain) == place]
        return 2 * near.index(member.host) + 1 >= len(near)

    def in_scope(self, other: Participant, member: Participant) -> bool:
        """Tell whether another host turns to the origin on behalf of this one too.

        :param other: the other host.
        :param member: this host.
        :return: whether this host has to wait for the other.
        """
        return self.copies == 1 or other.region == member.region


class _Heads:
    """The hosts before one host in the order of a tree, as far as they matter to it."""

    def __init__(self, member: Participant, suspects: frozenset[str], *, chained: bool) -> None:
        self.member = member
        self.chained = chained
        self.suspects = suspects
        self.is_leaf = False
        self.near: list[str] = []
        self.domains: dict[str, str] = {}
        self.regions: dict[str, str] = {}

    def add(self, other: Participant) -> None:
        """Add the next host of the order."""
        same_region = other.region == self.member.region
        if same_region and other.failure_domain == self.member.failure_domain:
            self.near.append(other.host)
        if other.host in self.suspects:
            return
        if same_region:
            self.domains.setdefault(other.failure_domain, other.host)
        self.regions.setdefault(other.region, other.host)

    def region_rank(self, copies: int) -> int | None:
        """Return the rank of the parent among the regions, or nothing for the origin."""
        return self.region_parent(_rank(self.regions, self.member.region), copies)

    def region_parent(self, rank: int, copies: int) -> int | None:
        """Return the rank of the region before another one, or nothing for the origin.

        Where the region of the origin is known, regions form a chain, so that the hosts of
        no region send more than one copy to others.
        """
        if rank < copies:
            return None
        return rank - 1 if self.chained else (rank - copies) // 2

    def sources(self, copies: int) -> Iterator[Source]:
        """Yield the hosts to fetch from, the nearest first."""
        seen = {self.member.host}
        for source in self.candidates(copies):
            if source.host not in seen:
                seen.add(source.host)
                yield source

    def near_path(self) -> list[str]:
        """Return the ancestors in the failure domain, or those of a tree without suspects."""
        path = [self.near[rank] for rank in _heap_path(len(self.near))]
        trusted = [host for host in path if host not in self.suspects]
        if trusted:
            return trusted
        live = [host for host in self.near if host not in self.suspects]
        return [live[rank] for rank in _heap_path(len(live))]

    def candidates(self, copies: int) -> Iterator[Source]:
        """Yield the ancestors tier by tier; the root of two tiers comes twice."""
        tier = Tier.leaf if self.is_leaf else Tier.host
        for near in self.near_path():
            yield Source(near, tier)
        domains = list(self.domains.values())
        for domain in _heap_path(_rank(self.domains, self.member.failure_domain)):
            yield Source(domains[domain], Tier.failure_domain)
        regions = list(self.regions.values())
        region = self.region_rank(copies)
        while region is not None:
            yield Source(regions[region], Tier.region)
            region = self.region_parent(region, copies)


def _rank(heads: dict[str, str], name: str) -> int:
    return list(heads).index(name) if name in heads else len(heads)


def _heap_path(rank: int) -> Iterator[int]:
    while rank > 0:
        rank = (rank - 1) // 2
        yield rank


def rendezvous_hash(pair: int, host: str) -> bytes:
    """Return the hash by which hosts are ordered in a pair of trees.

    :param pair: the number of the pair.
    :param host: the name of the host.
    :return: bytes to sort by.
    """
    salt = pair.to_bytes(HASH_BYTES, 'big')
    return hashlib.blake2b(host.encode(), digest_size=HASH_BYTES, salt=salt).digest()


def rendezvous_order(number: int, names: Iterable[str]) -> tuple[str, ...]:
    """Return names in an order that those who know the same names agree on.

    :param number: turns the order.
    :param names: the names.
    :return: the same names; one that is left out does not change the order of the others.
    """
    return tuple(sorted(names, key=partial(rendezvous_hash, number)))


def ancestors(plan: RolloutPlan, index: int, member: Participant) -> tuple[Source, ...]:
    """Return the sources of a host for a chunk; keep a :class:`Trees` for many look-ups.

    :param plan: the plan that names the participants.
    :param index: the position of the chunk.
    :param member: the host.
    :return: the sources, the best first; only roots have the origin.
    """
    return Trees(plan).ancestors(index, member)


__all__ = (
    'TREES',
    'Source',
    'Tier',
    'Trees',
    'ancestors',
    'rendezvous_order',
    'rendezvous_hash',
)
