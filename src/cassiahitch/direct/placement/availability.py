"""Replicas that want no requests for a while, or none any more, as they say themselves.

Load pattern: a replica that ends, or has too much to do, says so in its answers, while the list of
replicas still names it or is out of reach. Requests that are sent all the same are refused or lost,
and after a pause all that waited for its end would come at the same moment.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

#: Seconds for which the word of a replica is kept that is not listed: an older copy may list it.
RETENTION_S = 60.0
#: Seconds after a pause in which requests come back little by little.
RAMP_UP_S = 1.0


@dataclass(slots=True)
class Announcement:
    """What a replica said of itself, and when, in seconds; ``seen_at`` is when it was listed."""

    seen_at: float
    leaves_since: float | None = None
    pause_since: float = float('-inf')
    pause_until: float = float('-inf')


@dataclass(frozen=True, slots=True)
class ExpiredAnnouncement:
    """The end of what a replica said; ``after_s`` is how long it held."""

    key: str
    stopping: bool
    after_s: float


@dataclass(slots=True)
class ReplicaAvailability:
    """The words of replicas, by their incarnations, so that none holds for the next start."""

    rng: random.Random
    announcements: dict[str, Announcement] = field(default_factory=dict)

    def record_stopping(self, key: str, now: float) -> bool:
        """Take in that a replica leaves; nothing takes that back.

        :param key: its incarnation.
        :param now: seconds.
        :return: whether it is news.
        """
        word = self.announcements.setdefault(key, Announcement(now))
        if word.leaves_since is not None:
            return False
        word.leaves_since = now
        return True

    def record_pause(self, key: str, seconds: float, now: float) -> bool:
        """Take in that a replica wants nothing for a time; of several, the longest holds.

        :param key: its incarnation.
        :param seconds: how long.
        :param now: seconds.
        :return: whether it is news.
        """
        word = self.announcements.setdefault(key, Announcement(now))
        is_news = word.pause_until <= now < now + seconds
        if is_news:
            word.pause_since = now
        word.pause_until = max(word.pause_until, now + seconds)
        return is_news

    def is_stopping(self, key: str) -> bool:
        """Tell whether a replica leaves.

        :param key: its incarnation.
        :return: whether it said so.
        """
        word = self.announcements.get(key)
        return word is not None and word.leaves_since is not None

    def may_send(self, key: str, now: float) -> bool:
        """Tell whether a request may be sent to a replica now.

        :param key: its incarnation.
        :param now: seconds.
        :return: whether it may.
        """
        word = self.announcements.get(key)
        return word is None or (word.leaves_since is None and now >= word.pause_until)

    def passes_ramp_up(self, key: str, now: float) -> bool:
        """Tell whether a replica is among those to choose from, if there are others.

        :param key: its incarnation, to which requests may be sent.
        :param now: seconds.
        :return: whether it is; more and more often after a pause.
        """
        word = self.announcements.get(key)
        if word is None:
            return True
        return now - word.pause_until >= RAMP_UP_S * self.rng.random()

    def available_in_s(self, keys: Iterable[str], now: float) -> float | None:
        """Return when the first of some replicas may be sent to.

        :param keys: their incarnations.
        :param now: seconds.
        :return: seconds, 0 if one may be now, nothing if all leave or there is none.
        """
        announcements = [self.announcements.get(key, Announcement(now)) for key in keys]
        free = [max(0, one.pause_until - now) for one in announcements if one.leaves_since is None]
        return min(free, default=None)

    def expire(self, listed: frozenset[str], now: float) -> list[ExpiredAnnouncement]:
        """Forget what no longer matters.

        :param listed: the incarnations that are listed.
        :param now: seconds.
        :return: what has ended.
        """
        ended: list[ExpiredAnnouncement] = []
        for key, word in tuple(self.announcements.items()):
            if key in listed:
                word.seen_at = now
            gone = now - word.seen_at >= RETENTION_S
            if word.leaves_since is not None and gone:
                ended.append(
                    ExpiredAnnouncement(key, stopping=True, after_s=now - word.leaves_since)
                )
                self.announcements.pop(key)
            elif word.leaves_since is None and now >= word.pause_until + RAMP_UP_S:
                ended.append(
                    ExpiredAnnouncement(
                        key, stopping=False, after_s=word.pause_until - word.pause_since
                    )
                )
                self.announcements.pop(key)
        return ended


__all__ = (
    'ExpiredAnnouncement',
    'ReplicaAvailability',
)
