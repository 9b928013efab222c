"""Index of the prompt prefixes cached by each replica, built from late and lossy cache events."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.engine.api import CacheEvent

#: Maximum number of prefixes per replica; the oldest are dropped.
MAX_PREFIXES_PER_REPLICA = 2_048
#: Confidence in the view of a cache after a gap in the sequence of events.
CONFIDENCE_AFTER_GAP = 0.25
#: Fraction of the lost confidence that each event in sequence restores.
CONFIDENCE_GAIN = 0.02


@dataclass(slots=True)
class CacheView:
    """Known content of the cache of one replica; ``confidence`` is 1 until an event is lost."""

    sequence: int = 0
    confidence: float = 1
    prefixes: dict[str, None] = field(default_factory=dict)


class PrefixIndex:
    """Cached prefixes of all replicas."""

    def __init__(self) -> None:
        """Create an index without replicas."""
        self.views: dict[str, CacheView] = {}
        self.holders: defaultdict[str, dict[str, None]] = defaultdict(dict)
        self.lengths: defaultdict[int, int] = defaultdict(int)

    def apply_event(self, host: str, event: CacheEvent) -> None:
        """Apply a cache event; duplicated and late events are ignored.

        :param host: the replica that published it.
        :param event: the event.
        """
        view = self.views.setdefault(host, CacheView(event.sequence - 1))
        if event.sequence <= view.sequence:
            return
        if event.sequence == view.sequence + 1:
            view.confidence += CONFIDENCE_GAIN * (1 - view.confidence)
        else:
            view.confidence = CONFIDENCE_AFTER_GAP
        view.sequence = event.sequence
        self.remove_prefix(host, view, event.prefix)
        if event.cached:
            self.add_prefix(host, view, event.prefix)

    def remove_replica(self, host: str) -> None:
        """Remove a replica and its prefixes.

        :param host: the replica.
        """
        view = self.views.pop(host, None)
        if view is None:
            return
        for prefix in tuple(view.prefixes):
            self.remove_prefix(host, view, prefix)

    def match(self, prompt: str) -> tuple[str, ...]:
        """Return the cached prefixes of a prompt, longest first.

        :param prompt: the start of the prompt.
        :return: cached prefixes.
        """
        lengths = sorted(self.lengths, reverse=True)
        candidates = (prompt[:length] for length in lengths if length <= len(prompt))
        return tuple(candidate for candidate in candidates if candidate in self.holders)

    def confidence(self, host: str, prefix: str) -> float:
        """Return the confidence that a replica has a prefix cached.

        :param host: the replica.
        :param prefix: a cached prefix.
        :return: 0 to 1.
        """
        view = self.views.get(host)
        if view is None or prefix not in view.prefixes:
            return 0
        return view.confidence

    def add_prefix(self, host: str, view: CacheView, prefix: str) -> None:
        """Add a prefix to the cache view of a replica.

        :param host: the replica.
        :param view: the view of its cache.
        :param prefix: the prefix.
        """
        if len(view.prefixes) >= MAX_PREFIXES_PER_REPLICA:
            self.remove_prefix(host, view, next(iter(view.prefixes)))
        if prefix not in self.holders:
            self.lengths[len(prefix)] += 1
        view.prefixes[prefix] = None
        self.holders[prefix][host] = None

    def remove_prefix(self, host: str, view: CacheView, prefix: str) -> None:
        """Remove a prefix from the cache view of a replica.

        :param host: the replica.
        :param view: the view of its cache.
        :param prefix: the prefix.
        """
        if prefix not in view.prefixes:
            return
        view.prefixes.pop(prefix)
        self.holders[prefix].pop(host)
        if self.holders[prefix]:
            return
        self.holders.pop(prefix)
        self.lengths[len(prefix)] -= 1
        if not self.lengths[len(prefix)]:
            self.lengths.pop(len(prefix))


__all__ = ('PrefixIndex',)
