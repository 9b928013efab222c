"""Slow start of replicas that have just loaded model weights."""

from __future__ import annotations

#: Seconds after a load over which the usable share rises to 1.
WINDOW_S = 10.0
#: Usable share of the capacity right after a load.
INITIAL_SHARE = 0.2


class SlowStart:
    """Limits the usable share of a replica's capacity after it loaded weights."""

    def __init__(self) -> None:
        """Create the slow start without replicas."""
        self.versions: dict[str, tuple[int, int, str]] = {}
        self.started_at: dict[str, float] = {}

    def record_version(self, host: str, version: tuple[int, int, str], now: float) -> None:
        """Record what a replica has loaded; a change begins its slow start.

        :param host: the replica.
        :param version: its incarnation, load epoch and loaded digest.
        :param now: seconds.
        """
        if self.versions.get(host) == version:
            return
        self.versions[host] = version
        self.started_at[host] = now

    def remove_replica(self, host: str) -> None:
        """Remove a replica.

        :param host: the replica.
        """
        self.versions.pop(host, None)
        self.started_at.pop(host, None)

    def usable_share(self, host: str, now: float) -> float:
        """Return the share of a replica's capacity that may be used.

        :param host: the replica.
        :param now: seconds.
        :return: a fraction above 0 and up to 1.
        """
        started_at = self.started_at.get(host)
        if started_at is None:
            return 1
        progress = max(0, now - started_at) / WINDOW_S
        if progress >= 1:
            self.started_at.pop(host)
            return 1
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * progress


__all__ = ('SlowStart',)
