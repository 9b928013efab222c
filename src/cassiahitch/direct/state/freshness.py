"""Age of the last confirmation that the cached configuration is the newest one."""

from __future__ import annotations

import time
from dataclasses import dataclass

#: Fraction of a bound for which a confirmation is valid.
LEASE_FRACTION = 0.92


def boot_time() -> float:
    """Return the time since the boot of the host, including the time that it was suspended.

    :return: seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Freshness:
    """A lease on the cached configuration, renewed by each read that confirms it.

    The lease starts when the read was sent, since the reply may reflect the state of the store at
    any time after that. ``bound_s`` is the longest time for which a revoked key may still be used,
    ``configuration_bound_s`` that for which an older configuration may decide anything else.
    """

    bound_s: float
    configuration_bound_s: float = float('inf')
    confirmed_at: float = float('-inf')

    def confirm(self, sent_at: float) -> None:
        """Record that the cached configuration was current when a read was sent.

        :param sent_at: when the read was sent, in seconds of the boot clock.
        """
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def age_s(self, now: float) -> float:
        """Return the age of the last confirmation.

        :param now: current time of the boot clock in seconds.
        :return: seconds.
        """
        return now - self.confirmed_at

    def is_valid(self, now: float) -> bool:
        """Return whether the cached configuration may decide which keys are accepted.

        :param now: current time of the boot clock in seconds.
        :return: False if keys may have been added or revoked longer than the bound ago.
        """
        return self.age_s(now) < self.bound_s * LEASE_FRACTION

    def is_current(self, now: float) -> bool:
        """Return whether the cached configuration may decide what no newer one may contradict.

        :param now: current time of the boot clock in seconds.
        :return: False if a newer configuration may be in force for longer than its bound.
        """
        bound_s = min(self.bound_s, self.configuration_bound_s)
        return self.age_s(now) < bound_s * LEASE_FRACTION


__all__ = (
    'Freshness',
    'boot_time',
)
