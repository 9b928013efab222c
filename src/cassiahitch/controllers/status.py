"""Status of a configuration revision on the nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.members.membership import Health

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.members.membership import Member


@dataclass(frozen=True, slots=True)
class RevisionStatus:
    """The nodes that have a revision in force; hosts are sorted by name.

    ``behind`` are alive with a lower revision, ``silent`` are suspect or dead.
    """

    revision: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether all members are alive and report the revision in force."""
        return bool(self.in_force) and not (self.behind or self.silent)


@dataclass(frozen=True, slots=True)
class ResourceCondition:
    """A condition of a resource, as the node at ``observed_revision`` reports it."""

    type: str
    status: bool
    observed_revision: int
    detail: str


def revision_status(revision: int, members: Iterable[Member]) -> RevisionStatus:
    """Return which members have a revision in force; only alive members count.

    :param revision: the revision.
    :param members: the members with their latest heartbeats.
    :return: the status.
    """
    in_force: list[str] = []
    behind: list[str] = []
    silent: list[str] = []
    for member in members:
        heartbeat = member.heartbeat
        if member.health is Health.alive:
            group = in_force if heartbeat.revision >= revision else behind
            group.append(heartbeat.host)
        else:
            silent.append(heartbeat.host)
    return RevisionStatus(
        revision,
        tuple(sorted(in_force)),
        tuple(sorted(behind)),
        tuple(sorted(silent)),
    )


def in_force_condition(status: RevisionStatus, observed_revision: int) -> ResourceCondition:
    """Return the ``InForce`` condition of a resource.

    :param status: status of the revision that last wrote the resource.
    :param observed_revision: revision of the node that reports the condition.
    :return: the condition.
    """
    member_count = len(status.in_force) + len(status.behind) + len(status.silent)
    detail = f'in force on {len(status.in_force)} of {member_count} nodes'
    if status.silent:
        detail = f'{detail}, {len(status.silent)} unresponsive'
    return ResourceCondition('InForce', status.everywhere, observed_revision, detail)


__all__ = (
    'ResourceCondition',
    'RevisionStatus',
    'in_force_condition',
    'revision_status',
)
