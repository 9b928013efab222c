"""Checks of the weights on which requests begin, and that all engines serve in the end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from cassiahitch.soak.records import Promise, Record, Violation

#: Requests per engine from which on none of them may have got no request.
MIN_REQUESTS_PER_ENGINE = 8
#: Most faults of a load that a violation describes.
MAX_DESCRIBED = 4


def check_whole_weights(record: Record) -> Iterator[Violation]:
    """Check that no request begins on weights of which a part is not that of their version.

    :param record: what was recorded in the run.
    :yield: violations, one for each request.
    """
    for execution in record.executions:
        if execution.began is not None and execution.weight_faults:
            faults = execution.weight_faults
            detail = (
                f'began at {execution.host} on version {execution.version} of the weights with '
                f'{len(faults)} faults: {", ".join(faults[:MAX_DESCRIBED])}'
            )
            yield Violation(Promise.whole_weights, execution.began, execution.id, detail)


def check_serving(record: Record) -> Iterator[Violation]:
    """Check that each engine serves requests again after the last fault.

    :param record: what was recorded in the run.
    :yield: violations, one for each engine.
    """
    since = record.faults_ended + record.bounds.recover_s
    begun = count_begun_after_recovery(record)
    if begun.total() < MIN_REQUESTS_PER_ENGINE * len(record.engines):
        return
    for engine in record.engines:
        if not begun[engine] and record.was_undisturbed((engine,), since, record.ended):
            detail = f'began none of the last {begun.total()} requests at engines'
            yield Violation(Promise.serving, record.ended, engine, detail)


def count_begun_after_recovery(record: Record) -> Counter[str]:
    """Return how many requests began at each engine after the recovery from the last fault.

    :param record: what was recorded in the run.
    :return: numbers by the hosts of the engines.
    """
    since = record.faults_ended + record.bounds.recover_s
    return Counter(
        execution.host
        for execution in record.executions
        if execution.host in record.engines and (execution.began or 0) > since
    )


__all__ = (
    'check_serving',
    'check_whole_weights',
    'count_begun_after_recovery',
)
