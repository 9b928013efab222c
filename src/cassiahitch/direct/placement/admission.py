"""Admission of a request by its own objective and priority.

Load pattern: the routes of a service differ in objective or priority, and more requests arrive than
its engines can start. By the mean objective, requests with a shorter one would be admitted although
they will be late. By the own objective alone, those with the longest objectives would fill the
engines. A request is therefore admitted within its own objective, but never into a longer queue
than the shortest objective of the recent requests of the service allows. While requests find no
capacity, more urgent ones may queue behind more others, which leaves them the slots that become
free next. This advance shrinks as soon as a less urgent class is served much less often than the
mean.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.pressure import ServicePressure

if TYPE_CHECKING:
    from cassiahitch.direct.state.catalogue import Route

#: Largest extension of the queue for urgent requests, relative to their objective. Engines begin
#: them before all less urgent ones that wait, which the predicted time counts as ahead of them.
MAX_ADVANCE = 1.0
#: Share of served requests of the least served class that is less urgent, relative to that of all
#: classes, at which urgent requests have no advance any more, and below which it decreases.
RELATIVE_SHARE_RANGE = (0.35, 0.6)
#: Ratio of the longest to the shortest objective of a service up to which they count as equal.
EQUAL_OBJECTIVES_RATIO = 1.05


@dataclass(frozen=True, slots=True)
class AdmissionTerms:
    """The terms on which a request is admitted.

    ``objective_s`` decides whether it is late. ``queue_objective_s`` is the objective that bounds
    the queue of an engine. ``advance`` is the extension of that bound for urgent requests, 0 to 1.
    """

    objective_s: float
    queue_objective_s: float
    advance: float = 0


def admission_terms(
    route: Route, priority: int, pressure: ServicePressure | None, now: float
) -> AdmissionTerms | None:
    """Return the terms on which a request is admitted.

    :param route: route of the request.
    :param priority: its priority, 0 for the most urgent requests.
    :param pressure: recent requests of the service, None if there were none.
    :param now: current time in seconds.
    :return: the terms, or None if all requests of the service are admitted alike.
    """
    if pressure is None:
        return None
    advance = urgency_advance(pressure, priority, now) if pressure.refused_share(now) else 0
    shortest_s, longest_s = pressure.objective_range_s(now)
    shortest_s = min(shortest_s, route.objective_s)
    is_mixed = longest_s > EQUAL_OBJECTIVES_RATIO * shortest_s
    if not is_mixed and not advance:
        return None
    return AdmissionTerms(route.objective_s, shortest_s, advance)


def urgency_advance(pressure: ServicePressure, priority: int, now: float) -> float:
    """Return by how much a request may queue behind more others than less urgent requests may.

    :param pressure: recent requests of the service.
    :param priority: priority of the request.
    :param now: current time in seconds.
    :return: 0 to 1: the share of less urgent requests, less if these are served too rarely.
    """
    less_urgent = pressure.less_urgent_share(priority, now)
    if not less_urgent:
        return 0
    lowest, complete = RELATIVE_SHARE_RANGE
    relative = pressure.lowest_relative_share(priority, now)
    return MAX_ADVANCE * less_urgent * max(0, min(1, (relative - lowest) / (complete - lowest)))


__all__ = (
    'AdmissionTerms',
    'admission_terms',
    'urgency_advance',
)
