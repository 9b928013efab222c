"""Other ways to choose sources, to compare the trees with."""

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
        :param lost: hosts that are left out.
        :param suspects: hosts that are left out.
        :return: the origin alone.
        """
        return (Source('', Tier.region),)


class FixedTree(Trees):
    """All chunks take one tree."""

    def order(self, tree: int) -> tuple[Participant, ...]:
        """Return the order of the one tree.

        :param tree: any number.
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
        """Return random hosts before this one in the order, so that no two wait for each other.

        :param index: the position of the chunk.
        :param member: the host.
        :param lost: hosts that are left out.
        :param suspects: hosts that are left out.
        :return: the sources; the first host of the order has the origin.
        """
        order = self.order(index)
        before = [other.host for other in order[: order.index(member)]]
        live = [host for host in before if host not in lost and host not in suspects]
        if not live:
            return (Source('', Tier.region),)
        spread = int.from_bytes(rendezvous_hash(index, f'parent of {member.host}'), 'big')
        first = spread % len(live)
        return tuple(Source(host) for host in (live[first], live[0]))


__all__ = (
    'FixedTree',
    'OriginOnly',
    'RandomPeers',
)
