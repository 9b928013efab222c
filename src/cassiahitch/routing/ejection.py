"""Outlier ejection of replicas that fail or stop reporting, with a cap on the ejected share."""

from __future__ import annotations

from dataclasses import dataclass

from cassiahitch.routing.api import Outcome

#: Consecutive failures after which a replica is ejected.
CONSECUTIVE_FAILURES = 3
#: Duration of the first ejection in seconds; doubles with each further one.
BASE_EJECTION_S = 2.0
#: Maximum duration of an ejection in seconds.
MAX_EJECTION_S = 60.0
#: Maximum fraction of the replicas that is ejected at the same time.
MAX_EJECTED_SHARE = 0.34
#: Missed reports after which a replica counts as unresponsive.
MAX_MISSED_REPORTS = 3.0


@dataclass(slots=True)
class ReplicaHealth:
    """Health of one replica; ``failures`` counts consecutive ones."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    unresponsive: bool = False


class OutlierEjection:
    """Temporarily excludes unhealthy replicas from load balancing."""

    def __init__(self) -> None:
        """Create the ejection without replicas."""
        self.health: dict[str, ReplicaHealth] = {}
        self.ejected: set[str] = set()

    def add(self, host: str) -> None:
        """Add a replica, without any failure.

        :param host: the replica.
        """
        self.health[host] = ReplicaHealth()
        self.ejected.discard(host)

    def remove(self, host: str) -> None:
        """Remove a replica.

        :param host: the replica.
        """
        self.health.pop(host, None)
        self.ejected.discard(host)

    def record_outcome(self, host: str, outcome: Outcome, now: float) -> None:
        """Record the result of a request.

        :param host: the replica that ran it.
        :param outcome: the result.
        :param now: seconds.
        """
        health = self.health.get(host)
        if health is None:
            return
        match outcome:
            case Outcome.success:
                health.failures = 0
                health.ejections = 0
            case Outcome.failed | Outcome.timed_out:
                health.failures += 1
            case Outcome.crashed:
                health.failures = CONSECUTIVE_FAILURES
            case Outcome.refused | Outcome.cancelled:
                return
        if health.failures >= CONSECUTIVE_FAILURES:
            self.eject(host, health, now)

    def eject(self, host: str, health: ReplicaHealth, now: float) -> None:
        """Eject a replica unless the maximum share is ejected already.

        :param host: the replica.
        :param health: its health.
        :param now: seconds.
        """
        if host not in self.ejected and not self.may_eject_another(now):
            return
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**health.ejections)
        health.ejections = min(health.ejections + 1, CONSECUTIVE_FAILURES * CONSECUTIVE_FAILURES)
        health.failures = 0
        health.ejected_until = now + duration_s
        self.ejected.add(host)

    def may_eject_another(self, now: float) -> bool:
        """Return whether one more replica may be ejected.

        :param now: seconds.
        :return: whether the ejected share would stay within its maximum.
        """
        self.ejected = {host for host in self.ejected if self.is_ejected(self.health[host], now)}
        return len(self.ejected) + 1 <= MAX_EJECTED_SHARE * len(self.health)

    def is_ejected(self, health: ReplicaHealth, now: float) -> bool:
        """Return whether a replica is ejected for its failures or for missing reports.

        :param health: its health.
        :param now: seconds.
        :return: whether it is ejected.
        """
        return health.unresponsive or now < health.ejected_until

    def unresponsive_hosts(self) -> frozenset[str]:
        """Return the replicas that are ejected because they stopped reporting.

        :return: hosts.
        """
        return frozenset(host for host in self.ejected if self.health[host].unresponsive)

    def record_report(self, host: str) -> None:
        """Record that a replica reported, so that it no longer counts as unresponsive.

        :param host: the replica.
        """
        health = self.health.get(host)
        if health is not None:
            health.unresponsive = False

    def allows(self, host: str, missed_reports: float, now: float) -> bool:
        """Return whether a replica may receive a request; ejects it if it stopped reporting.

        :param host: the replica.
        :param missed_reports: time since its last report, in mean report intervals.
        :param now: seconds.
        :return: whether it is not ejected.
        """
        health = self.health[host]
        if (
            missed_reports > MAX_MISSED_REPORTS
            and not health.unresponsive
            and self.may_eject_another(now)
        ):
            health.unresponsive = True
            self.ejected.add(host)
        return not (host in self.ejected and self.is_ejected(health, now))


__all__ = ('OutlierEjection',)
