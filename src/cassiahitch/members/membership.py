"""Membership by heartbeats: which processes are alive, suspect, dead or leaving."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.members.hostlist import HostList, ListedStatus

if TYPE_CHECKING:
    from cassiahitch.stores.api import HostRecord

#: Seconds between heartbeats.
HEARTBEAT_INTERVAL_S = 1.0
#: Seconds without a heartbeat after which a member is suspect and receives no new requests.
SUSPECT_TIMEOUT_S = 3.0
#: Seconds without a heartbeat after which a member is dead.
DEAD_TIMEOUT_S = 10.0
#: Seconds without a heartbeat after which a dead member is removed; longer than a region outage.
EXPIRY_S = 14_400.0
#: Maximum number of stopped incarnations that are tracked, to drop their late heartbeats.
MAX_STOPPED = 16_384


class Role(StrEnum):
    """Role of a process."""

    entry = 'entry'
    agent = 'agent'


class Health(StrEnum):
    """Health of a member by the age of its last heartbeat."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """Role, address and location of a process."""

    role: Role
    address: str
    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Load:
    """Requests on a host."""

    running: int = 0
    queued: int = 0


@dataclass(frozen=True, slots=True)
class Weights:
    """Model weights on a host, identified by their digests."""

    deployment: str = ''
    loaded: str = ''
    load_epoch: int = 0
    loading: str = ''
    complete: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat of a process; ``uptime_s`` counts from the start of its incarnation."""

    host: str
    incarnation: int
    sequence: int
    info: MemberInfo
    uptime_s: float
    revision: int = 0
    leaving: bool = False
    load: Load = Load()
    weights: Weights = Weights()


