"""Checks of prompts that crash engines: few reach them, and sound ones do not suffer for it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cassiahitch.soak.prompts import Prompt
from cassiahitch.soak.records import (
    SOAK,
    STORE,
    Attempt,
    Execution,
    Promise,
    Record,
    RequestKind,
    Violation,
    stop_target,
)

#: Crash of an engine, by its number, after which the requests that may follow are counted.
DECISIVE_CRASH = 5
#: Requests that may reach engines after it.
MAX_LATE_REQUESTS = 3
#: Fewest sound requests by which their share is judged, before and after.
MIN_SOUND_REQUESTS = 20
#: Smallest share of sound requests that begin at the first attempt, against the share before.
MIN_BEGIN_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class SoundRequests:
    """How many sound requests came in an interval, and how many began at the first attempt."""

    count: int
    begun: int

    @property
    def share(self) -> float:
        """The share that began at the first attempt; 0 if there were no requests."""
        return self.begun / self.count if self.count else 0


def check_crash_suspects(record: Record) -> Iterator[Violation]:
    """Check that few requests whose prompts crash engines reach one after the fifth crash.

    They count over all entries, from ``stable_s`` after the crash.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    crash_times = sorted(_crash_times(record))
    if len(crash_times) < DECISIVE_CRASH:
        return
    decisive = crash_times[DECISIVE_CRASH - 1]
    late = [
        execution
        for execution in record.executions
        if execution.arrived > decisive + record.bounds.stable_s and _counts(record, execution)
    ]
    if len(late) > MAX_LATE_REQUESTS:
        first = late[MAX_LATE_REQUESTS]
        detail = (
            f'{len(late)} requests that crash engines reached one later than '
            f'{record.bounds.stable_s:.0f} s after crash {DECISIVE_CRASH} of {len(crash_times)}'
        )
        yield Violation(Promise.crash_suspects, first.arrived, first.id, detail)


def check_sound_prompts(record: Record) -> Iterator[Violation]:
    """Check that sound requests begin at the first attempt half as often as before the crashes.

    Sound requests have the API key or the first segment of those whose prompts crash engines. They
    count from twice ``stable_s`` after the fifth crash, or after the last one if there are fewer,
    while such prompts still come, and at times without any other event of the plan.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    before, after = count_sound_requests(record)
    if min(before.count, after.count) < MIN_SOUND_REQUESTS:
        return
    if after.share < MIN_BEGIN_RATIO * before.share:
        detail = (
            f'{after.begun} of {after.count} sound requests began at the first attempt beside '
            f'prompts that crash engines, {before.begun} of {before.count} before'
        )
        yield Violation(Promise.sound_prompts, record.ended, 'all', detail)


def count_sound_requests(record: Record) -> tuple[SoundRequests, SoundRequests]:
    """Count the sound requests of a run that are judged.

    :param record: what was recorded in the run.
    :return: requests before the first prompt that crashes engines, and requests after the crashes.
    """
    crash_times = sorted(_crash_times(record))[:DECISIVE_CRASH]
    if record.crashing is None or not crash_times:
        return SoundRequests(0, 0), SoundRequests(0, 0)
    after_s = crash_times[-1] + 2 * record.bounds.stable_s
    return (
        _count_within(record, record.began, record.crashing.began),
        _count_within(record, after_s, record.crashing.ended),
    )


def _count_within(record: Record, since: float, until: float) -> SoundRequests:
    begun_ids = {execution.id for execution in record.executions if execution.began is not None}
    sound = [
        attempt
        for attempt in _first_sound_attempts(record)
        if since <= attempt.began and (attempt.ended or record.ended) <= until
    ]
    return SoundRequests(len(sound), sum(attempt.id in begun_ids for attempt in sound))


def _first_sound_attempts(record: Record) -> Iterator[Attempt]:
    suspects = [
        attempt for attempt in record.attempts.values() if Prompt.parse(attempt.prompt).crashes
    ]
    suspect_requests = {attempt.request for attempt in suspects}
    keys = {attempt.key for attempt in suspects}
    first_segments = {Prompt.parse(attempt.prompt).first for attempt in suspects}
    seen: set[int] = set()
    for attempt in record.attempts.values():
        is_first = attempt.request not in seen
        seen.add(attempt.request)
        is_sound = attempt.kind is RequestKind.draft and attempt.request not in suspect_requests
        related = attempt.key in keys or Prompt.parse(attempt.prompt).first in first_segments
        if is_first and is_sound and related and _is_calm(record, attempt):
            yield attempt


def _is_calm(record: Record, attempt: Attempt) -> bool:
    """Return whether an attempt has ended, at an entry in touch, beside no other event."""
    if attempt.ended is None:
        return False
    since = attempt.began - record.bounds.stable_s
    beside = any(event.began <= attempt.ended and event.ended >= since for event in record.events)
    targets = (SOAK, attempt.entry, stop_target(attempt.entry))
    return not beside and record.was_undisturbed(targets, attempt.began, attempt.ended)


def _counts(record: Record, execution: Execution) -> bool:
    """Return whether an execution is that of a crashing prompt, sent by an entry in touch."""
    attempt = record.attempts.get(execution.id)
    if attempt is None or not Prompt.parse(execution.prompt).crashes:
        return False
    targets = (SOAK, STORE, attempt.entry, stop_target(attempt.entry))
    return record.was_undisturbed(targets, execution.arrived, execution.arrived)


def _crash_times(record: Record) -> Iterator[float]:
    for execution in record.executions:
        if execution.crashed:
            yield execution.ended or execution.arrived


__all__ = (
    'SoundRequests',
    'check_crash_suspects',
    'check_sound_prompts',
    'count_sound_requests',
)
