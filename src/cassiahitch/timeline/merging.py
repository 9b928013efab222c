"""Merging of the events of several processes into one sequence."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.timeline.events import Event

#: Sort key; the fields after the timestamp only make the order deterministic.
SORT_KEY = attrgetter('clock', 'process', 'kind', 'request_id', 'rollout_id', 'code', 'detail')


def merge(sources: Iterable[Iterable[Event]]) -> tuple[Event, ...]:
    """Merge the events of several processes into one sequence.

    An event in several sources appears once. The result does not depend on the order of the
    sources, and it never puts an event before one that is known to precede it.

    :param sources: the events of each process, in any order.
    :return: all events, ordered by their timestamps.
    """
    distinct = {event for source in sources for event in source}
    return tuple(sorted(distinct, key=SORT_KEY))


__all__ = ('merge',)
