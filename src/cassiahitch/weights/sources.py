"""Choice of the source of a chunk, which excludes lost, suspected and failed hosts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.weights.tree import TREES, Source, Trees

if TYPE_CHECKING:
    from cassiahitch.weights.plan import Participant, RolloutPlan

#: Number of corrupt chunks from a host after which it is suspected.
CORRUPT_LIMIT = 3


@dataclass(frozen=True, slots=True)
class SourceChoice:
    """A source and the earliest time to send it a request."""

    source: Source
    not_before: float


class SourceSelector:
    """Chooses the sources of one host for the chunks of one plan and tracks their failures."""

    def __init__(
        self,
        member: Participant,
        plan: RolloutPlan,
        suspect_duration_s: float,
        origin_stagger_s: float,
        trees: Trees | None = None,
    ) -> None:
        """Create a selector without failures.

        :param member: this host.
        :param plan: the plan of the rollout.
        :param suspect_duration_s: seconds for which a suspected host is excluded.
        :param origin_stagger_s: seconds between hosts that fall back to the origin one by one.
        :param trees: the trees of the plan, if already computed.
        """
        self.member = member
        self.trees = trees or Trees(plan)
        self.suspect_duration_s = suspect_duration_s
        self.origin_stagger_s = origin_stagger_s
        self.lost_hosts: set[str] = set()
        self.suspects: dict[str, float] = {}
        self.corrupt_counts: dict[str, int] = {}
        self.failed_hosts_by_chunk: dict[int, set[str]] = {}
        self.cached_sources_by_tree: dict[int, tuple[Source, ...]] = {}
        self.root_since_by_tree: dict[int, float] = {}

    def choose(self, index: int, now: float) -> SourceChoice | None:
        """Choose the source for a chunk.

        :param index: index of the chunk.
        :param now: monotonic time in seconds.
        :return: the choice, or ``None`` if all sources failed for this chunk; these failures are
            then cleared, so that all sources can be tried again.
        """
        tree = index % TREES
        failed_hosts = self.failed_hosts_by_chunk.get(index, set())
        for source in self.sources(tree):
            if source.is_origin:
                since = self.root_since_by_tree.setdefault(tree, now)
                return SourceChoice(source, since + source.stagger * self.origin_stagger_s)
            if source.host not in failed_hosts:
                return SourceChoice(source, now)
        self.failed_hosts_by_chunk.pop(index, None)
        return None

    def sources(self, tree: int) -> tuple[Source, ...]:
        """Return the sources of a tree that are neither lost nor suspected.

        :param tree: index of the tree.
        :return: the sources in order of preference.
        """
        if tree not in self.cached_sources_by_tree:
            self.cached_sources_by_tree[tree] = self.trees.ancestors(
                tree,
                self.member,
                frozenset(self.lost_hosts),
                frozenset(self.suspects),
            )
        return self.cached_sources_by_tree[tree]

    def record_chunk_received(self, index: int, source: Source) -> None:
        """Record that a source sent a verified chunk.

        :param index: index of the chunk.
        :param source: the source.
        """
        self.failed_hosts_by_chunk.pop(index, None)
        if not source.is_origin:
            self.root_since_by_tree.pop(index % TREES, None)

    def record_chunk_failure(self, index: int, source: Source) -> None:
        """Record that a source failed for one chunk.

        :param index: index of the chunk.
        :param source: the source.
        """
        if not source.is_origin:
            self.failed_hosts_by_chunk.setdefault(index, set()).add(source.host)

    def record_corrupt_chunk(self, source: Source, now: float) -> bool:
        """Record a corrupt chunk and suspect its sender once the limit is reached.

        :param source: the sender.
        :param now: monotonic time in seconds.
        :return: whether the sender became suspected.
        """
        count = self.corrupt_counts.get(source.host, 0) + 1
        self.corrupt_counts[source.host] = count
        if source.is_origin or count % CORRUPT_LIMIT:
            return False
        self.suspect(source.host, now)
        return True

    def suspect(self, host: str, now: float) -> None:
        """Mark a host as suspected, which excludes it for ``suspect_duration_s``.

        :param host: the host.
        :param now: monotonic time in seconds.
        """
        self.suspects[host] = now + self.suspect_duration_s
        self.invalidate_sources()

    def clear_suspect(self, host: str) -> None:
        """Clear the suspicion of a host.

        :param host: the host.
        """
        if self.suspects.pop(host, None) is not None:
            self.invalidate_sources()

    def remove_host(self, host: str) -> None:
        """Exclude a lost host until it is restored.

        :param host: the host.
        """
        self.lost_hosts.add(host)
        self.invalidate_sources()

    def restore_host(self, host: str) -> None:
        """Include a host again that is no longer lost.

        :param host: the host.
        """
        self.lost_hosts.discard(host)
        self.suspects.pop(host, None)
        self.invalidate_sources()

    def expire_suspicions(self, now: float) -> None:
        """Clear the suspicions that have expired.

        :param now: monotonic time in seconds.
        """
        expired = tuple(host for host, expires_at in self.suspects.items() if expires_at <= now)
        for host in expired:
            self.clear_suspect(host)

    def invalidate_sources(self) -> None:
        """Clear the cached sources, so that they are computed again on demand."""
        self.cached_sources_by_tree.clear()


__all__ = (
    'SourceChoice',
    'SourceSelector',
)
