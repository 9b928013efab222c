"""Distribution trees, which determine the sources from which a host fetches each chunk."""

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

#: Number of distinct trees of a rollout; a chunk uses the tree of its index modulo this.
TREES = 128
#: Number of regions that fetch a chunk from the origin directly, by objective.
ORIGIN_COPIES: Final = MappingProxyType({Objective.origin_bytes: 1, Objective.time: 3})
HASH_BYTES = 8
NO_HOSTS: frozenset[str] = frozenset()


class Tier(IntEnum):
    """How many hosts depend on a fetch; requests with the widest subtree are served first.

    ``joiner`` is the tier of hosts that are not in the plan.
    """

    region = 0
    failure_domain = 1
    host = 2
    leaf = 3
    joiner = 4


@dataclass(frozen=True, slots=True)
class Source:
    """A source of a chunk; the origin has an empty host name.

    ``tier`` is the priority of the fetch, and ``stagger`` is the number of hosts that fall back to
    the origin before this one.
    """

    host: str
    tier: Tier = Tier.host
    stagger: int = 0

    @property
    def is_origin(self) -> bool:
        """Whether this source is the origin."""
        return not self.host


class Trees:
    """The trees of one plan, one for each remainder of the chunk index modulo ``TREES``.

    An odd tree uses the reversed order of the even tree before it, so that the inner nodes of one
    are the leaves of the other and all hosts send about as much. A parent always precedes its
    children in the order of a tree, so hosts that exclude different hosts never form a cycle.
    """

    def __init__(self, plan: RolloutPlan) -> None:
        """Create the trees.

        :param plan: the plan that lists the participants.
        """
        self.plan = plan
        self.hosts = frozenset(member.host for member in plan.participants)
        self.copies = ORIGIN_COPIES[plan.objective]
        self.orders: dict[int, tuple[Participant, ...]] = {}

    def order(self, tree: int) -> tuple[Participant, ...]:
        """Return the participants in the order of a tree.

        :param tree: index of the tree, less than ``TREES``.
        :return: the participants, roots first.
        """
        if tree not in self.orders:
            pair, odd = divmod(tree, 2)
            members = sorted(
                self.plan.participants,
                key=lambda member: rendezvous_hash(pair, member.host),
                reverse=bool(odd),
            )
            # The sort is stable, so the order among the hosts of the origin's region is kept.
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

        :param index: index of the chunk.
        :param member: the host; becomes a leaf if it is not a participant.
        :param lost: hosts to exclude from the tree.
        :param suspects: hosts to exclude that may still fall back to the origin themselves.
        :return: the sources in order of preference; only roots use the origin.
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

        :param tree: index of the tree.
        :param member: the participant.
        :param lost: hosts to exclude from the tree.
        :param suspects: hosts to exclude that may still fall back to the origin themselves.
        :return: the sources in order of preference.
        """
        candidates = _AncestorCandidates(member, suspects, chained=bool(self.plan.first_region))
        hosts_ahead = 0
        order = self.order(tree)
        candidates.is_leaf = self.is_leaf(order, member)
        for other in order:
            if other.host == member.host:
                break
            if other.host not in lost:
                candidates.add(other)
                hosts_ahead += other.host in suspects and self.shares_origin_fetch(other, member)
        sources = tuple(candidates.sources(self.copies))
        return sources or (Source('', Tier.region, hosts_ahead),)

    def joiner_sources(
        self,
        tree: int,
        member: Participant,
        excluded: frozenset[str],
    ) -> tuple[Source, ...]:
        """Return the sources of a host that joined after the plan was made.

        :param tree: index of the tree.
        :param member: the host.
        :param excluded: hosts to exclude from the tree.
        :return: the sources in order of preference.
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
        """Return whether a participant has no children within its failure domain.

        :param order: the participants in the order of a tree.
        :param member: the participant.
        :return: whether it is a leaf.
        """
        domain = (member.region, member.failure_domain)
        near = [other.host for other in order if (other.region, other.failure_domain) == domain]
        return 2 * near.index(member.host) + 1 >= len(near)

    def shares_origin_fetch(self, other: Participant, member: Participant) -> bool:
        """Return whether a host waits for another one before it falls back to the origin.

        :param other: the other host, which precedes this one in the tree.
        :param member: this host.
        :return: whether the chunk that the other host fetches from the origin also serves this one.
        """
        return self.copies == 1 or other.region == member.region


