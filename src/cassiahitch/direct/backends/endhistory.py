"""Remembers how the responses of backend servers ended, as evidence for responses without a length.

Load pattern: a live backend server breaks off streams by the dozen, right after an event and with
neither chunks nor a length. Sound streams that end in the same way come beside them, or from
services that never show the end of a stream.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.state.replicas import Replica

#: Seconds for which a backend server that broke off such a response is suspected of doing it again.
SUSPICION_S = 10.0
#: Questions for the rest of a stream, and the seconds that lie between the first one and now, after
#: which a service counts as one that never shows the end of its streams.
MIN_EMPTY_RESTS = 3
MIN_OBSERVATION_S = 10.0


@dataclass(slots=True)
class EmptyRests:
    """Questions to one service whose answers were empty and showed no end either.

    ``first_at`` is the time of the first one, in seconds.
    """

    count: int = 0
    first_at: float = math.inf


@dataclass(frozen=True, slots=True)
class EndHistory:
    """Evidence of one entry; all times are seconds of the event loop's clock.

    ``empty_rests`` has, by service, the questions since a stream last showed its end or was found
    to be broken off. ``broken_off_at`` has, by the key of a replica, when it last broke off a
    response that had neither chunks nor a length.
    """

    empty_rests: defaultdict[str, EmptyRests] = field(
        default_factory=lambda: defaultdict(EmptyRests)
    )
    broken_off_at: dict[str, float] = field(default_factory=dict)

    def record_shown_end(self, replica: Replica) -> None:
        """Record a stream that ended with its last chunk or its length.

        :param replica: the backend server.
        """
        self.empty_rests.pop(replica.service, None)

    def record_broken_off(self, replica: Replica, now: float) -> None:
        """Record a response without chunks or a length that was broken off.

        :param replica: the backend server.
        :param now: current time.
        """
        self.broken_off_at[replica.key] = now
        self.empty_rests.pop(replica.service, None)

    def record_empty_rest(self, replica: Replica, now: float) -> None:
        """Record an empty response to a question for the rest of a stream that shows no end.

        :param replica: the backend server that was asked.
        :param now: current time.
        """
        rests = self.empty_rests[replica.service]
        rests.count += 1
        rests.first_at = min(rests.first_at, now)

    def never_shows_ends(self, replica: Replica, now: float) -> bool:
        """Return whether the streams of a service are known to end with their connections.

        :param replica: a backend server of the service.
        :param now: current time.
        :return: whether it has been asked often enough, and no stream has shown its end or was
            broken off since.
        """
        rests = self.empty_rests.get(replica.service, EmptyRests())
        return rests.count >= MIN_EMPTY_RESTS and now - rests.first_at >= MIN_OBSERVATION_S

    def is_suspected(self, replica: Replica, now: float) -> bool:
        """Return whether a backend server has recently broken off such a response.

        :param replica: the backend server.
        :param now: current time.
        :return: whether it has.
        """
        return now - self.broken_off_at.get(replica.key, -math.inf) < SUSPICION_S

    def keep_only(self, listed: frozenset[str]) -> None:
        """Drop what is known about backend servers that are no longer listed.

        :param listed: keys of the listed replicas (incarnations).
        """
        for key in self.broken_off_at.keys() - listed:
            self.broken_off_at.pop(key)


__all__ = ('EndHistory',)
