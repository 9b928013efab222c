"""Replicas on which suspects run alone, the same at all entries that know the same hosts."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

#: Replicas of a service for each one that suspects may take.
REPLICAS_PER_HOME = 3
#: Seconds after which a crashed replica that did not return no longer counts as down.
DOWN_LIMIT_S = 60.0


def rank(subject: str, host: str) -> bytes:
    """Return the rank of a host for a subject by rendezvous hash.

    :param subject: what is to be placed.
    :param host: the host.
    :return: bytes to sort by; the highest wins.
    """
    return hashlib.blake2b(f'{subject}\0{host}'.encode(), digest_size=8).digest()


@dataclass(frozen=True, slots=True)
class Down:
    """A crashed replica that has not returned yet."""

    services: frozenset[str]
    incarnation: int
    until: float


@dataclass(slots=True)
class Quarantine:
    """Replicas of each service, and which of them are down by a crash."""

    members: dict[str, frozenset[str]] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    down: dict[str, Down] = field(default_factory=dict)

    def crashed(self, host: str, incarnation: int, now: float) -> None:
        """Count a replica as down until it returns, unless it has returned already.

        :param host: the replica.
        :param incarnation: incarnation that crashed.
        :param now: seconds.
        """
        if self.incarnations.get(host, incarnation) != incarnation:
            return
        services = self.services(host)
        self.down[host] = Down(services, incarnation, now + DOWN_LIMIT_S)

    def returned(self, host: str, incarnation: int) -> None:
        """Count a replica as up again.

        :param host: the replica.
        :param incarnation: its incarnation now; the crashed one does not return.
        """
        self.incarnations[host] = incarnation
        known = self.down.get(host)
        if known is not None and known.incarnation != incarnation:
            self.down.pop(host)

    def remove(self, host: str) -> None:
        """Forget a replica that left; a crashed one stays down until it returns.

        :param host: the replica.
        """
        self.members.pop(host, None)
        self.incarnations.pop(host, None)

    def services(self, host: str) -> frozenset[str]:
        """Return the services of a replica, also of one that is down.

        :param host: the replica.
        :return: names of services.
        """
        known = self.down.get(host)
        return self.members.get(host, known.services if known else frozenset())

    def down_hosts(self, service: str, now: float) -> frozenset[str]:
        """Return the replicas of a service that are down by a crash.

        :param service: the service.
        :param now: seconds.
        :return: hosts.
        """
        self.down = {host: down for host, down in self.down.items() if now < down.until}
        return frozenset(host for host, down in self.down.items() if service in down.services)

    def homes(self, service: str, now: float) -> tuple[str, ...]:
        """Return the replicas on which suspects of a service may run now.

        :param service: the service.
        :param now: seconds.
        :return: hosts; none while as many replicas are down as suspects may take.
        """
        down = self.down_hosts(service, now)
        up = {host for host, services in self.members.items() if service in services} - down
        allowed = max(1, len(up | down) // REPLICAS_PER_HOME) - len(down)
        ranked = sorted(up, key=lambda host: rank(service, host), reverse=True)
        return tuple(ranked[: max(0, allowed)])


__all__ = (
    'Quarantine',
    'rank',
)
