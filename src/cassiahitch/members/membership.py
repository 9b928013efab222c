"""Which hosts are alive, leaving or dead."""

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
#: Seconds of silence after which a member gets no new work.
SUSPECT_TIMEOUT_S = 3.0
#: Seconds of silence after which a member is dead.
DEAD_TIMEOUT_S = 10.0
#: Seconds of silence after which a dead member is forgotten; longer than a lost region lasts.
EXPIRY_S = 14_400.0
#: Stopped incarnations that are remembered, so that their late heartbeats are dropped.
MAX_FORMER = 16_384


class Role(StrEnum):
    """What a process does."""

    entry = 'entry'
    agent = 'agent'


class Health(StrEnum):
    """State of a member."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """Where a process runs and how it is reached."""

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
    """Weights on a host, each named by its digest."""

    deployment: str = ''
    loaded: str = ''
    load_epoch: int = 0
    loading: str = ''
    complete: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a process tells of itself; ``uptime_s`` counts from the start of the incarnation."""

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
    """A process in one incarnation, as this node knows it.

    ``leaving`` is for good; ``leaving_unclear`` lasts while the host list is unclear.
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
    def usable(self) -> bool:
        """Whether it may get new work."""
        return self.health is Health.alive and not (self.leaving or self.leaving_unclear)


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """A process was heard for the first time in this incarnation."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLeaving:
    """A member is leaving, for good in this incarnation."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """A member is alive, suspect or dead now."""

    host: str
    incarnation: int
    health: Health


MembershipChange = MemberJoined | MemberLeaving | HealthChanged


class Membership:
    """Joins heartbeats with the lagging host list."""

    def __init__(
        self, suspect_s: float = SUSPECT_TIMEOUT_S, dead_s: float = DEAD_TIMEOUT_S
    ) -> None:
        """Create it without members.

        :param suspect_s: seconds of silence after which a member gets no new work.
        :param dead_s: seconds of silence after which a member is dead.
        """
        self.suspect_s = suspect_s
        self.dead_s = dead_s
        self.members: dict[str, Member] = {}
        self.former: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.listing = HostList()

    def usable(self, host: str, incarnation: int) -> bool:
        """Tell whether a host may get new work.

        :param host: the host.
        :param incarnation: its incarnation.
        :return: whether it is alive in that incarnation and not leaving.
        """
        member = self.members.get(host)
        return member is not None and member.identity == (host, incarnation) and member.usable

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> tuple[MembershipChange, ...]:
        """Take a heartbeat.

        :param heartbeat: the heartbeat; a late one of an earlier incarnation is dropped.
        :param now: seconds.
        :return: what changed.
        """
        if (heartbeat.host, heartbeat.incarnation) in self.former:
            return ()
        known = self.members.get(heartbeat.host)
        started_at = now - heartbeat.uptime_s
        if known is None:
            return self._join(Member(heartbeat, now, started_at), now)
        if known.heartbeat.incarnation == heartbeat.incarnation:
            return self._renew(known, heartbeat, now)
        if known.health is not Health.dead and started_at <= known.started_at:
            return ()
        return (*self._end(known, now), *self._join(Member(heartbeat, now, started_at), now))

    def mark_stopped(self, host: str, incarnation: int, now: float) -> tuple[MembershipChange, ...]:
        """Take the word of a process that it has stopped.

        :param host: the host.
        :param incarnation: its incarnation.
        :param now: seconds.
        :return: what changed.
        """
        member = self.members.get(host)
        if member is None or member.identity != (host, incarnation):
            return ()
        self._forget(member, now)
        self.former[member.identity] = None
        while len(self.former) > MAX_FORMER:
            self.former.popitem(last=False)
        return (HealthChanged(host, incarnation, Health.dead),)

    def apply_host_list(
        self, records: tuple[HostRecord, ...], now: float
    ) -> tuple[MembershipChange, ...]:
        """Take the host list; it may lag, so it never declares a host dead or alive.

        :param records: all hosts listed.
        :param now: seconds.
        :return: what changed.
        """
        self.listing.update(records, now)
        return self._apply_listing(now)

    def check_timeouts(self, now: float) -> tuple[MembershipChange, ...]:
        """Note the members that have been silent.

        :param now: seconds.
        :return: what changed.
        """
        actions = list(self._apply_listing(now))
        for member in tuple(self.members.values()):
            health = self._health(member, now)
            if now - member.last_heartbeat_at >= EXPIRY_S:
                self._forget(member, now)
            elif health is not member.health:
                self.members[member.heartbeat.host] = replace(member, health=health)
                actions.append(HealthChanged(*member.identity, health))
        return tuple(actions)

    def _health(self, member: Member, now: float) -> Health:
        silent_s = now - member.last_heartbeat_at
        if silent_s >= self.dead_s:
            return Health.dead
        return Health.suspect if silent_s >= self.suspect_s else member.health

    def _join(self, member: Member, now: float) -> tuple[MembershipChange, ...]:
        host, incarnation = member.identity
        self.listing.joined(host, member.started_at)
        leaving = member.heartbeat.leaving
        self.members[host] = replace(member, leaving=leaving)
        left = (MemberLeaving(host, incarnation),) if leaving else ()
        return (MemberJoined(host, incarnation), *left, *self._apply_record(host, now))

    def _renew(
        self,
        known: Member,
        heartbeat: Heartbeat,
        now: float,
    ) -> tuple[MembershipChange, ...]:
        if heartbeat.sequence <= known.heartbeat.sequence:
            return ()
        fresh = replace(
            known,
            heartbeat=heartbeat,
            last_heartbeat_at=now,
            started_at=min(known.started_at, now - heartbeat.uptime_s),
            health=Health.alive,
            leaving=known.leaving or heartbeat.leaving,
        )
        self.members[heartbeat.host] = fresh
        return _differences(known, fresh)

    def _apply_listing(self, now: float) -> tuple[MembershipChange, ...]:
        actions: list[MembershipChange] = []
        for host in tuple(self.listing.entries):
            actions.extend(self._apply_record(host, now))
        return tuple(actions)

    def _apply_record(self, host: str, now: float) -> tuple[MembershipChange, ...]:
        known = self.members.get(host)
        if known is None or known.leaving:
            return ()
        verdict = self.listing.verdict(host, now)
        fresh = replace(
            known,
            leaving=verdict is ListedStatus.leaving,
            leaving_unclear=verdict is ListedStatus.unclear,
        )
        self.members[host] = fresh
        return _differences(known, fresh)

    def _end(self, member: Member, now: float) -> tuple[MembershipChange, ...]:
        self._forget(member, now)
        if member.health is Health.dead:
            return ()
        return (HealthChanged(*member.identity, Health.dead),)

    def _forget(self, member: Member, now: float) -> None:
        self.members.pop(member.heartbeat.host)
        self.listing.ended(member.heartbeat.host, now)


def _differences(before: Member, after: Member) -> tuple[MembershipChange, ...]:
    actions: list[MembershipChange] = []
    if after.health is not before.health:
        actions.append(HealthChanged(*after.identity, after.health))
    if after.leaving and not before.leaving:
        actions.append(MemberLeaving(*after.identity))
    return tuple(actions)


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
