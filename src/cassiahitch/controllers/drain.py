"""Drains: hosts that operators take out of service."""

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
    """Order a host to refuse new work and to finish what runs."""

    host: str
    incarnation: int
    fencing_number: int


@dataclass(frozen=True, slots=True)
class DrainStatus:
    """How far a drain is; ``running`` counts requests, and is unknown for a silent host."""

    host: str
    is_member: bool
    draining: bool
    running: int | None

    @property
    def is_finished(self) -> bool:
        """Whether the host was heard to refuse new work and to run nothing."""
        return self.draining and self.running == 0


def drained_hosts(resources: Mapping[str, Resource]) -> frozenset[str]:
    """Return the hosts that operators drain.

    :param resources: the configuration in force, by key.
    :return: hosts.
    """
    found = resources.values()
    return frozenset(resource.host for resource in found if isinstance(resource, Drain))


def drain_orders(
    resources: Mapping[str, Resource],
    members: Mapping[str, Member],
    fencing_number: int,
) -> tuple[OrderDrain, ...]:
    """Return the orders for hosts that do not say yet that they leave.

    :param resources: the configuration in force, by key.
    :param members: the members by host.
    :param fencing_number: number of the controller's lease.
    :return: the orders; they are idempotent.
    """
    return tuple(
        OrderDrain(host, members[host].heartbeat.incarnation, fencing_number)
        for host in sorted(drained_hosts(resources))
        if host in members and not members[host].heartbeat.leaving
    )


def drain_status(host: str, member: Member | None) -> DrainStatus:
    """Tell how far the drain of a host is.

    :param host: the host.
    :param member: what is known of it.
    :return: the status.
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
