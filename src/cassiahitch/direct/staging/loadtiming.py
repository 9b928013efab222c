"""Decides when a host orders its load, and whether the fetch of an older version continues."""

from __future__ import annotations

from cassiahitch.direct.state.versions import BOUND_MARGIN_S
from cassiahitch.weights.tree import rendezvous_order

#: Longest time over which the loads of all engines are spread, in seconds.
MAX_LOAD_SPREAD_S = 2.5
#: A fetch continues in spite of a newer version if that was declared after this share of the
#: expected duration of the fetch.
CONTINUE_AFTER_SHARE = 0.6
#: Share of its expected duration after which such a fetch is given up.
GIVE_UP_AFTER_SHARE = 1.6


def load_delay_s(
    local_host: str, hosts: tuple[str, ...], version: int, remaining_s: float
) -> float:
    """Return how long a host waits before it orders its load.

    Load pattern: without a delay, all engines stop taking requests at the same moment.

    :param local_host: the host.
    :param hosts: all hosts that load the version.
    :param version: the version; each one has another order of the hosts.
    :param remaining_s: seconds until the older version may no longer be used.
    :return: seconds.
    """
    order = rendezvous_order(version, {local_host, *hosts})
    spread_s = min(MAX_LOAD_SPREAD_S, max(0, remaining_s - BOUND_MARGIN_S))
    return spread_s * order.index(local_host) / len(order)


def is_worth_finishing(newer_after_s: float, age_s: float, expected_s: float) -> bool:
    """Return whether the fetch of a version is completed although a newer one was declared.

    Load pattern: a newer version is declared when the fetch of the previous one is nearly
    complete. The previous version can serve in the time in which the newer one is still being
    fetched and older ones may no longer be used. All agents make the same decision, since
    they receive the declarations at the same time.

    :param newer_after_s: seconds between the two declarations.
    :param age_s: seconds since the first declaration.
    :param expected_s: seconds in which all agents together fetch a version.
    :return: whether the fetch continues.
    """
    return (
        newer_after_s >= CONTINUE_AFTER_SHARE * expected_s
        and age_s < GIVE_UP_AFTER_SHARE * expected_s
    )


__all__ = (
    'is_worth_finishing',
    'load_delay_s',
)
