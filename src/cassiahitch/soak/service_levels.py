"""Checks of service levels: recovery after the last fault, and the share of large requests."""

from __future__ import annotations

from collections.abc import Iterator

from cassiahitch.soak.records import Attempt, Promise, Record, RequestKind, Violation

#: Smallest share of attempts that succeed after the recovery.
MIN_RECOVERED_SHARE = 0.25
#: Fewest attempts by which recovery is judged.
MIN_RECOVERY_ATTEMPTS = 8
#: Shortest overload that counts as sustained, in seconds.
MIN_OVERLOAD_S = 4
#: Smallest share of large requests that succeed, as a fraction of the share of all requests.
MIN_LARGE_REQUEST_RATIO = 0.5
#: Size classes of large requests, as quantiles of the requests sorted by size.
SIZE_CLASSES = ((0.9, 1.0), (0.7, 0.9))
#: Fewest requests of a size class by which its share is judged.
MIN_CLASS_REQUESTS = 40


def check_recovery(record: Record) -> Iterator[Violation]:
    """Check that attempts succeed again within the time limit after the last fault.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    recovered_at = record.faults_ended + record.bounds.recover_s
    later = [
        attempt
        for attempt in record.attempts.values()
        if attempt.began > recovered_at and _has_ended(attempt)
    ]
    if len(later) < MIN_RECOVERY_ATTEMPTS:
        return
    share = _success_share(later)
    if share < MIN_RECOVERED_SHARE:
        detail = f'{share:.2f} of {len(later)} requests succeeded after the recovery time'
        yield Violation(Promise.recovered, recovered_at, 'all', detail)


def check_large_requests(record: Record) -> Iterator[Violation]:
    """Check that large requests succeed at least half as often as all under sustained overload.

    :param record: what was recorded in the run.
    :yield: violations.
    """
    overload = record.overload
    if overload is None or overload.ended - overload.began < MIN_OVERLOAD_S:
        return
    for kind in (RequestKind.draft, RequestKind.order):
        sizes, served = _requests(record, kind, overload.began, overload.ended)
        for detail in _neglected_classes(kind, sizes, served):
            yield Violation(Promise.sizes, overload.ended, kind, detail)


def _neglected_classes(kind: RequestKind, sizes: dict[int, int], served: set[int]) -> Iterator[str]:
    by_size = sorted(sizes, key=sizes.__getitem__)
    for low, high in SIZE_CLASSES:
        large = by_size[int(low * len(by_size)) : int(high * len(by_size))]
        served_count = sum(request in served for request in large)
        share = len(served & sizes.keys()) / len(by_size) if by_size else 0
        if len(
            large
        ) >= MIN_CLASS_REQUESTS and served_count < MIN_LARGE_REQUEST_RATIO * share * len(large):
            yield (
                f'{served_count} of {len(large)} {kind} requests from size {sizes[large[0]]} up '
                f'succeeded, {share:.2f} of all {len(by_size)}'
            )


def _requests(
    record: Record, kind: RequestKind, since: float, until: float
) -> tuple[dict[int, int], set[int]]:
    """Return the sizes of the requests of a kind that began in an interval, and those served."""
    attempts = [
        attempt
        for attempt in record.attempts.values()
        if attempt.kind is kind and _has_ended(attempt)
    ]
    began = {attempt.request: attempt.began for attempt in reversed(attempts)}
    sizes = {
        attempt.request: attempt.size
        for attempt in attempts
        if since <= began[attempt.request] <= until
    }
    return sizes, {attempt.request for attempt in attempts if attempt.served}


def _has_ended(attempt: Attempt) -> bool:
    # An attempt that was in progress when the run ended has no outcome to judge.
    return attempt.ended is not None


def _success_share(attempts: list[Attempt]) -> float:
    return sum(attempt.served for attempt in attempts) / len(attempts)


__all__ = (
    'check_large_requests',
    'check_recovery',
)