@dataclass(frozen=True, slots=True)
class Member:
    """A process in one incarnation.

    ``leaving`` is permanent. ``leaving_unclear`` is set while it is unclear whether the host list
    means this incarnation.
    """

    heartbeat: Heartbeat
    last_heartbeat_at: float
    started_at: float
    health: Health = Health.alive
    leaving: bool = False
    leaving_unclear: bool = False

    @property
    def identity(self) -> tuple[str, int]:
        """Host and incarnation."""
        return (self.heartbeat.host, self.heartbeat.incarnation)

    @property
    def is_usable(self) -> bool:
        """Whether this member may receive new requests."""
        return self.health is Health.alive and not (self.leaving or self.leaving_unclear)


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """The first heartbeat of an incarnation was received."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLeaving:
    """A member is leaving; it stays so in this incarnation."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """The health of a member changed."""

    host: str
    incarnation: int
    health: Health


MembershipChange = MemberJoined | MemberLeaving | HealthChanged


class Membership:
    """Tracks members by their heartbeats and the lagging host list."""

    def __init__(
        self, suspect_s: float = SUSPECT_TIMEOUT_S, dead_s: float = DEAD_TIMEOUT_S
    ) -> None:
        """Create a membership without members.

        :param suspect_s: seconds without a heartbeat after which a member is suspect.
        :param dead_s: seconds without a heartbeat after which a member is dead.
        """
        self.suspect_s = suspect_s
        self.dead_s = dead_s
        self.members: dict[str, Member] = {}
        self.stopped: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.host_list = HostList()

    def is_usable(self, host: str, incarnation: int) -> bool:
        """Return whether a host may receive new requests.

        :param host: the host.
        :param incarnation: its incarnation.
        :return: whether it is alive in that incarnation and not leaving.
        """
        member = self.members.get(host)
        return member is not None and member.identity == (host, incarnation) and member.is_usable

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> tuple[MembershipChange, ...]:
        """Apply a heartbeat.

        :param heartbeat: the heartbeat; a late one of an earlier incarnation is dropped.
        :param now: seconds.
        :return: the changes.
        """
        if (heartbeat.host, heartbeat.incarnation) in self.stopped:
            return ()
        member = self.members.get(heartbeat.host)
        started_at = now - heartbeat.uptime_s
        if member is None:
            return self._join(Member(heartbeat, now, started_at), now)
        if member.heartbeat.incarnation == heartbeat.incarnation:
            return self._refresh(member, heartbeat, now)
        if member.health is not Health.dead and started_at <= member.started_at:
            return ()
        return (*self._end(member, now), *self._join(Member(heartbeat, now, started_at), now))

    def mark_stopped(self, host: str, incarnation: int, now: float) -> tuple[MembershipChange, ...]:
        """Remove a process that reported its stop.

        :param host: the host.
        :param incarnation: its incarnation.
        :param now: seconds.
        :return: the changes.
        """
        member = self.members.get(host)
        if member is None or member.identity != (host, incarnation):
            return ()
        self._remove(member, now)
        self.stopped[member.identity] = None
        while len(self.stopped) > MAX_STOPPED:
            self.stopped.popitem(last=False)
        return (HealthChanged(host, incarnation, Health.dead),)

    def apply_host_list(
        self, records: tuple[HostRecord, ...], now: float
    ) -> tuple[MembershipChange, ...]:
        """Apply the host list, which may lag and therefore never marks a host as dead or alive.

        :param records: all listed hosts.
        :param now: seconds.
        :return: the changes.
        """
        self.host_list.update(records, now)
        return self._apply_host_list(now)

    def check_timeouts(self, now: float) -> tuple[MembershipChange, ...]:
        """Update the health of members without recent heartbeats, and remove expired ones.

        :param now: seconds.
        :return: the changes.
        """
        changes = list(self._apply_host_list(now))
        for member in tuple(self.members.values()):
            health = self._health(member, now)
            if now - member.last_heartbeat_at >= EXPIRY_S:
                self._remove(member, now)
            elif health is not member.health:
                self.members[member.heartbeat.host] = replace(member, health=health)
                changes.append(HealthChanged(*member.identity, health))
        return tuple(changes)

    def _health(self, member: Member, now: float) -> Health:
        age_s = now - member.last_heartbeat_at
        if age_s >= self.dead_s:
            return Health.dead
        return Health.suspect if age_s >= self.suspect_s else member.health

    def _join(self, member: Member, now: float) -> tuple[MembershipChange, ...]:
        host, incarnation = member.identity
        self.host_list.record_start(host, member.started_at)
        leaving = member.heartbeat.leaving
        self.members[host] = replace(member, leaving=leaving)
        leaving_changes = (MemberLeaving(host, incarnation),) if leaving else ()
        return (MemberJoined(host, incarnation), *leaving_changes, *self._apply_record(host, now))

    def _refresh(
        self,
        member: Member,
        heartbeat: Heartbeat,
        now: float,
    ) -> tuple[MembershipChange, ...]:
        if heartbeat.sequence <= member.heartbeat.sequence:
            return ()
        updated = replace(
            member,
            heartbeat=heartbeat,
            last_heartbeat_at=now,
            started_at=min(member.started_at, now - heartbeat.uptime_s),
            health=Health.alive,
            leaving=member.leaving or heartbeat.leaving,
        )
        self.members[heartbeat.host] = updated
        return _changes(member, updated)

    def _apply_host_list(self, now: float) -> tuple[MembershipChange, ...]:
        changes: list[MembershipChange] = []
        for host in tuple(self.host_list.host_statuses):
            changes.extend(self._apply_record(host, now))
        return tuple(changes)

    def _apply_record(self, host: str, now: float) -> tuple[MembershipChange, ...]:
        member = self.members.get(host)
        if member is None or member.leaving:
            return ()
        status = self.host_list.status(host, now)
        updated = replace(
            member,
            leaving=status is ListedStatus.leaving,
            leaving_unclear=status is ListedStatus.unclear,
        )
        self.members[host] = updated
        return _changes(member, updated)

    def _end(self, member: Member, now: float) -> tuple[MembershipChange, ...]:
        self._remove(member, now)
        if member.health is Health.dead:
            return ()
        return (HealthChanged(*member.identity, Health.dead),)

    def _remove(self, member: Member, now: float) -> None:
        self.members.pop(member.heartbeat.host)
        self.host_list.record_end(member.heartbeat.host, now)


def _changes(before: Member, after: Member) -> tuple[MembershipChange, ...]:
    changes: list[MembershipChange] = []
    if after.health is not before.health:
        changes.append(HealthChanged(*after.identity, after.health))
    if after.leaving and not before.leaving:
        changes.append(MemberLeaving(*after.identity))
    return tuple(changes)


__all__ = (
    'DEAD_TIMEOUT_S',
    'HEARTBEAT_INTERVAL_S',
    'SUSPECT_TIMEOUT_S',
    'Health',
    'HealthChanged',
    'Heartbeat',
    'MemberJoined',
    'MemberLeaving',
    'Load',
    'Member',
    'Membership',
    'MembershipChange',
    'MemberInfo',
    'Role',
    'Weights',
)
