"""Evidence on which segments of prompts crash engines.

Load pattern: requests that have one segment in common, and nothing else, arrive at any entry, and
each engine that begins to respond to one of them crashes. A segment of a request that has begun is
sound. What remains of the segments of requests that had not begun at a crash is suspect, and a
segment that remains at several crashes explains them. Evidence of several entries is merged; the
result does not depend on the order.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from itertools import pairwise

#: Crashes that a segment must explain to be refused.
CRASHES_TO_REFUSE = 2
#: Seconds between two crashes from which on they count as separate events. Several engines that end
#: at the same time, such as those of one failure domain, may have another cause in common.
SEPARATE_CRASHES_S = 1.0
#: Seconds before a crash within which a request must have begun for its segments to be sound.
SOUND_BEFORE_S = 10.0
#: Maximum crashes that are kept, and segments of each.
MAX_CRASHES = 64
MAX_CRASH_SEGMENTS = 256
#: Maximum sound segments that are kept; those that were least recently seen are dropped.
MAX_SOUND_SEGMENTS = 32_768
#: Seconds for which a crash is kept, and for which one is that a refused segment explains.
SUSPICION_S = 600.0
REFUSAL_RETENTION_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Segment:
    """A segment of the prompts of a service."""

    service: str
    id: str


@dataclass(frozen=True, slots=True)
class SegmentCrash:
    """A crash of an engine at ``at``, in seconds, and the suspect ``segments``."""

    replica: str
    born_ms: int
    service: str
    at: float
    segments: frozenset[str]

    @property
    def key(self) -> tuple[str, int]:
        """Identifier of the incarnation that crashed."""
        return self.replica, self.born_ms

    def merge(self, other: SegmentCrash) -> SegmentCrash:
        """Merge the observations of two entries.

        :param other: another observation of the same crash.
        :return: the union of the segments, and the earlier time.
        """
        at = min(self.at, other.at)
        return replace(self, at=at, segments=self.segments | other.segments)


@dataclass(frozen=True, slots=True)
class RefusedGroup:
    """Segments that explain the same crashes, so that the crashes cannot tell them apart.

    ``crashes`` is the number of crashes, the last one at ``last_at``, in seconds. ``events`` counts
    crashes at the same time once.
    """

    segments: frozenset[str]
    crashes: int
    last_at: float
    events: int = 1


@dataclass(frozen=True, slots=True)
class Conclusion:
    """What the evidence says on the segments of a service.

    ``suspects`` holds the number of crashes of each suspect segment.
    """

    groups: tuple[RefusedGroup, ...] = ()
    suspects: Mapping[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class SegmentEvidence:
    """Crashes with their suspect segments, and sound segments with the time of their last begin."""

    crashes: dict[tuple[str, int], SegmentCrash] = field(default_factory=dict)
    sound_at: dict[Segment, float] = field(default_factory=dict)
    conclusions: dict[str, Conclusion] = field(default_factory=dict)

    def is_sound(self, segment: Segment, crashed_at: float) -> bool:
        """Return whether a segment cannot be the cause of a crash.

        :param segment: the segment.
        :param crashed_at: time of the crash in seconds.
        :return: whether a request with it began shortly before the crash, or later.
        """
        return self.sound_at.get(segment, -math.inf) > crashed_at - SOUND_BEFORE_S

    def record_crash(self, crash: SegmentCrash) -> bool:
        """Merge an observation of a crash.

        :param crash: the observation of this or another entry.
        :return: whether it has changed the evidence.
        """
        before = self.crashes.get(crash.key)
        merged = self.without_sound(before.merge(crash) if before else crash)
        if merged == before or not merged.segments:
            return False
        is_new = before is None or merged.segments != before.segments
        self.crashes[merged.key] = merged
        self.drop_oldest()
        self.conclusions.pop(crash.service, None)
        return is_new and merged.key in self.crashes

    def without_sound(self, crash: SegmentCrash) -> SegmentCrash:
        """Return a crash without the segments that are sound.

        :param crash: the crash.
        :return: a crash with at most ``MAX_CRASH_SEGMENTS``.
        """
        suspect = (
            segment
            for segment in crash.segments
            if not self.is_sound(Segment(crash.service, segment), crash.at)
        )
        return replace(crash, segments=frozenset(sorted(suspect)[:MAX_CRASH_SEGMENTS]))

    def drop_oldest(self) -> None:
        """Drop the oldest crashes if there are too many."""
        while len(self.crashes) > MAX_CRASHES:
            self.remove(min(self.crashes.values(), key=_age_order))

    def remove(self, crash: SegmentCrash) -> None:
        """Remove a crash.

        :param crash: the crash.
        """
        self.crashes.pop(crash.key)
        self.conclusions.pop(crash.service, None)

    def record_sound(self, segment: Segment, at: float) -> bool:
        """Record that a request with a segment has begun.

        :param segment: the segment.
        :param at: when it began, in seconds.
        :return: whether the segment was suspect and is no longer.
        """
        latest = max(at, self.sound_at.pop(segment, -math.inf))
        self.sound_at[segment] = latest
        if len(self.sound_at) > MAX_SOUND_SEGMENTS:
            self.sound_at.pop(next(iter(self.sound_at)))
        if segment.id not in self.conclude(segment.service).suspects:
            return False
        return self.clear(segment)

    def clear(self, segment: Segment) -> bool:
        """Remove a segment from the crashes that it cannot be the cause of.

        :param segment: a sound segment.
        :return: whether there was one.
        """
        cleared = [
            crash
            for crash in self.crashes.values()
            if crash.service == segment.service
            and segment.id in crash.segments
            and self.is_sound(segment, crash.at)
        ]
        for crash in cleared:
            self.remove(crash)
            remaining = replace(crash, segments=crash.segments - {segment.id})
            if remaining.segments:
                self.crashes[crash.key] = remaining
        return bool(cleared)

    def conclude(self, service: str) -> Conclusion:
        """Return what the evidence says on the segments of a service.

        :param service: the service.
        :return: the conclusion.
        """
        conclusion = self.conclusions.get(service)
        if conclusion is None:
            crashes = [crash for crash in self.crashes.values() if crash.service == service]
            suspects = Counter(segment for crash in crashes for segment in crash.segments)
            conclusion = Conclusion(explain(crashes), suspects)
            self.conclusions[service] = conclusion
        return conclusion

    def expire(self, now: float) -> None:
        """Remove crashes that were long ago.

        :param now: current time in seconds.
        """
        for crash in tuple(self.crashes.values()):
            groups = self.conclude(crash.service).groups
            explained = any(group.segments <= crash.segments for group in groups)
            retention_s = REFUSAL_RETENTION_S if explained else SUSPICION_S
            if now - crash.at >= retention_s:
                self.remove(crash)


def explain(crashes: list[SegmentCrash]) -> tuple[RefusedGroup, ...]:
    """Return the segments that explain crashes best.

    A segment that was only at crashes which another one explains is not among them.

    :param crashes: crashes of the engines of one service.
    :return: groups of segments that each explain several crashes; none of the crashes is explained
        by two groups.
    """
    groups: list[RefusedGroup] = []
    unexplained = crashes
    while unexplained:
        counts = Counter(segment for crash in unexplained for segment in crash.segments)
        # The smallest id decides between segments of different crashes, the same at all entries.
        most, chosen = min((-count, segment) for segment, count in counts.items())
        if -most < CRASHES_TO_REFUSE:
            break
        explained = [crash for crash in unexplained if chosen in crash.segments]
        common = frozenset.intersection(*(crash.segments for crash in explained))
        alike = frozenset(segment for segment in common if counts[segment] == -most)
        groups.append(make_group(alike, explained))
        unexplained = [crash for crash in unexplained if chosen not in crash.segments]
    return tuple(groups)


def make_group(segments: frozenset[str], crashes: list[SegmentCrash]) -> RefusedGroup:
    """Return the group of the segments that explain some crashes.

    :param segments: the segments.
    :param crashes: the crashes, at least one.
    :return: the group.
    """
    times = sorted(crash.at for crash in crashes)
    return RefusedGroup(segments, len(crashes), times[-1], count_events(times))


def count_events(times: list[float]) -> int:
    """Return the number of crashes, of which those at the same time count once.

    :param times: times of the crashes in seconds, in ascending order, at least one.
    :return: their number.
    """
    return 1 + sum(later - earlier >= SEPARATE_CRASHES_S for earlier, later in pairwise(times))


def _age_order(crash: SegmentCrash) -> tuple[float, tuple[str, int]]:
    return crash.at, crash.key


__all__ = (
    'CRASHES_TO_REFUSE',
    'Conclusion',
    'MAX_CRASHES',
    'MAX_CRASH_SEGMENTS',
    'MAX_SOUND_SEGMENTS',
    'RefusedGroup',
    'SEPARATE_CRASHES_S',
    'SOUND_BEFORE_S',
    'Segment',
    'SegmentCrash',
    'SegmentEvidence',
    'count_events',
    'explain',
    'make_group',
)
