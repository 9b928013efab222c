"""The report of a run."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from cassiahitch.soak.stops import count_cuts

if TYPE_CHECKING:
    from cassiahitch.soak.plan import Event, Size
    from cassiahitch.soak.records import Attempt, Record, Violation

#: Decimals of times.
DECIMALS = 3


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What a run found; ``logs`` is the folder of the logs if they were kept."""

    seed: int
    size: Size
    plan: tuple[Event, ...]
    record: Record
    violations: tuple[Violation, ...]
    logs: str = ''

    def encode(self) -> bytes:
        """Return it as JSON.

        :return: UTF-8 text.
        """
        return json.dumps(self.document(), indent=1).encode()

    def document(self) -> dict[str, Any]:
        """Return it as JSON values; times count from the begin of the load.

        :return: JSON values.
        """
        return {
            'seed': self.seed,
            'size': asdict(self.size),
            'plan': describe(self.plan),
            'counts': counts(self.record),
            'violations': [
                {**asdict(one), 'at': round(one.at - self.record.began, DECIMALS)}
                for one in self.violations
            ],
            'logs': self.logs,
        }


def describe(plan: tuple[Event, ...]) -> list[dict[str, Any]]:
    """Return a plan as JSON values.

    :param plan: the events.
    :return: one object an event.
    """
    return [{'event': type(event).__name__, **asdict(event)} for event in plan]


def counts(record: Record) -> dict[str, Any]:
    """Return what was seen in numbers.

    :param record: what was seen.
    :return: JSON values.
    """
    return {
        'attempts': dict(Counter(outcome(one) for one in record.attempts.values())),
        'executions': sum(not one.refused for one in record.executions),
        'refused': sum(one.refused for one in record.executions),
        'stops_s': [
            round(end.ended - end.asked, DECIMALS) for end in record.ends if end.asked is not None
        ],
        'cuts_at_stops': count_cuts(record),
        'changes': [type(change).__name__ for change in record.changes],
        'longest_lag_s': round(record.longest_lag_s, DECIMALS),
        'slow_downs': dict(Counter(one.target for one in record.slow_downs)),
        'disturbances': len(record.disturbances),
        'judged_after_recovery': sum(
            one.began > record.faults_ended + record.bounds.recover_s
            for one in record.attempts.values()
        ),
    }


def outcome(attempt: Attempt) -> str:
    """Return how an attempt ended, in a word.

    :param attempt: the attempt.
    :return: its kind and its end.
    """
    if attempt.ended is None:
        end = 'under way'
    elif attempt.left:
        end = 'given up'
    elif attempt.whole:
        end = str(attempt.status)
    else:
        end = 'cut' if attempt.status else 'closed'
    return f'{attempt.kind} {end}'


__all__ = (
    'SoakReport',
    'counts',
    'describe',
    'outcome',
)
