"""Refusal of requests whose prompts have a segment that crashes engines.

Load pattern: the requests arrive at all entries, and each of them crashes an engine. What one entry
observes therefore has to reach all others at once, and a request that has not begun is withdrawn
when its segment is refused. A refused segment is tried again after growing times, by one entry.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import chain, zip_longest
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.segmentevidence import (
    MAX_CRASH_SEGMENTS,
    RefusedGroup,
    Segment,
    SegmentCrash,
    SegmentEvidence,
)

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.state.replicas import Replica

#: Segments of one crash in a message to another entry.
MAX_REPORTED_SEGMENTS = 16
#: Seconds after the last crash until a refused segment is tried, the factor by which each further
#: crash prolongs that time, and the longest such time.
FIRST_TRIAL_S = 30.0
TRIAL_GROWTH = 6
MAX_TRIAL_DELAY_S = 600.0
#: Seconds until another trial if one ended without a crash and without a begin, or if the entry
#: that may make it has received no request with the segment.
TRIAL_INTERVAL_S = 10.0
#: Seconds at the end of such an interval in which no trial is started: what comes of one has to
#: reach the entry that may make the next.
TRIAL_GAP_S = 3.0


@dataclass(frozen=True, slots=True)
class Sound:
    """No segment of the request is suspect."""


@dataclass(frozen=True, slots=True)
class Suspected:
    """The request may crash its engine; ``segment`` was at most crashes."""

    segment: Segment


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has the segments of a group that crashes engines; the next trial is at a time.

    ``trial_at`` is in seconds of the event loop's clock.
    """

    service: str
    group: RefusedGroup
    trial_at: float

    @property
    def segment(self) -> Segment:
        """The segment by which the entry and the engine of a trial are chosen."""
        return Segment(self.service, min(self.group.segments))

    def trial_name(self, now: float) -> str:
        """Return the name of the current trial, by which all entries choose the one that makes it.

        The requests with a segment may not reach every entry, so others are chosen in turn.

        :param now: current time in seconds.
        :return: the segment and the number of the trial.
        """
        number = math.floor((now - self.trial_at) / TRIAL_INTERVAL_S)
        return f'{self.segment.id} {number}'


Verdict = Sound | Suspected | Refused


@dataclass(frozen=True, slots=True)
class Watch:
    """A request that has not begun; ``withdraw`` is called once it is refused."""

    call: Call
    withdraw: Callable[[], None]


def _ignore_change(*, local: bool) -> None:
    """Ignore a change of the evidence; the default without a listener."""


