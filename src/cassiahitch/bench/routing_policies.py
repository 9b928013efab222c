"""Ways to choose a replica: the project's own, and those it is compared with."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.routing.api import Choice, RouteQuery

if TYPE_CHECKING:
    from cassiahitch.routing.router import Router

OWN = 'own'
ROUND_ROBIN = 'round robin'
POLICIES = (OWN, 'random', ROUND_ROBIN, 'least reported')

Pick = Callable[[RouteQuery, float], str | None]


def make_pick(policy: str, turn: int, router: Router, hosts: tuple[str, ...]) -> Pick:
    """Return a way to choose replicas.

    :param policy: its name.
    :param turn: the first turn of round robin.
    :param router: the router of the entry; baselines take only reports from it.
    :param hosts: all replicas.
    :return: a function of a request and the time.
    """
    match policy:
        case 'random':
            return partial(pick_random, hosts, router)
        case 'least reported':
            return partial(pick_least_reported, hosts, router)
        case 'round robin':
            return partial(pick_next, hosts, Counter({'turn': turn}))
        case _:
            return partial(pick_own, router)


def pick_own(router: Router, query: RouteQuery, now: float) -> str | None:
    """Choose by the project's router.

    :param router: the router of the entry.
    :param query: the request.
    :param now: seconds.
    :return: a host, if any may take the request.
    """
    choice = router.choose(query, now)
    return choice.host if isinstance(choice, Choice) else None


def pick_random(
    hosts: tuple[str, ...], router: Router, query: RouteQuery, now: float
) -> str | None:
    """Choose any replica.

    :param hosts: the replicas.
    :param router: the router of the entry.
    :param query: the request.
    :param now: seconds.
    :return: a host.
    """
    router.now = now
    return router.random.choice([host for host in hosts if host not in query.excluded])


def pick_next(
    hosts: tuple[str, ...], turns: Counter[str], query: RouteQuery, _now: float
) -> str | None:
    """Choose one replica after the other.

    :param hosts: the replicas.
    :param turns: the number of choices so far.
    :param query: the request.
    :return: a host.
    """
    turns['turn'] += 1
    host = hosts[turns['turn'] % len(hosts)]
    return pick_next(hosts, turns, query, _now) if host in query.excluded else host


def pick_least_reported(
    hosts: tuple[str, ...], router: Router, query: RouteQuery, now: float
) -> str | None:
    """Choose the replica whose last report shows the least load.

    :param hosts: the replicas.
    :param router: the router of the entry.
    :param query: the request.
    :param now: seconds.
    :return: a host.
    """
    router.now = now
    return min(
        (host for host in hosts if host not in query.excluded),
        key=partial(reported_load, router),
    )


def reported_load(router: Router, host: str) -> tuple[int, float]:
    """Return the load by the last report of a replica, and a random number.

    :param router: the router of the entry.
    :param host: the replica.
    :return: a key to sort by.
    """
    report = router.states[host].report
    load = 0 if report is None else report.running + report.queued
    return load, router.random.random()


__all__ = (
    'OWN',
    'POLICIES',
    'ROUND_ROBIN',
    'Pick',
    'make_pick',
)
