"""Baselines for the distribution trees: other ways to choose the source of a chunk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.weights.tree import NO_HOSTS, Source, Tier, Trees, rendezvous_hash

if TYPE_CHECKING:
    from cassiahitch.weights.plan import Participant


class OriginOnly(Trees):
    """Every host fetches every chunk from the origin."""

    def ancestors(
        self,
        index: int,
        member: Participant,
        lost: frozenset[str] = NO_HOSTS,
        suspects: frozenset[str] = NO_HOSTS,
    ) -> tuple[Source, ...]:
        """Return the origin.

        :param index: the position of the chunk.
        :param member: the host.
        :param lost: hosts that have failed; ignored.
        :param suspects: hosts that may have failed; ignored.
        :return: the origin alone.
        """
        return (Source('', Tier.region),)


class FixedTree(Trees):
    """All chunks are distributed over the same tree."""

    def order(self, tree: int) -> tuple[Participant, ...]:
        """Return the order of the only tree.

        :param tree: the number of a tree; ignored.
        :return: the participants, roots first.
        """
        return super().order(0)


class RandomPeers(Trees):
    """Each host fetches each chunk from a random peer, whatever its region."""

    def ancestors(
        self,
        index: int,
        member: Participant,
        lost: frozenset[str] = NO_HOSTS,
        suspects: frozenset[str] = NO_HOSTS,
    ) -> tuple[Source, ...]:
        """Return random hosts that precede this one, so that no two hosts wait for each other.

        :param index: the position of the chunk.
        :param member: the host.
        :param lost: hosts that have failed, which are left out.
        :param suspects: hosts that may have failed, which are left out.
        :return: the sources; the first host of the order fetches from the origin.
        """
        order = self.order(index)
        predecessors = [other.host for other in order[: order.index(member)]]
        live = [host for host in predecessors if host not in lost and host not in suspects]
        if not live:
            return (Source('', Tier.region),)
        hash_value = int.from_bytes(rendezvous_hash(index, f'parent of {member.host}'), 'big')
        parent_index = hash_value % len(live)
        return tuple(Source(host) for host in (live[parent_index], live[0]))


__all__ = (
    'FixedTree',
    'OriginOnly',
    'RandomPeers',
)
