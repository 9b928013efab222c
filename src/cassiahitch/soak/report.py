"""The JSON report of a run."""

from __future__ import annotations

import json
import time
from collections import Counter
from dataclasses import asdict, dataclass
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any

from cassiahitch.soak.crashsuspects import count_sound_requests
from cassiahitch.soak.loadchecks import count_begun_after_recovery
from cassiahitch.soak.stops import count_cuts

if TYPE_CHECKING:
    from cassiahitch.soak.events import Event
    from cassiahitch.soak.plan import Size
    from cassiahitch.soak.records import Attempt, Record, Violation

#: Decimal places of times in seconds.
TIME_DECIMALS = 3


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Results of a run; ``logs`` is the folder of the logs if they were kept."""

    seed: int
    size: Size
    plan: tuple[Event, ...]
    record: Record
    violations: tuple[Violation, ...]
    logs: str = ''

    def encode(self) -> bytes:
        """Return the report as JSON text.

        :return: UTF-8 text.
        """
        return json.dumps(self.document(), indent=1).encode()

    def document(self) -> dict[str, Any]:
        """Return the report as JSON values; times count from the start of the load.

        :return: JSON values.
        """
        return {
            'seed': self.seed,
            'size': asdict(self.size),
            'plan': describe(self.plan),
            'began_at': wall_time(self.record.began),
            'counts': counts(self.record),
            'violations': [
                {
                    **asdict(violation),
                    'at': round(violation.at - self.record.began, TIME_DECIMALS),
                }
                for violation in self.violations
            ],
            'logs': self.logs,
        }


def wall_time(at: float) -> str:
    """Return a time of the record as the logs of the processes show it.

    :param at: monotonic seconds.
    :return: date and time in UTC.
    """
    return (datetime.now(UTC) - timedelta(seconds=time.monotonic() - at)).isoformat()


def describe(plan: tuple[Event, ...]) -> list[dict[str, Any]]:
    """Return a plan as JSON values.

    :param plan: the events.
    :return: one object per event.
    """
    return [{'event': type(event).__name__, **asdict(event)} for event in plan]


def counts(record: Record) -> dict[str, Any]:
    """Return the counts and durations of a run.

    :param record: what was recorded in the run.
    :return: JSON values.
    """
    return {
        'attempts': dict(Counter(outcome(attempt) for attempt in record.attempts.values())),
        'executions': sum(not execution.refused for execution in record.executions),
        'refused': sum(execution.refused for execution in record.executions),
        'stops_s': [
            round(end.ended - end.asked, TIME_DECIMALS)
            for end in record.ends
            if end.asked is not None
        ],
        'cuts_at_stops': count_cuts(record),
        'changes': [type(change).__name__ for change in record.changes],
        'longest_lag_s': round(record.longest_lag_s, TIME_DECIMALS),
        'slow_downs': dict(Counter(slow_down.target for slow_down in record.slow_downs)),
        'engine_crashes_s': [
            round(crash.began - record.began, TIME_DECIMALS) for crash in record.crashes
        ],
        'sound_requests': [asdict(sound) for sound in count_sound_requests(record)],
        'disturbances': len(record.disturbances),
        'loads': len(record.loads),
        'bad_loads': [
            {**asdict(load), 'at': round(load.at - record.began, TIME_DECIMALS)}
            for load in record.loads
            if load.faults
        ],
        'requests_on_bad_loads': sum(
            execution.began is not None and bool(execution.weight_faults)
            for execution in record.executions
        ),
        'begun_after_recovery': dict(count_begun_after_recovery(record)),
        'judged_after_recovery': sum(
            attempt.began > record.faults_ended + record.bounds.recover_s
            for attempt in record.attempts.values()
        ),
    }


def outcome(attempt: Attempt) -> str:
    """Return the kind of an attempt and how it ended, as a key of the counts.

    :param attempt: the attempt.
    :return: kind and outcome, such as ``draft 200`` or ``order given up``.
    """
    if attempt.ended is None:
        result = 'under way'
    elif attempt.left:
        result = 'given up'
    elif attempt.whole:
        result = str(attempt.status)
    else:
        result = 'cut' if attempt.status else 'closed'
    return f'{attempt.kind} {result}'


__all__ = (
    'SoakReport',
    'counts',
    'describe',
    'outcome',
    'wall_time',
)
