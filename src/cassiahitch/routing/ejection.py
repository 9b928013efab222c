"""Outlier ejection of replicas that fail or are silent, with a cap on their share."""

from __future__ import annotations

from dataclasses import dataclass

from cassiahitch.routing.api import Outcome

#: Failures in a row that eject a replica.
FAILURES = 3
#: First ejection in seconds; doubles with each further one.
EJECTION_S = 2.0
#: Longest ejection in seconds.
LONGEST_EJECTION_S = 60.0
#: Largest share of the replicas that is ejected at once.
EJECTED_SHARE = 0.34
#: Missed reports after which a replica counts as silent.
MISSED_REPORTS = 3.0


@dataclass(slots=True)
class Health:
    """Failures of one replica."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    silent: bool = False


class OutlierEjection:
    """Decides which replicas get no requests for a while."""

    def __init__(self) -> None:
        """Create it without any replica."""
        self.health: dict[str, Health] = {}
        self.ejected: set[str] = set()

    def add(self, host: str) -> None:
        """Start with a replica, without any failure.

        :param host: the replica.
        """
        self.health[host] = Health()
        self.ejected.discard(host)

    def remove(self, host: str) -> None:
        """Forget a replica.

        :param host: the replica.
        """
        self.health.pop(host, None)
        self.ejected.discard(host)

    def record_outcome(self, host: str, outcome: Outcome, now: float) -> None:
        """Learn from the end of a request.

        :param host: the replica that had it.
        :param outcome: how it ended.
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
                health.failures = FAILURES
            case Outcome.refused | Outcome.cancelled:
                return
        if health.failures >= FAILURES:
            self.eject(host, health, now)

    def eject(self, host: str, health: Health, now: float) -> None:
        """Eject a replica unless too many are ejected already.

        :param host: the replica.
        :param health: its failures.
        :param now: seconds.
        """
        if host not in self.ejected and not self.has_room(now):
            return
        duration_s = min(LONGEST_EJECTION_S, EJECTION_S * 2**health.ejections)
        health.ejections = min(health.ejections + 1, FAILURES * FAILURES)
        health.failures = 0
        health.ejected_until = now + duration_s
        self.ejected.add(host)

    def has_room(self, now: float) -> bool:
        """Tell whether one more replica may be ejected.

        :param now: seconds.
        :return: whether the ejected share stays within its cap.
        """
        self.ejected = {host for host in self.ejected if self.is_out(self.health[host], now)}
        return len(self.ejected) + 1 <= EJECTED_SHARE * len(self.health)

    def is_out(self, health: Health, now: float) -> bool:
        """Tell whether a replica is out by its failures or silence.

        :param health: its failures.
        :param now: seconds.
        :return: whether it is.
        """
        return health.silent or now < health.ejected_until

    def unresponsive_hosts(self) -> frozenset[str]:
        """Return the replicas that are ejected because they are silent.

        :return: hosts.
        """
        return frozenset(host for host in self.ejected if self.health[host].silent)

    def heard(self, host: str) -> None:
        """End the silence of a replica.

        :param host: the replica that reported.
        """
        health = self.health.get(host)
        if health is not None:
            health.silent = False

    def allows(self, host: str, missed_reports: float, now: float) -> bool:
        """Tell whether a replica may get a request.

        :param host: the replica.
        :param missed_reports: time since its last report, in mean times between reports.
        :param now: seconds.
        :return: whether it may.
        """
        health = self.health[host]
        if missed_reports > MISSED_REPORTS and not health.silent and self.has_room(now):
            health.silent = True
            self.ejected.add(host)
        return not (host in self.ejected and self.is_out(health, now))


__all__ = ('OutlierEjection',)
