"""SourceChoice of the source for a chunk, with what is known of the other hosts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.weights.tree import TREES, Source, Trees

if TYPE_CHECKING:
    from cassiahitch.weights.plan import Participant, RolloutPlan

#: Corrupt chunks after which a host is suspected.
CORRUPT_LIMIT = 3


@dataclass(frozen=True, slots=True)
class SourceChoice:
    """A source and the time before which it must not be asked."""

    source: Source
    not_before: float


class SourceSelector:
    """What one host knows of the sources of one plan."""

    def __init__(
        self,
        member: Participant,
        plan: RolloutPlan,
        suspect_duration_s: float,
        origin_stagger_s: float,
        trees: Trees | None = None,
    ) -> None:
        """Create the book.

        :param member: this host.
        :param plan: the plan of the rollout.
        :param suspect_duration_s: seconds for which a host that stalled is left out.
        :param origin_stagger_s: seconds between the hosts that turn to the origin in turn.
        :param trees: the trees of the plan, if they exist already.
        """
        self.member = member
        self.trees = trees or Trees(plan)
        self.suspect_duration_s = suspect_duration_s
        self.origin_stagger_s = origin_stagger_s
        self.gone: set[str] = set()
        self.suspects: dict[str, float] = {}
        self.corrupt: dict[str, int] = {}
        self.tried: dict[int, set[str]] = {}
        self.routes: dict[int, tuple[Source, ...]] = {}
        self.root_since: dict[int, float] = {}

    def choose(self, index: int, now: float) -> SourceChoice | None:
        """Choose the source for a chunk.

        :param index: the position of the chunk.
        :param now: the time in seconds.
        :return: the choice, or nothing if all sources failed for this chunk; they are then
            forgotten and can be tried again.
        """
        tree = index % TREES
        tried = self.tried.get(index, set())
        for source in self.sources(tree):
            if source.is_origin:
                since = self.root_since.setdefault(tree, now)
                return SourceChoice(source, since + source.stagger * self.origin_stagger_s)
            if source.host not in tried:
                return SourceChoice(source, now)
        self.tried.pop(index, None)
        return None

    def sources(self, tree: int) -> tuple[Source, ...]:
        """Return the sources of a tree that are neither gone nor suspected.

        :param tree: the number of the tree.
        :return: the sources, the best first.
        """
        if tree not in self.routes:
            self.routes[tree] = self.trees.ancestors(
                tree,
                self.member,
                frozenset(self.gone),
                frozenset(self.suspects),
            )
        return self.routes[tree]

    def note_arrival(self, index: int, source: Source) -> None:
        """Note that a source sent a chunk whose digest is right.

        :param index: the position of the chunk.
        :param source: the source.
        """
        self.tried.pop(index, None)
        if not source.is_origin:
            self.root_since.pop(index % TREES, None)

    def fail_chunk(self, index: int, source: Source) -> None:
        """Note that a source failed for one chunk.

        :param index: the position of the chunk.
        :param source: the source.
        """
        if not source.is_origin:
            self.tried.setdefault(index, set()).add(source.host)

    def note_corrupt(self, source: Source, now: float) -> bool:
        """Count a corrupt chunk against its sender.

        :param source: the sender.
        :param now: the time in seconds.
        :return: whether the sender is suspected from now on.
        """
        count = self.corrupt.get(source.host, 0) + 1
        self.corrupt[source.host] = count
        if source.is_origin or count % CORRUPT_LIMIT:
            return False
        self.suspect(source.host, now)
        return True

    def suspect(self, host: str, now: float) -> None:
        """Leave a host out for some time.

        :param host: the host.
        :param now: the time in seconds.
        """
        self.suspects[host] = now + self.suspect_duration_s
        self.forget_routes()

    def clear(self, host: str) -> None:
        """Forget that a host is suspected.

        :param host: the host.
        """
        if self.suspects.pop(host, None) is not None:
            self.forget_routes()

    def remove(self, host: str) -> None:
        """Leave a host out until it is back.

        :param host: the host.
        """
        self.gone.add(host)
        self.forget_routes()

    def restore(self, host: str) -> None:
        """Take a host that is back into the trees again.

        :param host: the host.
        """
        self.gone.discard(host)
        self.suspects.pop(host, None)
        self.forget_routes()

    def expire(self, now: float) -> None:
        """End the suspicions whose time has passed.

        :param now: the time in seconds.
        """
        ended = tuple(host for host, until in self.suspects.items() if until <= now)
        for host in ended:
            self.clear(host)

    def forget_routes(self) -> None:
        """Work the sources out anew when they are needed."""
        self.routes.clear()


__all__ = (
    'SourceChoice',
    'SourceSelector',
)
