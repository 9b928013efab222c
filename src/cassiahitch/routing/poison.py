"""Keeps a request that crashes backend servers from taking one after another."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.routing.quarantine import Quarantine, rank
from cassiahitch.routing.suspects import Crash, Suspect, Suspects

if TYPE_CHECKING:
    from cassiahitch.routing.suspects import Fingerprint

#: Longest time in seconds that requests wait for the suspects of the other entries.
SHARE_S = 0.3
#: Seconds for which a retry that is not known here waits for suspects of other entries.
RETRY_HOLD_S = 0.1
#: Seconds after which a retry of the same request is taken for a new one.
RETRY_MEMORY_S = 1.0
#: Retries remembered while they wait.
RETRIES = 4_096
#: Seconds for which a replica is kept free for a suspect that waits for it.
RESERVATION_S = 2.0
#: Seconds after which a held request asks again, unless something changed before.
RECHECK_S = 0.05
#: Crashes remembered, so that news of one crash are not taken for another.
CRASHES = 256


@dataclass(frozen=True, slots=True)
class Run:
    """The request may run on any replica but those in quarantine."""


@dataclass(frozen=True, slots=True)
class RunAlone:
    """The request may run only on this replica, and only as its single request."""

    host: str


@dataclass(frozen=True, slots=True)
class Hold:
    """The request has to ask again, within its deadline."""

    recheck_s: float = RECHECK_S


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused with code ``poison_refused`` and ``ran: no``."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """What an entry had in flight on a backend server that crashed; sent to all entries."""

    entry: str
    host: str
    incarnation: int
    suspects: tuple[Suspect, ...]


@dataclass(frozen=True, slots=True)
class ClearNotice:
    """A suspect has completed; sent to all entries."""

    suspect: Suspect


@dataclass(frozen=True, slots=True)
class ReservationNotice:
    """A replica is to be kept free for a suspect; sent to all entries."""

    host: str
    seconds: float


Notice = CrashNotice | ClearNotice | ReservationNotice


@dataclass(frozen=True, slots=True)
class Running:
    """A request in flight."""

    fingerprint: Fingerprint
    host: str
    incarnation: int
    alone: bool


@dataclass(slots=True)
class Unsettled:
    """A crash about which not all entries have sent their suspects yet."""

    services: frozenset[str]
    awaited: set[str]
    until: float


@dataclass(slots=True)
class PoisonGuard:
    """Decides for one entry which requests run, run alone, wait or are refused.

    The incarnation is that of the backend server: each start of it has another one. An agent is
    expected to start a request that is to run alone only when nothing else runs.
    """

    entry: str
    peers: frozenset[str] = frozenset()
    suspects: Suspects = field(default_factory=Suspects)
    quarantine: Quarantine = field(default_factory=Quarantine)
    running: dict[str, Running] = field(default_factory=dict)
    unsettled: dict[tuple[str, int], Unsettled] = field(default_factory=dict)
    reserved: dict[str, float] = field(default_factory=dict)
    retries: dict[Fingerprint, float] = field(default_factory=dict)

    def update_peers(self, peers: frozenset[str]) -> None:
        """Take in which other entries are alive.

        :param peers: their names.
        """
        self.peers = peers
        for crash in self.unsettled.values():
            crash.awaited &= peers

    def update_replica(self, host: str, services: frozenset[str], incarnation: int) -> None:
        """Take in a replica that serves, for the first time or again after a crash.

        :param host: the replica.
        :param services: names of services.
        :param incarnation: its incarnation now.
        """
        self.quarantine.members[host] = services
        self.quarantine.returned(host, incarnation)

    def remove_replica(self, host: str) -> None:
        """Forget a replica that left; a crashed one stays down until it returns.

        :param host: the replica.
        """
        self.quarantine.remove(host)

    def admit(
        self,
        fingerprint: Fingerprint,
        now: float,
        *,
        retry: bool = False,
    ) -> Run | RunAlone | Hold | Refuse:
        """Decide whether a request may be dispatched now, at each attempt.

        :param fingerprint: the request's fingerprint.
        :param now: seconds.
        :param retry: whether its caller says that it was sent before.
        :return: the decision.
        """
        refused_for_s = self.suspects.refused_for_s(fingerprint, now)
        if refused_for_s > 0:
            return Refuse(refused_for_s)
        if self.awaits_news(fingerprint.service, now):
            return Hold()
        if self.suspects.is_suspect(fingerprint, now):
            return self.admit_suspect(fingerprint, now)
        if retry and self.is_fresh_retry(fingerprint, now):
            return Hold()
        return Run()

    def is_fresh_retry(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether suspects of other entries may still name a retry.

        :param fingerprint: the retry's fingerprint.
        :param now: seconds.
        :return: whether it came here less than RETRY_HOLD_S ago.
        """
        first_at = self.retries.setdefault(fingerprint, now)
        if now - first_at > RETRY_MEMORY_S:
            self.retries.pop(fingerprint)
            first_at = self.retries.setdefault(fingerprint, now)
        if len(self.retries) > RETRIES:
            self.retries.pop(next(iter(self.retries)))
        return now - first_at < RETRY_HOLD_S

    def admit_suspect(self, fingerprint: Fingerprint, now: float) -> RunAlone | Hold:
        """Decide whether a suspect may run alone now.

        :param fingerprint: the suspect.
        :param now: seconds.
        :return: the decision.
        """
        homes = self.quarantine.homes(fingerprint.service, now)
        if not homes:
            return Hold()
        home = max(homes, key=lambda host: rank(str(fingerprint), host))
        self.reserved[home] = now + RESERVATION_S
        if any(request.host == home for request in self.running.values()):
            return Hold()
        return RunAlone(home)

    def reservation_notices(self, now: float) -> tuple[ReservationNotice, ...]:
        """Return the replicas that this entry keeps free for suspects, to share.

        :param now: seconds.
        :return: messages for all entries.
        """
        return tuple(
            ReservationNotice(host, self.reserved[host] - now) for host in self.quarantined(now)
        )

    def quarantined(self, now: float) -> frozenset[str]:
        """Return the replicas that other requests than suspects must not use.

        :param now: seconds.
        :return: hosts.
        """
        self.reserved = {host: until for host, until in self.reserved.items() if now < until}
        return frozenset(self.reserved)

    def record_dispatch(self, request_id: str, request: Running) -> None:
        """Note a request that was sent to a replica.

        :param request_id: the request's id.
        :param request: where it runs, and whether alone.
        """
        self.running[request_id] = request

    def completed(self, request_id: str, now: float) -> tuple[Notice, ...]:
        """Note a request that completed; it is no longer a suspect.

        :param request_id: the request's id.
        :param now: seconds.
        :return: messages for all entries.
        """
        request = self.running.pop(request_id, None)
        if request is None:
            return ()
        cleared = self.suspects.clear(request.fingerprint, now)
        return () if cleared is None else (ClearNotice(cleared),)

    def ended(self, request_id: str) -> None:
        """Note a request that ended without running to its end, and without a crash.

        :param request_id: the request's id.
        """
        self.running.pop(request_id, None)

    def crashed(self, host: str, incarnation: int, now: float) -> tuple[Notice, ...]:
        """Make suspects of the requests in flight on a backend server that crashed.

        :param host: the replica.
        :param incarnation: incarnation that crashed.
        :param now: seconds.
        :return: messages for all entries; none if the crash is known.
        """
        if (host, incarnation) in self.unsettled:
            return ()
        self.quarantine.crashed(host, incarnation, now)
        services = self.quarantine.services(host)
        self.unsettled[host, incarnation] = Unsettled(services, set(self.peers), now + SHARE_S)
        if len(self.unsettled) > CRASHES:
            self.unsettled.pop(next(iter(self.unsettled)))
        suspects = self.accuse(host, incarnation, now)
        return (CrashNotice(self.entry, host, incarnation, suspects),)

    def accuse(self, host: str, incarnation: int, now: float) -> tuple[Suspect, ...]:
        """Make suspects of the own requests on a backend server that crashed.

        :param host: the replica.
        :param incarnation: incarnation that crashed.
        :param now: seconds.
        :return: the suspects.
        """
        lost = {
            request_id: running
            for request_id, running in self.running.items()
            if (running.host, running.incarnation) == (host, incarnation)
        }
        accused: dict[Fingerprint, Suspect] = {}
        for request_id, request in lost.items():
            self.running.pop(request_id)
            crash = Crash(host, incarnation, request.alone)
            accused[request.fingerprint] = self.suspects.add_crash(request.fingerprint, crash, now)
        return tuple(accused.values())

    def receive(self, news: Notice, now: float) -> tuple[Notice, ...]:
        """Take in what another entry shares.

        :param news: its message.
        :param now: seconds.
        :return: messages for all entries.
        """
        match news:
            case CrashNotice():
                return self.heard_crash(news, now)
            case ClearNotice():
                self.suspects.merge(news.suspect, now)
            case ReservationNotice():
                until = now + min(news.seconds, RESERVATION_S)
                self.reserved[news.host] = max(until, self.reserved.get(news.host, 0))
        return ()

    def heard_crash(self, news: CrashNotice, now: float) -> tuple[Notice, ...]:
        """Take in what another entry had in flight on a backend server that crashed.

        :param news: its message.
        :param now: seconds.
        :return: the own suspects, if the crash was not known yet.
        """
        answer = self.crashed(news.host, news.incarnation, now)
        for suspect in news.suspects:
            self.suspects.merge(suspect, now)
        crash = self.unsettled[news.host, news.incarnation]
        crash.awaited.discard(news.entry)
        return answer

    def awaits_news(self, service: str, now: float) -> bool:
        """Tell whether suspects of a crash may still come from another entry.

        :param service: the service of a request.
        :param now: seconds.
        :return: whether its requests are to wait.
        """
        return any(
            service in crash.services and crash.awaited and now < crash.until
            for crash in self.unsettled.values()
        )


__all__ = (
    'ClearNotice',
    'CrashNotice',
    'Hold',
    'Notice',
    'PoisonGuard',
    'Refuse',
    'ReservationNotice',
    'Run',
    'RunAlone',
    'Running',
)
