"""Availability of replicas as they announce it themselves, by a pause or by stopping.

Load pattern: a replica that is stopping or overloaded announces this in its responses, while the
replica list still contains it or is unreachable. Requests that are sent nevertheless are refused
or lost. When a pause ends, all requests that waited for its end would arrive at once; therefore
replicas ramp up after a pause.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

#: Seconds for which the announcement of an unlisted replica is kept, since an outdated copy of the
#: list may contain the replica again.
RETENTION_S = 60.0
#: Seconds after a pause within which a replica receives an increasing share of requests.
RAMP_UP_S = 1.0


@dataclass(slots=True)
class Announcement:
    """Announcements of a replica.

    ``listed_at`` is when the replica list last contained it. Times in seconds.
    """

    listed_at: float
    stopping_since: float | None = None
    paused_since: float = float('-inf')
    paused_until: float = float('-inf')


@dataclass(frozen=True, slots=True)
class ExpiredAnnouncement:
    """An announcement that no longer applies; ``after_s`` is how long it was in effect."""

    key: str
    stopping: bool
    after_s: float


@dataclass(slots=True)
class ReplicaAvailability:
    """Announcements of replicas, by incarnation, so that none applies after a restart."""

    rng: random.Random
    announcements: dict[str, Announcement] = field(default_factory=dict)

    def record_stopping(self, key: str, now: float) -> bool:
        """Record that a replica is stopping, which is final.

        :param key: key of the replica.
        :param now: current time in seconds.
        :return: whether this was not recorded before.
        """
        announcement = self.announcements.setdefault(key, Announcement(now))
        if announcement.stopping_since is not None:
            return False
        announcement.stopping_since = now
        return True

    def record_pause(self, key: str, seconds: float, now: float) -> bool:
        """Record that a replica asks for a pause; of several pauses, the one that ends last counts.

        :param key: key of the replica.
        :param seconds: duration of the pause.
        :param now: current time in seconds.
        :return: whether the replica was not paused before.
        """
        announcement = self.announcements.setdefault(key, Announcement(now))
        is_new = announcement.paused_until <= now < now + seconds
        if is_new:
            announcement.paused_since = now
        announcement.paused_until = max(announcement.paused_until, now + seconds)
        return is_new

    def is_stopping(self, key: str) -> bool:
        """Return whether a replica is stopping.

        :param key: key of the replica.
        :return: whether it announced that.
        """
        announcement = self.announcements.get(key)
        return announcement is not None and announcement.stopping_since is not None

    def may_send(self, key: str, now: float) -> bool:
        """Return whether a request may be sent to a replica now.

        :param key: key of the replica.
        :param now: current time in seconds.
        :return: whether the replica is neither stopping nor paused.
        """
        announcement = self.announcements.get(key)
        return announcement is None or (
            announcement.stopping_since is None and now >= announcement.paused_until
        )

    def passes_ramp_up(self, key: str, now: float) -> bool:
        """Return whether a replica is a candidate for a request if there are other replicas.

        :param key: key of the replica, to which requests may be sent.
        :param now: current time in seconds.
        :return: True at random during the ramp-up after a pause, with an increasing probability.
        """
        announcement = self.announcements.get(key)
        if announcement is None:
            return True
        return now - announcement.paused_until >= RAMP_UP_S * self.rng.random()

    def available_in_s(self, keys: Iterable[str], now: float) -> float | None:
        """Return the time until requests may be sent to the first of some replicas.

        :param keys: keys of the replicas.
        :param now: current time in seconds.
        :return: seconds, 0 if one accepts requests now, None if all are stopping or there is none.
        """
        announcements = [self.announcements.get(key, Announcement(now)) for key in keys]
        waits = [
            max(0, announcement.paused_until - now)
            for announcement in announcements
            if announcement.stopping_since is None
        ]
        return min(waits, default=None)

    def expire(self, listed: frozenset[str], now: float) -> list[ExpiredAnnouncement]:
        """Drop announcements that no longer apply.

        :param listed: keys of the listed replicas.
        :param now: current time in seconds.
        :return: the dropped announcements.
        """
        expired: list[ExpiredAnnouncement] = []
        for key, announcement in tuple(self.announcements.items()):
            if key in listed:
                announcement.listed_at = now
            is_unlisted = now - announcement.listed_at >= RETENTION_S
            if announcement.stopping_since is not None and is_unlisted:
                expired.append(
                    ExpiredAnnouncement(
                        key, stopping=True, after_s=now - announcement.stopping_since
                    )
                )
                self.announcements.pop(key)
            elif (
                announcement.stopping_since is None and now >= announcement.paused_until + RAMP_UP_S
            ):
                expired.append(
                    ExpiredAnnouncement(
                        key,
                        stopping=False,
                        after_s=announcement.paused_until - announcement.paused_since,
                    )
                )
                self.announcements.pop(key)
        return expired


__all__ = (
    'ExpiredAnnouncement',
    'ReplicaAvailability',
)
