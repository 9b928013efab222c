"""Checks of stops: processes end in time after SIGTERM, and lose no request that they have read."""

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

#: Seconds after SIGTERM: attempts that began by then may be cut late in the grace period.
EARLY_S = 3
#: Fraction of the grace period after which such attempts may be cut.
LATE_FRACTION = 5 / 6
#: Seconds after the grace period in which a cut still counts as caused by the stop.
CUT_SLACK_S = 1
#: Attempts of a run that may be closed without a response.
MAX_CLOSED_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class ProcessStop:
    """A stop of a process after SIGTERM; ``runs`` holds the executions by attempt."""

    record: Record
    end: ProcessEnd
    asked: float
    runs: dict[str, list[Execution]]

    def lost_attempts(self) -> list[Attempt]:
        """Return the attempts that the process should have completed but cut.

        :return: attempts.
        """
        cut = (attempt for attempt in self.record.attempts.values() if self.is_own_cut(attempt))
        return [attempt for attempt in cut if not self.is_cut_allowed(attempt)]

    def is_own_cut(self, attempt: Attempt) -> bool:
        """Return whether an attempt at this process was cut by the stop.

        :param attempt: an attempt at any process.
        :return: whether it was.
        """
        return attempt.entry == self.end.process and self.was_cut_by_stop(attempt)

    def was_cut_by_stop(self, attempt: Attempt) -> bool:
        """Return whether a request that was read ended during the stop with no complete response.

        A close within ``loss_slack_s`` of sending may have crossed the request, so it counts only
        if the request ran.

        :param attempt: an attempt at this process.
        :return: whether it did.
        """
        ended, sent = attempt.ended, attempt.sent
        if ended is None or sent is None or attempt.whole or attempt.left:
            return False
        during_stop = self.asked <= ended <= self.asked + self.record.bounds.grace_s + CUT_SLACK_S
        slack_over = ended > sent + self.record.bounds.loss_slack_s
        return during_stop and ended < attempt.deadline and (slack_over or attempt.id in self.runs)

    def is_cut_allowed(self, attempt: Attempt) -> bool:
        """Return whether the promise allows that an attempt was cut.

        :param attempt: an attempt that was cut by the stop.
        :return: whether its replica broke off, a host was disturbed, or it ran for too long.
        """
        until = attempt.ended or self.end.ended
        runs = self.runs.get(attempt.id, [])
        late = self.asked + self.record.bounds.grace_s * LATE_FRACTION
        return (
            any(run.broke_off for run in runs)
            or not self.record.was_undisturbed((attempt.entry,), attempt.began, until)
            or any(self.record.was_disturbed(run.host, run.arrived, until) for run in runs)
            or (
                attempt.began <= self.asked + EARLY_S
                and any(run.ended is None or run.ended >= late for run in runs)
            )
        )


def check_stops(record: Record) -> Iterator[Violation]:
    """Check that processes end only after SIGTERM, in time, with status 0, and lose no request.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    runs = record.runs_by_attempt()
    for end in record.ends:
        yield from _check_end(record, end)
        if end.asked is not None:
            for attempt in ProcessStop(record, end, end.asked, runs).lost_attempts():
                yield _lost_violation(attempt, end.asked, runs.get(attempt.id, []))


def check_closed_connections(record: Record) -> Iterator[Violation]:
    """Check that undisturbed hosts close few connections while a healthy replica runs a request.

    :param record: what was recorded in the run.
    :yield: violations, if there are more than the run may have.
    """
    violations: list[Violation] = []
    for attempt_id, runs in record.runs_by_attempt().items():
        attempt = record.attempts[attempt_id]
        ended = attempt.ended
        if ended is None or attempt.status or attempt.left or ended >= attempt.deadline:
            continue
        targets = (SOAK, attempt.entry, stop_target(attempt.entry), *(run.host for run in runs))
        if record.was_undisturbed(targets, attempt.began, ended) and not any(
            run.broke_off for run in runs
        ):
            violations.append(
                Violation(
                    Promise.answered, ended, attempt_id, 'connection closed without a response'
                )
            )
    if len(violations) > MAX_CLOSED_ATTEMPTS:
        yield from violations


def count_cuts(record: Record) -> dict[str, int]:
    """Count the attempts that were cut by stops.

    :param record: what was recorded in the run.
    :return: how many were lost, and how many the promise allows to be cut.
    """
    counts = {'lost': 0, 'allowed': 0}
    runs = record.runs_by_attempt()
    for end in record.ends:
        if end.asked is not None:
            stop = ProcessStop(record, end, end.asked, runs)
            cut = [attempt for attempt in record.attempts.values() if stop.is_own_cut(attempt)]
            counts['lost'] += len(stop.lost_attempts())
            counts['allowed'] += len(cut) - len(stop.lost_attempts())
    return counts


def _check_end(record: Record, end: ProcessEnd) -> Iterator[Violation]:
    asked = end.asked
    detail = ''
    if asked is None:
        detail = f'ended without SIGTERM, with status {end.status}'
    elif end.ended > asked + record.bounds.grace_s:
        # A process that was paused or got no processor can't end in time.
        slowed = any(
            record.was_disturbed(target, asked, end.ended) for target in (end.process, SOAK)
        )
        detail = '' if slowed else f'ended {end.ended - asked:.2f} s after SIGTERM'
    elif end.status:
        detail = f'ended with status {end.status}'
    if detail:
        yield Violation(Promise.graceful_end, end.ended, end.process, detail)


def _lost_violation(attempt: Attempt, asked: float, runs: list[Execution]) -> Violation:
    ended = attempt.ended or 0
    at_replica = 'it reached no backend server'
    if runs:
        last = runs[-1]
        run_end = 'not ended' if last.ended is None else f'ended {last.ended - asked:+.2f} s'
        at_replica = f'at {last.backend} since {last.arrived - asked:+.2f} s, {run_end}'
    detail = (
        f'{attempt.kind} at {attempt.entry}: began {attempt.began - asked:+.2f} s relative to '
        f'SIGTERM, sent {(attempt.sent or 0) - asked:+.2f} s, closed {ended - asked:+.2f} s after '
        f'{attempt.received} bytes with status {attempt.status}; {at_replica}'
    )
    return Violation(Promise.whole_at_stop, ended, attempt.id, detail)


__all__ = (
    'ProcessStop',
    'check_closed_connections',
    'check_stops',
    'count_cuts',
)
