"""How long ago the configuration was known to be the newest one."""

from __future__ import annotations

import time
from dataclasses import dataclass

#: Part of the bound on revoked keys for which a confirmation is good.
USED_PART = 0.92


def boot_time() -> float:
    """Return the seconds since the start of the host, with the time that it was suspended.

    :return: seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Freshness:
    """A lease on the configuration, counted from before the store was asked.

    ``bound_s`` is the longest time for which a revoked key may still be used.
    """

    bound_s: float
    confirmed_at: float = float('-inf')

    def confirm(self, asked_at: float) -> None:
        """Note that nothing newer existed when the store was asked.

        :param asked_at: when it was asked, in seconds of the boot clock.
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def age_s(self, now: float) -> float:
        """Return the age of the last confirmation.

        :param now: seconds of the boot clock.
        :return: seconds.
        """
        return now - self.confirmed_at

    def is_good(self, now: float) -> bool:
        """Tell whether keys may be used, and unknown ones refused as such.

        :param now: seconds of the boot clock.
        :return: whether it may; otherwise a newer configuration may say the opposite.
        """
        return self.age_s(now) < self.bound_s * USED_PART


__all__ = (
    'Freshness',
    'boot_time',
)
