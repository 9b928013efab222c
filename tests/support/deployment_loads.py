"""Loads of two deployments whose streams share one service, for the simulation of overload.

The routes of the first one differ in objective and priority. Those of the second one have the same
priority and nearly the same objective, and requests of different sizes.
"""

from __future__ import annotations

from overload_model import RouteLoad

from cassiahitch.direct.state.catalogue import Engine, RepeatPolicy, Route, ServiceShare

SHARES = (ServiceShare('drafts', 1),)
#: Engines of each deployment, by which the rates of the routes are divided.
ENGINES = 23
#: Standard deviation of the logarithm of the lengths, and longest lengths as multiples of the mean.
PROMPT_SPREAD = (1.0, 3.0)
ANSWER_SPREAD = (0.9, 2.5)
MIXED_ENGINE = Engine('m', 12, 5, 0.00853, 2.19e-5, 6.8e-9, 19_100, 6.47e-10, 913, 101)
EQUAL_ENGINE = Engine('m', 12, 7, 0.00706, 2.19e-5, 6.8e-9, 31_900, 6.47e-10, 933, 108)


def route_load(
    name: str, per_s: float, lengths: tuple[int, int], objective_s: float, priority: int
) -> RouteLoad:
    """Return the load of a route; ``lengths`` are the mean ones of prompt and response."""
    route = Route(
        name,
        'h',
        f'/{name}',
        RepeatPolicy.stream,
        6.05,
        objective_s,
        priority,
        SHARES,
        2,
        resumable=True,
    )
    prompt, answer = lengths
    return RouteLoad(
        route,
        per_s / ENGINES,
        (prompt, PROMPT_SPREAD[0], int(prompt * PROMPT_SPREAD[1])),
        (answer, ANSWER_SPREAD[0], int(answer * ANSWER_SPREAD[1])),
    )


MIXED = (
    route_load('patient', 79.5, (1290, 110), 1.006, 2),
    route_load('urgent', 101, (787, 110), 0.405, 0),
    route_load('middle', 56.8, (607, 70), 0.405, 1),
)
EQUAL = (
    route_load('large', 129, (1290, 126), 0.405, 1),
    route_load('medium', 89.7, (787, 126), 0.404, 1),
    route_load('small', 101, (607, 70), 0.404, 1),
)

__all__ = ('EQUAL', 'EQUAL_ENGINE', 'MIXED', 'MIXED_ENGINE')
