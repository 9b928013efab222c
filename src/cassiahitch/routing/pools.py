"""Hosts by service and region, with random sampling in constant time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

#: Pool name of the hosts that serve every service.
ANY_SERVICE = ''


@dataclass(slots=True)
class Pool:
    """A set of hosts with random sampling in constant time."""

    hosts: list[str] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)

    def add(self, host: str) -> None:
        """Add a host.

        :param host: the host.
        """
        if host not in self.positions:
            self.positions[host] = len(self.hosts)
            self.hosts.append(host)

    def remove(self, host: str) -> None:
        """Remove a host.

        :param host: the host.
        """
        position = self.positions.pop(host, None)
        if position is None:
            return
        last = self.hosts.pop()
        if last != host:
            self.hosts[position] = last
            self.positions[last] = position

    def sample(self, random: Random) -> str:
        """Return a random host; the pool must not be empty.

        :param random: the random number generator.
        :return: a host.
        """
        return self.hosts[int(random.random() * len(self.hosts))]


@dataclass(slots=True)
class Pools:
    """Pools by service name and by whether their hosts are in the own region."""

    region: str
    pools: dict[tuple[str, bool], Pool] = field(default_factory=dict)

    def add(self, host: str, region: str, services: frozenset[str]) -> None:
        """Add a host to the pools of its services.

        :param host: the host.
        :param region: its region.
        :param services: services that it serves; none means every service.
        """
        for service in services or (ANY_SERVICE,):
            self.pools.setdefault((service, region == self.region), Pool()).add(host)

    def remove(self, host: str) -> None:
        """Remove a host from all pools.

        :param host: the host.
        """
        for pool in self.pools.values():
            pool.remove(host)

    def find(self, service: str, *, local: bool) -> tuple[Pool, ...]:
        """Return the non-empty pools of a service.

        :param service: the service.
        :param local: whether to return hosts of the own region, else those of all others.
        :return: the pools.
        """
        pools = (self.pools.get((name, local)) for name in (service, ANY_SERVICE))
        return tuple(pool for pool in pools if pool is not None and pool.hosts)


__all__ = (
    'Pool',
    'Pools',
)
