"""Slow start of replicas that have just loaded weights."""

from __future__ import annotations

#: Seconds after a load in which the usable share rises to the whole.
WINDOW_S = 10.0
#: Usable share of the capacity right after a load.
FIRST_SHARE = 0.2


class SlowStart:
    """Limits the share of a replica's capacity that is used after a load."""

    def __init__(self) -> None:
        """Create it without any replica."""
        self.versions: dict[str, tuple[int, int, str]] = {}
        self.started_at: dict[str, float] = {}

    def observe(self, host: str, version: tuple[int, int, str], now: float) -> None:
        """Note what a replica has loaded; a change starts it slowly.

        :param host: the replica.
        :param version: its incarnation, load epoch and loaded digest.
        :param now: seconds.
        """
        if self.versions.get(host) == version:
            return
        self.versions[host] = version
        self.started_at[host] = now

    def forget(self, host: str) -> None:
        """Forget a replica.

        :param host: the replica.
        """
        self.versions.pop(host, None)
        self.started_at.pop(host, None)

    def share(self, host: str, now: float) -> float:
        """Return the share of a replica's capacity that may be used.

        :param host: the replica.
        :param now: seconds.
        :return: a share above 0, up to 1.
        """
        started_at = self.started_at.get(host)
        if started_at is None:
            return 1
        progress = max(0, now - started_at) / WINDOW_S
        if progress >= 1:
            self.started_at.pop(host)
            return 1
        return FIRST_SHARE + (1 - FIRST_SHARE) * progress


__all__ = ('SlowStart',)
