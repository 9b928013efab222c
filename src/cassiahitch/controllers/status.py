"""Which nodes have which revision in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.members.membership import Health

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.members.membership import Member


@dataclass(frozen=True, slots=True)
class RevisionStatus:
    """Where a revision is in force; hosts in the order of their names."""

    revision: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every node that is known has been heard with the revision in force."""
        return bool(self.in_force) and not (self.behind or self.silent)


@dataclass(frozen=True, slots=True)
class ResourceCondition:
    """A condition of a resource, as of the revision that was observed."""

    type: str
    status: bool
    observed_revision: int
    detail: str


def revision_status(revision: int, members: Iterable[Member]) -> RevisionStatus:
    """Tell which nodes have a revision in force; a silent one is never counted.

    :param revision: the revision.
    :param members: the nodes, as their heartbeats told.
    :return: the status.
    """
    in_force: list[str] = []
    behind: list[str] = []
    silent: list[str] = []
    for member in members:
        heartbeat = member.heartbeat
        if member.health is Health.alive:
            reached = in_force if heartbeat.revision >= revision else behind
            reached.append(heartbeat.host)
        else:
            silent.append(heartbeat.host)
    return RevisionStatus(
        revision,
        tuple(sorted(in_force)),
        tuple(sorted(behind)),
        tuple(sorted(silent)),
    )


def in_force_condition(status: RevisionStatus, observed_revision: int) -> ResourceCondition:
    """Turn a status into the condition ``InForce`` of a resource.

    :param status: the status of the revision that set the resource.
    :param observed_revision: the revision of the node that answers.
    :return: the condition.
    """
    known = len(status.in_force) + len(status.behind) + len(status.silent)
    detail = f'in force on {len(status.in_force)} of {known} nodes'
    if status.silent:
        detail = f'{detail}, {len(status.silent)} not heard'
    return ResourceCondition('InForce', status.everywhere, observed_revision, detail)


__all__ = (
    'ResourceCondition',
    'RevisionStatus',
    'in_force_condition',
    'revision_status',
)
