"""Service comes back after the last fault, and large requests get their share of it."""

from __future__ import annotations

from collections.abc import Iterator

from cassiahitch.soak.records import Attempt, Promise, Record, RequestKind, Violation

#: Least share of the requests that are served once service is back.
RECOVERED_SHARE = 0.25
#: Fewest requests that tell whether service is back.
RECOVERED_COUNT = 8
#: Shortest overload that counts as sustained, in seconds.
SUSTAINED_S = 4
#: Least share of the large requests that are served, as a part of that of all.
LARGE_PART = 0.5
#: Bounds of the classes of large requests, as parts of all in the order of their size.
CLASSES = ((0.9, 1.0), (0.7, 0.9))
#: Fewest requests of a class that tell its share.
CLASS_COUNT = 40


def check_recovery(record: Record) -> Iterator[Violation]:
    """Service is back within the bound after the last fault.

    :param record: what was seen.
    :yield: violations.
    """
    back = record.faults_ended + record.bounds.recover_s
    later = [one for one in record.attempts.values() if one.began > back and _judged(one)]
    if len(later) < RECOVERED_COUNT:
        return
    share = _share(later)
    if share < RECOVERED_SHARE:
        detail = f'{share:.2f} of {len(later)} requests are served'
        yield Violation(Promise.recovered, back, 'all', detail)


def check_large_requests(record: Record) -> Iterator[Violation]:
    """Under sustained overload large requests are served at least half as often as all.

    :param record: what was seen.
    :yield: violations.
    """
    overload = record.overload
    if overload is None or overload.ended - overload.began < SUSTAINED_S:
        return
    for kind in (RequestKind.draft, RequestKind.order):
        sizes, served = _requests(record, kind, overload.began, overload.ended)
        for detail in _neglected(kind, sizes, served):
            yield Violation(Promise.sizes, overload.ended, kind, detail)


def _neglected(kind: RequestKind, sizes: dict[int, int], served: set[int]) -> Iterator[str]:
    order = sorted(sizes, key=sizes.__getitem__)
    for low, high in CLASSES:
        large = order[int(low * len(order)) : int(high * len(order))]
        own = sum(one in served for one in large)
        share = len(served & sizes.keys()) / len(order) if order else 0
        if len(large) >= CLASS_COUNT and own < LARGE_PART * share * len(large):
            yield (
                f'{own} of {len(large)} {kind} requests of size {sizes[large[0]]} and more are '
                f'served, {share:.2f} of all {len(order)}'
            )


def _requests(
    record: Record, kind: RequestKind, since: float, until: float
) -> tuple[dict[int, int], set[int]]:
    """Return the sizes of the requests of a kind that began in a time, and those served."""
    own = [one for one in record.attempts.values() if one.kind is kind and _judged(one)]
    first = {one.request: one.began for one in reversed(own)}
    sizes = {one.request: one.size for one in own if since <= first[one.request] <= until}
    return sizes, {one.request for one in own if one.served}


def _judged(attempt: Attempt) -> bool:
    # One that was under way when the run ended tells nothing.
    return attempt.ended is not None


def _share(attempts: list[Attempt]) -> float:
    return sum(one.served for one in attempts) / len(attempts)


__all__ = (
    'check_recovery',
    'check_large_requests',
)
