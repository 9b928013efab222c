"""Exchange of the evidence on segments that crash engines between entries.

Recent crashes are in each message, all others in turn, so that an entry which starts late or was
cut off has all of them soon. An entry that receives evidence against a segment with which it has
seen a request begin says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.segmentevidence import Segment, SegmentCrash
from cassiahitch.direct.placement.segmentguard import MAX_REPORTED_SEGMENTS
from cassiahitch.wire.datagrammessages import SegmentCrashRecord, SegmentRecord

if TYPE_CHECKING:
    from cassiahitch.direct.placement.segmentguard import SegmentGuard

#: Recently changed crashes in a message, which contains one other in turn as well.
RECENT_RECORDS = 4
#: Seconds for which a change is sent with priority.
RECENT_CHANGE_S = 5.0
#: Sound segments in a message, and seconds for which each is sent.
MAX_SENT_SOUND = 16
SOUND_SENT_S = 2.0
#: Longest id of a segment that is accepted from other entries, in characters.
MAX_ID_LENGTH = 64
MS_PER_S = 1000


@dataclass(slots=True)
class SegmentSharing:
    """Writes and applies the records in messages between entries; ``turn`` counts messages."""

    guard: SegmentGuard
    turn: int = 0

    def crash_records(self, now: float) -> tuple[SegmentCrashRecord, ...]:
        """Return crashes for a message to another entry.

        :param now: current time in seconds.
        :return: recently changed crashes, and one other in turn.
        """
        crashes = list(self.guard.evidence.crashes.values())
        if not crashes:
            return ()
        self.turn += 1
        changed_at = self.guard.changed_at
        recent = sorted(
            (crash for crash in crashes if now - changed_at[crash.key] < RECENT_CHANGE_S),
            key=lambda crash: changed_at[crash.key],
            reverse=True,
        )
        selected = (*recent[:RECENT_RECORDS], crashes[self.turn % len(crashes)])
        return tuple(self.record(crash, now) for crash in dict.fromkeys(selected))

    def record(self, crash: SegmentCrash, now: float) -> SegmentCrashRecord:
        """Convert a crash to a record of a message.

        :param crash: the crash.
        :param now: current time in seconds.
        :return: a record with the segments that were at most crashes, and further ones in turn.
        """
        counts = self.guard.evidence.conclude(crash.service).suspects
        ordered = sorted(crash.segments, key=lambda segment: (-counts[segment], segment))
        half = MAX_REPORTED_SEGMENTS // 2
        rest = ordered[half:]
        first = self.turn * half % max(1, len(rest))
        segments = (*ordered[:half], *(rest[first:] + rest[:first])[:half])
        age_ms = int((now - crash.at) * MS_PER_S)
        return SegmentCrashRecord(crash.replica, crash.born_ms, crash.service, age_ms, segments)

    def sound_records(self, now: float) -> tuple[SegmentRecord, ...]:
        """Return sound segments that were suspect, for a message to another entry.

        :param now: current time in seconds.
        :return: the latest ones.
        """
        guard = self.guard
        guard.sound_to_send = {
            segment: since
            for segment, since in guard.sound_to_send.items()
            if now - since < SOUND_SENT_S
        }
        sound_at = guard.evidence.sound_at
        latest = [segment for segment in guard.sound_to_send if segment in sound_at]
        return tuple(
            SegmentRecord(segment.service, segment.id, int((now - sound_at[segment]) * MS_PER_S))
            for segment in latest[-MAX_SENT_SOUND:]
        )

    def merge(
        self,
        crashes: tuple[SegmentCrashRecord, ...],
        sound: tuple[SegmentRecord, ...],
        now: float,
    ) -> None:
        """Merge the evidence that another entry sent.

        :param crashes: crashes of its message.
        :param sound: sound segments of its message.
        :param now: current time in seconds.
        """
        cleared = [segment for segment in sound if self.apply_sound(segment, now)]
        contradicted = [crash for crash in crashes if self.contradict(crash, now)]
        changed = [crash for crash in crashes if self.guard.apply_crash(_crash(crash, now), now)]
        if changed or cleared or contradicted:
            self.guard.after_change(local=False)

    def apply_sound(self, record: SegmentRecord, now: float) -> bool:
        """Apply the begin of a request at another entry.

        :param record: its segment.
        :param now: current time in seconds.
        :return: whether the segment was suspect and is no longer.
        """
        if len(record.segment) > MAX_ID_LENGTH:
            return False
        segment = Segment(record.service_name, record.segment)
        cleared = self.guard.evidence.record_sound(segment, now - max(0, record.age_ms) / MS_PER_S)
        if cleared:
            self.guard.sound_to_send[segment] = now
        return cleared

    def contradict(self, record: SegmentCrashRecord, now: float) -> bool:
        """Prepare to send the sound segments among those that another entry suspects.

        :param record: the crash that the other entry sent.
        :param now: current time in seconds.
        :return: whether there are any that were not sent recently.
        """
        crash = _crash(record, now)
        segments = (Segment(crash.service, segment) for segment in crash.segments)
        unsent = [
            segment
            for segment in segments
            if self.guard.evidence.is_sound(segment, crash.at)
            and segment not in self.guard.sound_to_send
        ]
        self.guard.sound_to_send |= dict.fromkeys(unsent, now)
        return bool(unsent)


def _crash(record: SegmentCrashRecord, now: float) -> SegmentCrash:
    """Convert a record of a message to a crash."""
    segments = record.segments[:MAX_REPORTED_SEGMENTS]
    return SegmentCrash(
        record.replica,
        record.born_ms,
        record.service_name,
        now - max(0, record.age_ms) / MS_PER_S,
        frozenset(segment for segment in segments if len(segment) <= MAX_ID_LENGTH),
    )


__all__ = (
    'MAX_SENT_SOUND',
    'RECENT_CHANGE_S',
    'RECENT_RECORDS',
    'SOUND_SENT_S',
    'SegmentSharing',
)
