"""Policies that choose a replica: the router of the system and the baselines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.routing.api import Choice, RouteQuery

if TYPE_CHECKING:
    from cassiahitch.routing.router import Router

ROUTER_POLICY = 'own'
ROUND_ROBIN_POLICY = 'round robin'
POLICIES = (ROUTER_POLICY, 'random', ROUND_ROBIN_POLICY, 'least reported')

ReplicaChooser = Callable[[RouteQuery, float], str | None]


def make_chooser(
    policy: str, first_turn: int, router: Router, hosts: tuple[str, ...]
) -> ReplicaChooser:
    """Return the function that implements a policy.

    :param policy: the name of the policy.
    :param first_turn: the index at which round robin starts.
    :param router: the router of the entry; baselines use only its load reports and random numbers.
    :param hosts: the hosts of all replicas.
    :return: a function that chooses a host for a request at a time.
    """
    match policy:
        case 'random':
            return partial(choose_randomly, hosts, router)
        case 'least reported':
            return partial(choose_least_loaded, hosts, router)
        case 'round robin':
            return partial(choose_round_robin, hosts, Counter({'turn': first_turn}))
        case _:
            return partial(choose_by_router, router)


def choose_by_router(router: Router, query: RouteQuery, now: float) -> str | None:
    """Choose a replica by the router of the system.

    :param router: the router of the entry.
    :param query: the request.
    :param now: the current time in seconds.
    :return: a host, or ``None`` if no replica may receive the request.
    """
    choice = router.choose(query, now)
    return choice.host if isinstance(choice, Choice) else None


def choose_randomly(
    hosts: tuple[str, ...], router: Router, query: RouteQuery, now: float
) -> str | None:
    """Choose a replica at random.

    :param hosts: the hosts of the replicas.
    :param router: the router of the entry, which supplies the random numbers.
    :param query: the request.
    :param now: the current time in seconds.
    :return: a host.
    """
    router.now = now
    return router.random.choice([host for host in hosts if host not in query.excluded])


def choose_round_robin(
    hosts: tuple[str, ...], turns: Counter[str], query: RouteQuery, _now: float
) -> str | None:
    """Choose the replicas in turn.

    :param hosts: the hosts of the replicas.
    :param turns: counts the choices so far.
    :param query: the request.
    :return: a host.
    """
    turns['turn'] += 1
    host = hosts[turns['turn'] % len(hosts)]
    return choose_round_robin(hosts, turns, query, _now) if host in query.excluded else host


def choose_least_loaded(
    hosts: tuple[str, ...], router: Router, query: RouteQuery, now: float
) -> str | None:
    """Choose the replica with the least load in its last report.

    :param hosts: the hosts of the replicas.
    :param router: the router of the entry.
    :param query: the request.
    :param now: the current time in seconds.
    :return: a host.
    """
    router.now = now
    return min(
        (host for host in hosts if host not in query.excluded),
        key=partial(load_sort_key, router),
    )


def load_sort_key(router: Router, host: str) -> tuple[int, float]:
    """Return the reported load of a replica and a random number that breaks ties.

    :param router: the router of the entry.
    :param host: the host of the replica.
    :return: the sort key.
    """
    report = router.states[host].report
    load = 0 if report is None else report.running + report.queued
    return load, router.random.random()


__all__ = (
    'ROUTER_POLICY',
    'POLICIES',
    'ROUND_ROBIN_POLICY',
    'ReplicaChooser',
    'make_chooser',
)