@dataclass(slots=True)
class SegmentGuard:
    """Judges requests by their segments, and collects the evidence of this entry and others.

    ``changed_at`` holds when each crash was last changed, ``sound_to_send`` the segments whose
    begin other entries should know with the time since when. ``trials`` holds the times of trials.
    ``on_change`` is called after changes that other entries have to know at once; ``local`` is
    whether this entry made the observation itself.
    """

    evidence: SegmentEvidence = field(default_factory=SegmentEvidence)
    changed_at: dict[tuple[str, int], float] = field(default_factory=dict)
    sound_to_send: dict[Segment, float] = field(default_factory=dict)
    trials: dict[Segment, float] = field(default_factory=dict)
    watches: dict[int, Watch] = field(default_factory=dict)
    on_change: Callable[..., None] = _ignore_change

    def verdict(self, call: Call) -> Verdict:
        """Judge a request.

        :param call: the request; its service is set.
        :return: the verdict; a request that has begun once is sound.
        """
        segments = call.shared_segments
        if not segments or call.has_begun:
            return Sound()
        conclusion = self.evidence.conclude(call.service)
        suspects = conclusion.suspects
        carried = frozenset(segment for segment in segments if segment in suspects)
        for group in conclusion.groups:
            if group.segments <= carried:
                return Refused(call.service, group, trial_time(group))
        if not carried:
            return Sound()
        strongest = min(carried, key=lambda segment: (-suspects[segment], segment))
        return Suspected(Segment(call.service, strongest))

    def start_trial(self, refused: Refused, now: float) -> bool:
        """Start the trial of a refused segment if it is due.

        :param refused: the verdict on the request.
        :param now: current time in seconds.
        :return: whether the request may be sent as the trial.
        """
        last = self.trials.get(refused.segment, -math.inf)
        if now < max(refused.trial_at, last + TRIAL_INTERVAL_S):
            return False
        if (now - refused.trial_at) % TRIAL_INTERVAL_S >= TRIAL_INTERVAL_S - TRIAL_GAP_S:
            return False
        self.trials[refused.segment] = now
        return True

    def record_begin(self, call: Call, now: float) -> None:
        """Record that a request has begun, so that its segments are sound.

        :param call: the request.
        :param now: current time in seconds.
        """
        if call.has_begun:
            return
        call.has_begun = True
        segments = [Segment(call.service, segment) for segment in call.shared_segments]
        cleared = [segment for segment in segments if self.evidence.record_sound(segment, now)]
        if cleared:
            self.sound_to_send |= dict.fromkeys(cleared, now)
            self.on_change(local=True)

    def record_crash(self, replica: Replica, calls: list[Call], now: float) -> None:
        """Record the crash of a replica that this entry has observed.

        :param replica: the replica.
        :param calls: requests of this entry that were in flight there.
        :param now: current time in seconds.
        """
        segments = self.suspect_segments(replica.service, calls, now)
        crash = SegmentCrash(replica.id, replica.born_ms, replica.service, now, segments)
        if self.apply_crash(crash, now):
            self.after_change(local=True)

    def suspect_segments(self, service: str, calls: list[Call], now: float) -> frozenset[str]:
        """Return the segments that may have caused a crash.

        The number of segments is bounded only after those that are known to be sound are left out:
        a prompt may have any number of them before the one that crashes engines. Those that were
        suspect before come first. Requests of different organisations are considered in turn, so
        that none of them displaces the segments of the others.

        :param service: the service of the engine that crashed.
        :param calls: requests that were in flight.
        :param now: time of the crash in seconds.
        :return: the segments of those that had not begun, at most ``MAX_CRASH_SEGMENTS``.
        """
        crash_counts = self.evidence.conclude(service).suspects
        by_organisation: dict[str, dict[str, None]] = {}
        for call in calls:
            organisation = call.organisation.name if call.organisation else ''
            suspects = by_organisation.setdefault(organisation, {})
            if not call.has_begun:
                suspects |= dict.fromkeys(
                    segment
                    for segment in call.shared_segments
                    if not self.evidence.is_sound(Segment(call.service, segment), now)
                )
        in_turn = chain.from_iterable(zip_longest(*by_organisation.values()))
        unique = dict.fromkeys(segment for segment in in_turn if segment is not None)
        known_first = sorted(unique, key=lambda segment: -crash_counts.get(segment, 0))
        return frozenset(known_first[:MAX_CRASH_SEGMENTS])

    def apply_crash(self, crash: SegmentCrash, now: float) -> bool:
        """Merge an observation of a crash.

        :param crash: the observation.
        :param now: current time in seconds.
        :return: whether the evidence has changed.
        """
        if not self.evidence.record_crash(crash):
            return False
        self.changed_at[crash.key] = now
        return True

    def after_change(self, *, local: bool) -> None:
        """Withdraw requests that are refused now, and announce the change.

        :param local: whether this entry made the observation itself.
        """
        for watch in tuple(self.watches.values()):
            if isinstance(self.verdict(watch.call), Refused):
                watch.withdraw()
        self.on_change(local=local)

    @contextmanager
    def watch(self, call: Call, withdraw: Callable[[], None]) -> Iterator[None]:
        """Watch a request that was sent, for the duration of the context.

        :param call: the request.
        :param withdraw: called once it is refused before it has begun.
        :yield: nothing.
        """
        self.watches[id(call)] = Watch(call, withdraw)
        if isinstance(self.verdict(call), Refused):
            withdraw()
        try:
            yield
        finally:
            self.watches.pop(id(call), None)

    def expire(self, now: float) -> None:
        """Remove old evidence.

        :param now: current time in seconds.
        """
        self.evidence.expire(now)
        self.changed_at = {
            key: at for key, at in self.changed_at.items() if key in self.evidence.crashes
        }
        self.trials = {
            segment: at
            for segment, at in self.trials.items()
            if segment.id in self.evidence.conclude(segment.service).suspects
        }


def trial_time(group: RefusedGroup) -> float:
    """Return when refused segments may be tried again.

    :param group: the segments.
    :return: seconds of the event loop's clock.
    """
    growth = math.pow(TRIAL_GROWTH, group.events - 1)
    return group.last_at + min(FIRST_TRIAL_S * growth, MAX_TRIAL_DELAY_S)


__all__ = (
    'FIRST_TRIAL_S',
    'MAX_TRIAL_DELAY_S',
    'MAX_REPORTED_SEGMENTS',
    'Refused',
    'SegmentGuard',
    'Sound',
    'Suspected',
    'TRIAL_GAP_S',
    'TRIAL_INTERVAL_S',
    'Verdict',
    'trial_time',
)
