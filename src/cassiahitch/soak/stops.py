"""Orders to end: processes end in time, and nothing that they have read is lost."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cassiahitch.soak.records import (
    SOAK,
    Attempt,
    Execution,
    ProcessEnd,
    Promise,
    Record,
    Violation,
    stop_target,
)

#: Seconds after the order to end; one sent until then may be cut late in the grace period.
EARLY_S = 3
#: Part of the grace period after which that holds.
LATE_PART = 5 / 6
#: Seconds after the grace period in which a cut is still one of the stop.
AFTER_S = 1
#: Requests in a run that may be closed without an answer.
FEW_CLOSED = 3


@dataclass(frozen=True, slots=True)
class ProcessStop:
    """A stop of a process, and what ran of each attempt."""

    record: Record
    end: ProcessEnd
    asked: float
    runs: dict[str, list[Execution]]

    def lost_attempts(self) -> list[Attempt]:
        """Return the attempts that the process lost.

        :return: attempts.
        """
        cut = (one for one in self.record.attempts.values() if self.is_own_cut(one))
        return [one for one in cut if not self.is_cut_allowed(one)]

    def is_own_cut(self, attempt: Attempt) -> bool:
        """Tell whether this process cut a request around the stop.

        :param attempt: an attempt.
        :return: whether it did.
        """
        return attempt.entry == self.end.process and self.was_cut_by_stop(attempt)

    def was_cut_by_stop(self, attempt: Attempt) -> bool:
        """Tell whether a request that was read ended without a whole answer.

        :param attempt: an attempt at this process.
        :return: whether it did, around the stop.
        """
        ended, sent = attempt.ended, attempt.sent
        if ended is None or sent is None or attempt.whole or attempt.left:
            return False
        around = self.asked <= ended <= self.asked + self.record.bounds.grace_s + AFTER_S
        slack_over = ended > sent + self.record.bounds.loss_slack_s
        return around and ended < attempt.deadline and (slack_over or attempt.id in self.runs)

    def is_cut_allowed(self, attempt: Attempt) -> bool:
        """Tell whether the promise allows that an attempt was cut.

        :param attempt: the attempt.
        :return: whether its replica broke off, the process was disturbed, or it ran too long.
        """
        until = attempt.ended or self.end.ended
        runs = self.runs.get(attempt.id, [])
        late = self.asked + self.record.bounds.grace_s * LATE_PART
        return (
            any(one.broke_off for one in runs)
            or not self.record.was_undisturbed((attempt.entry,), attempt.began, until)
            or any(self.record.was_disturbed(one.host, one.arrived, until) for one in runs)
            or (
                attempt.began <= self.asked + EARLY_S
                and any(one.ended is None or one.ended >= late for one in runs)
            )
        )


def check_stops(record: Record) -> Iterator[Violation]:
    """Processes end by themselves in time, with status 0, and lose no request.

    :param record: what was seen.
    :yield: violations.
    """
    runs = record.runs_by_attempt()
    for end in record.ends:
        yield from _check_end(record, end)
        if end.asked is not None:
            for attempt in ProcessStop(record, end, end.asked, runs).lost_attempts():
                yield _lost(attempt, end.asked, runs.get(attempt.id, []))


def check_closed_connections(record: Record) -> Iterator[Violation]:
    """Hosts in touch do not close connections whose request a sound replica runs.

    :param record: what was seen.
    :yield: violations, if there are more than a few.
    """
    found: list[Violation] = []
    for number, runs in record.runs_by_attempt().items():
        attempt = record.attempts[number]
        ended = attempt.ended
        if ended is None or attempt.status or attempt.left or ended >= attempt.deadline:
            continue
        targets = (SOAK, attempt.entry, stop_target(attempt.entry), *(one.host for one in runs))
        if record.was_undisturbed(targets, attempt.began, ended) and not any(
            one.broke_off for one in runs
        ):
            found.append(Violation(Promise.answered, ended, number, 'closed without an answer'))
    if len(found) > FEW_CLOSED:
        yield from found


def count_cuts(record: Record) -> dict[str, int]:
    """Count the cuts around stops.

    :param record: what was seen.
    :return: how many are lost, and how many the promise allows.
    """
    counts = {'lost': 0, 'allowed': 0}
    runs = record.runs_by_attempt()
    for end in record.ends:
        if end.asked is not None:
            stop = ProcessStop(record, end, end.asked, runs)
            cut = [one for one in record.attempts.values() if stop.is_own_cut(one)]
            counts['lost'] += len(stop.lost_attempts())
            counts['allowed'] += len(cut) - len(stop.lost_attempts())
    return counts


def _check_end(record: Record, end: ProcessEnd) -> Iterator[Violation]:
    asked = end.asked
    detail = ''
    if asked is None:
        detail = f'ended by itself with status {end.status}'
    elif end.ended > asked + record.bounds.grace_s:
        # One that was paused or got no processor cannot end in time.
        slowed = any(record.was_disturbed(one, asked, end.ended) for one in (end.process, SOAK))
        detail = '' if slowed else f'ended {end.ended - asked:.2f} s after it was asked to'
    elif end.status:
        detail = f'ended with status {end.status}'
    if detail:
        yield Violation(Promise.graceful_end, end.ended, end.process, detail)


def _lost(attempt: Attempt, asked: float, runs: list[Execution]) -> Violation:
    ended = attempt.ended or 0
    at_replica = 'it reached no backend server'
    if runs:
        last = runs[-1]
        over = 'not ended' if last.ended is None else f'ended {last.ended - asked:+.2f} s'
        at_replica = f'at {last.backend} since {last.arrived - asked:+.2f} s, {over}'
    detail = (
        f'{attempt.kind} at {attempt.entry}: began {attempt.began - asked:+.2f} s from the order '
        f'to end, sent {(attempt.sent or 0) - asked:+.2f} s, closed {ended - asked:+.2f} s after '
        f'{attempt.received} bytes with status {attempt.status}; {at_replica}'
    )
    return Violation(Promise.whole_at_stop, ended, attempt.id, detail)


__all__ = (
    'ProcessStop',
    'check_closed_connections',
    'check_stops',
    'count_cuts',
)
