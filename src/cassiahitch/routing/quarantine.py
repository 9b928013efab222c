"""Selects the replicas on which suspects run alone; entries with the same hosts agree on them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

#: Number of replicas of a service per replica on which suspects may run.
REPLICAS_PER_ISOLATION_HOST = 3
#: Seconds after which a crashed replica that did not restart no longer counts as down.
DOWN_EXPIRY_S = 60.0


def rendezvous_rank(key: str, host: str) -> bytes:
    """Return the rank of a host for a key by rendezvous hashing.

    :param key: the key.
    :param host: the host.
    :return: bytes to sort by; the host with the highest rank is selected.
    """
    return hashlib.blake2b(f'{key}\0{host}'.encode(), digest_size=8).digest()


@dataclass(frozen=True, slots=True)
class CrashedReplica:
    """A crashed replica that has not restarted yet."""

    services: frozenset[str]
    incarnation: int
    expires_at: float


@dataclass(slots=True)
class Quarantine:
    """Replicas of each service, and which of them are down after a crash."""

    services_by_host: dict[str, frozenset[str]] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    down: dict[str, CrashedReplica] = field(default_factory=dict)

    def mark_down(self, host: str, incarnation: int, now: float) -> None:
        """Mark a replica as down until it restarts, unless it has restarted already.

        :param host: the replica.
        :param incarnation: incarnation that crashed.
        :param now: seconds.
        """
        if self.incarnations.get(host, incarnation) != incarnation:
            return
        services = self.services(host)
        self.down[host] = CrashedReplica(services, incarnation, now + DOWN_EXPIRY_S)

    def mark_up(self, host: str, incarnation: int) -> None:
        """Record that a replica is up; it is no longer down if its incarnation is a new one.

        :param host: the replica.
        :param incarnation: its current incarnation.
        """
        self.incarnations[host] = incarnation
        crashed = self.down.get(host)
        if crashed is not None and crashed.incarnation != incarnation:
            self.down.pop(host)

    def remove(self, host: str) -> None:
        """Remove a replica; a crashed one counts as down until it restarts or the crash expires.

        :param host: the replica.
        """
        self.services_by_host.pop(host, None)
        self.incarnations.pop(host, None)

    def services(self, host: str) -> frozenset[str]:
        """Return the services of a replica, including one that is down.

        :param host: the replica.
        :return: names of services.
        """
        crashed = self.down.get(host)
        return self.services_by_host.get(host, crashed.services if crashed else frozenset())

    def down_hosts(self, service: str, now: float) -> frozenset[str]:
        """Return the replicas of a service that are down after a crash.

        :param service: the service.
        :param now: seconds.
        :return: hosts.
        """
        self.down = {host: down for host, down in self.down.items() if now < down.expires_at}
        return frozenset(host for host, down in self.down.items() if service in down.services)

    def isolation_hosts(self, service: str, now: float) -> tuple[str, ...]:
        """Return the replicas on which suspects of a service may run now.

        :param service: the service.
        :param now: seconds.
        :return: hosts; none while as many replicas are down as may run suspects.
        """
        down = self.down_hosts(service, now)
        up = {
            host for host, services in self.services_by_host.items() if service in services
        } - down
        max_hosts = max(1, len(up | down) // REPLICAS_PER_ISOLATION_HOST) - len(down)
        ranked = sorted(up, key=lambda host: rendezvous_rank(service, host), reverse=True)
        return tuple(ranked[: max(0, max_hosts)])


__all__ = (
    'Quarantine',
    'rendezvous_rank',
)
