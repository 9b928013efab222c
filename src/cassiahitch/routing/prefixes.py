"""Which replicas hold which prompt prefixes, from cache events late and with gaps."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.engine.api import CacheEvent

#: Prefixes kept per replica; the oldest are dropped.
PREFIXES = 2_048
#: Trust after a gap in the sequence of events.
TRUST_AFTER_GAP = 0.25
#: Part of the lost trust that each event in sequence restores.
TRUST_GAIN = 0.02


@dataclass(slots=True)
class CacheView:
    """What is known of the cache of one replica."""

    sequence: int = 0
    trust: float = 1
    prefixes: dict[str, None] = field(default_factory=dict)


class PrefixIndex:
    """Cached prefixes of all replicas."""

    def __init__(self) -> None:
        """Create it without any replica."""
        self.views: dict[str, CacheView] = {}
        self.holders: defaultdict[str, dict[str, None]] = defaultdict(dict)
        self.lengths: defaultdict[int, int] = defaultdict(int)

    def observe(self, host: str, event: CacheEvent) -> None:
        """Take a cache event in; events that come twice or late change nothing.

        :param host: the replica that published it.
        :param event: the event.
        """
        view = self.views.setdefault(host, CacheView(event.sequence - 1))
        if event.sequence <= view.sequence:
            return
        if event.sequence == view.sequence + 1:
            view.trust += TRUST_GAIN * (1 - view.trust)
        else:
            view.trust = TRUST_AFTER_GAP
        view.sequence = event.sequence
        self.drop(host, view, event.prefix)
        if event.cached:
            self.keep(host, view, event.prefix)

    def forget(self, host: str) -> None:
        """Forget the cache of a replica.

        :param host: the replica.
        """
        view = self.views.pop(host, None)
        if view is None:
            return
        for prefix in tuple(view.prefixes):
            self.drop(host, view, prefix)

    def match(self, prompt: str) -> tuple[str, ...]:
        """Return the longest cached prefixes of a prompt, longest first.

        :param prompt: the start of the prompt.
        :return: cached prefixes.
        """
        lengths = sorted(self.lengths, reverse=True)
        starts = (prompt[:length] for length in lengths if length <= len(prompt))
        return tuple(start for start in starts if start in self.holders)

    def trust(self, host: str, prefix: str) -> float:
        """Return how far a replica is trusted to hold a prefix.

        :param host: the replica.
        :param prefix: a cached prefix.
        :return: 0 to 1.
        """
        view = self.views.get(host)
        if view is None or prefix not in view.prefixes:
            return 0
        return view.trust

    def keep(self, host: str, view: CacheView, prefix: str) -> None:
        """Note that a replica holds a prefix.

        :param host: the replica.
        :param view: what is known of its cache.
        :param prefix: the prefix.
        """
        if len(view.prefixes) >= PREFIXES:
            self.drop(host, view, next(iter(view.prefixes)))
        if prefix not in self.holders:
            self.lengths[len(prefix)] += 1
        view.prefixes[prefix] = None
        self.holders[prefix][host] = None

    def drop(self, host: str, view: CacheView, prefix: str) -> None:
        """Note that a replica no longer holds a prefix.

        :param host: the replica.
        :param view: what is known of its cache.
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
