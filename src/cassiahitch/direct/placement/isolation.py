"""Isolation of suspect requests: all entries send those with one suspect segment to one engine.

Load pattern: a segment was in a request at one crash, and further requests with it arrive at all
entries before it is known whether it was the cause. If it was, only one more engine crashes.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.segmentguard import Refused, Sound, Suspected

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.direct.placement.segmentguard import SegmentGuard, Verdict
    from cassiahitch.direct.state.replicas import Replica


def isolate(
    guard: SegmentGuard,
    verdict: Verdict,
    replicas: tuple[Replica, ...],
    is_usable: Callable[[Replica], bool],
) -> tuple[Replica, ...]:
    """Return the replicas to which a request may be sent, given what is known on its segments.

    :param guard: knows which replicas have crashed.
    :param verdict: the verdict on the request.
    :param replicas: the replicas that accept requests.
    :param is_usable: whether a replica can run the request.
    :return: one replica for a suspect request, all replicas for a sound one.
    """
    match verdict:
        case Sound():
            return replicas
        case Suspected(segment=segment) | Refused(segment=segment):
            crashed = guard.evidence.crashes
            usable = [
                replica
                for replica in replicas
                if (replica.id, replica.born_ms) not in crashed and is_usable(replica)
            ]
            ordered = sorted(usable, key=lambda replica: _hash(segment.id, replica.id))
            return tuple(ordered[:1]) or replicas


def _hash(segment: str, replica: str) -> bytes:
    return hashlib.sha256(f'{segment} {replica}'.encode()).digest()


__all__ = ('isolate',)
