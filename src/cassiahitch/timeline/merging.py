"""One order of the events of many processes."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.timeline.events import Event

#: Fields after the timestamp only make the order the same in every run.
POSITION = attrgetter('clock', 'process', 'kind', 'request_id', 'rollout_id', 'code', 'detail')


def merge(sources: Iterable[Iterable[Event]]) -> tuple[Event, ...]:
    """Merge the events of many processes into one order.

    An event that several sources hold appears once. The order does not depend on that of
    the sources, and it never puts an event before one that is known to precede it.

    :param sources: the events of each process, in any order.
    :return: all events in the order of their timestamps.
    """
    distinct = {event for source in sources for event in source}
    return tuple(sorted(distinct, key=POSITION))


__all__ = ('merge',)