class _AncestorCandidates:
    """Possible sources of one host: hosts that precede it in the order of a tree.

    The head of a failure domain or region is its first host in the order that is not suspected.
    """

    def __init__(self, member: Participant, suspects: frozenset[str], *, chained: bool) -> None:
        self.member = member
        self.chained = chained
        self.suspects = suspects
        self.is_leaf = False
        self.domain_hosts: list[str] = []
        self.domain_heads: dict[str, str] = {}
        self.region_heads: dict[str, str] = {}

    def add(self, other: Participant) -> None:
        """Add the next host in the order of the tree."""
        same_region = other.region == self.member.region
        if same_region and other.failure_domain == self.member.failure_domain:
            self.domain_hosts.append(other.host)
        if other.host in self.suspects:
            return
        if same_region:
            self.domain_heads.setdefault(other.failure_domain, other.host)
        self.region_heads.setdefault(other.region, other.host)

    def region_rank(self, copies: int) -> int | None:
        """Return the rank of the region to fetch from, or ``None`` for the origin."""
        return self.region_parent(_rank(self.region_heads, self.member.region), copies)

    def region_parent(self, rank: int, copies: int) -> int | None:
        """Return the rank of the parent of a region, or ``None`` for the origin.

        If the region of the origin is known, the regions form a chain, so that no region sends
        more than one copy to other regions.
        """
        if rank < copies:
            return None
        return rank - 1 if self.chained else (rank - copies) // 2

    def sources(self, copies: int) -> Iterator[Source]:
        """Yield the sources without duplicates, the nearest first."""
        yielded = {self.member.host}
        for source in self.iter_ancestors(copies):
            if source.host not in yielded:
                yielded.add(source.host)
                yield source

    def domain_ancestors(self) -> list[str]:
        """Return the ancestors within the failure domain that are not suspected.

        If all are suspected, return the ancestors in a tree built without suspects.
        """
        path = [self.domain_hosts[rank] for rank in _heap_path(len(self.domain_hosts))]
        usable = [host for host in path if host not in self.suspects]
        if usable:
            return usable
        live = [host for host in self.domain_hosts if host not in self.suspects]
        return [live[rank] for rank in _heap_path(len(live))]

    def iter_ancestors(self, copies: int) -> Iterator[Source]:
        """Yield the ancestors tier by tier; a host that heads several tiers is repeated."""
        tier = Tier.leaf if self.is_leaf else Tier.host
        for host in self.domain_ancestors():
            yield Source(host, tier)
        domain_heads = list(self.domain_heads.values())
        for domain in _heap_path(_rank(self.domain_heads, self.member.failure_domain)):
            yield Source(domain_heads[domain], Tier.failure_domain)
        region_heads = list(self.region_heads.values())
        region = self.region_rank(copies)
        while region is not None:
            yield Source(region_heads[region], Tier.region)
            region = self.region_parent(region, copies)


def _rank(heads: dict[str, str], group: str) -> int:
    return list(heads).index(group) if group in heads else len(heads)


def _heap_path(rank: int) -> Iterator[int]:
    while rank > 0:
        rank = (rank - 1) // 2
        yield rank


def rendezvous_hash(salt_number: int, host: str) -> bytes:
    """Return the hash by which hosts are ordered in a pair of trees.

    :param salt_number: salt of the hash, the index of the pair.
    :param host: name of the host.
    :return: the hash, to be compared bytewise.
    """
    salt = salt_number.to_bytes(HASH_BYTES, 'big')
    return hashlib.blake2b(host.encode(), digest_size=HASH_BYTES, salt=salt).digest()


def rendezvous_order(salt_number: int, names: Iterable[str]) -> tuple[str, ...]:
    """Order names by rendezvous hash, so that all processes compute the same order.

    :param salt_number: salt of the hash; a different salt gives a different order.
    :param names: names of hosts, regions or processes.
    :return: the names, ordered; removing one does not change the order of the others.
    """
    return tuple(sorted(names, key=partial(rendezvous_hash, salt_number)))


def ancestors(plan: RolloutPlan, index: int, member: Participant) -> tuple[Source, ...]:
    """Return the sources of a host for a chunk; use :class:`Trees` for repeated look-ups.

    :param plan: the plan that lists the participants.
    :param index: index of the chunk.
    :param member: the host.
    :return: the sources in order of preference; only roots use the origin.
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
