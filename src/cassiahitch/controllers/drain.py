"""Draining of the hosts that operators take out of service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.resources.models import Drain

if TYPE_CHECKING:
    from cassiahitch.members.membership import Member
    from cassiahitch.resources.models import Resource


@dataclass(frozen=True, slots=True)
class OrderDrain:
    """Order to a host: refuse new requests and finish those that run."""

    host: str
    incarnation: int
    fencing_number: int


@dataclass(frozen=True, slots=True)
class DrainStatus:
    """Progress of a drain; ``running`` counts requests, ``None`` for an unresponsive host."""

    host: str
    is_member: bool
    draining: bool
    running: int | None

    @property
    def is_finished(self) -> bool:
        """Whether the host reports that it is draining and that no request is left."""
        return self.draining and self.running == 0


def drained_hosts(resources: Mapping[str, Resource]) -> frozenset[str]:
    """Return the hosts for which operators declared a drain.

    :param resources: the configuration in force, by key.
    :return: hosts.
    """
    declared = resources.values()
    return frozenset(resource.host for resource in declared if isinstance(resource, Drain))


def drain_orders(
    resources: Mapping[str, Resource],
    members: Mapping[str, Member],
    fencing_number: int,
) -> tuple[OrderDrain, ...]:
    """Return the orders for hosts that do not report yet that they are draining.

    :param resources: the configuration in force, by key.
    :param members: the members by host.
    :param fencing_number: fencing number of the controllers' lease.
    :return: the orders, which are idempotent.
    """
    return tuple(
        OrderDrain(host, members[host].heartbeat.incarnation, fencing_number)
        for host in sorted(drained_hosts(resources))
        if host in members and not members[host].heartbeat.leaving
    )


def drain_status(host: str, member: Member | None) -> DrainStatus:
    """Return the progress of the drain of a host.

    :param host: the host.
    :param member: the host's member, if it is in the membership.
    :return: the progress.
    """
    if member is None:
        return DrainStatus(host, is_member=False, draining=False, running=None)
    heartbeat = member.heartbeat
    running = heartbeat.load.running + heartbeat.load.queued
    is_alive = member.health.value == 'alive'
    return DrainStatus(
        host, is_member=True, draining=member.leaving, running=running if is_alive else None
    )


__all__ = (
    'DrainStatus',
    'OrderDrain',
    'drain_orders',
    'drain_status',
    'drained_hosts',
)
