"""Isolates requests that crash backend servers, so that one cannot crash replica after replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.routing.quarantine import Quarantine, rendezvous_rank
from cassiahitch.routing.suspects import Crash, Suspect, Suspects

if TYPE_CHECKING:
    from cassiahitch.routing.suspects import Fingerprint

#: Maximum time in seconds that requests wait for the suspects of other entries after a crash.
NOTICE_WAIT_S = 0.3
#: Seconds for which a retry that is new to this entry waits for suspects of other entries.
RETRY_HOLD_S = 0.1
#: Seconds after which a further retry of the same request counts as new again.
RETRY_EXPIRY_S = 1.0
#: Maximum number of retries that are tracked.
MAX_TRACKED_RETRIES = 4_096
#: Seconds for which a replica is reserved for a waiting suspect.
RESERVATION_S = 2.0
#: Seconds between admission checks of a held request.
RECHECK_INTERVAL_S = 0.05
#: Maximum number of crashes that are tracked, so that no crash is counted twice.
MAX_TRACKED_CRASHES = 256


@dataclass(frozen=True, slots=True)
class Run:
    """The request may run on any replica that is not quarantined."""


@dataclass(frozen=True, slots=True)
class RunAlone:
    """The request may run only on this replica, and only while nothing else runs there."""

    host: str


@dataclass(frozen=True, slots=True)
class Hold:
    """The request must wait and be checked again until its deadline."""

    recheck_s: float = RECHECK_INTERVAL_S


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused with code ``poison_refused`` and ``ran: no``."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Requests of an entry that were in flight on a crashed backend server; sent to all entries."""

    entry: str
    host: str
    incarnation: int
    suspects: tuple[Suspect, ...]


@dataclass(frozen=True, slots=True)
class ClearNotice:
    """A suspect completed and is cleared; sent to all entries."""

    suspect: Suspect


@dataclass(frozen=True, slots=True)
class ReservationNotice:
    """A replica is reserved for a suspect; sent to all entries."""

    host: str
    seconds: float


Notice = CrashNotice | ClearNotice | ReservationNotice


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request in flight; ``incarnation`` is that of the backend server."""

    fingerprint: Fingerprint
    host: str
    incarnation: int
    alone: bool


@dataclass(slots=True)
class PendingCrash:
    """A crash for which some entries have not sent their suspects yet."""

    services: frozenset[str]
    awaited_entries: set[str]
    expires_at: float


@dataclass(slots=True)
class PoisonGuard:
    """Decides for one entry which requests run, run alone, wait or are refused.

    Incarnations are those of the backend server: each start has a new one. Agents must start a
    request that runs alone only once nothing else runs on the backend server.
    """

    entry: str
    peers: frozenset[str] = frozenset()
    suspects: Suspects = field(default_factory=Suspects)
    quarantine: Quarantine = field(default_factory=Quarantine)
    running: dict[str, InFlightRequest] = field(default_factory=dict)
    pending_crashes: dict[tuple[str, int], PendingCrash] = field(default_factory=dict)
    reserved_until: dict[str, float] = field(default_factory=dict)
    retries_first_seen: dict[Fingerprint, float] = field(default_factory=dict)

    def update_peers(self, peers: frozenset[str]) -> None:
        """Update which other entries are alive, so that crashes no longer wait for dead ones.

        :param peers: their names.
        """
        self.peers = peers
        for crash in self.pending_crashes.values():
            crash.awaited_entries &= peers

    def update_replica(self, host: str, services: frozenset[str], incarnation: int) -> None:
        """Add a serving replica, or update it after a restart.

        :param host: the replica.
        :param services: names of the services that it serves.
        :param incarnation: its current incarnation.
        """
        self.quarantine.services_by_host[host] = services
        self.quarantine.mark_up(host, incarnation)

    def remove_replica(self, host: str) -> None:
        """Remove a replica; a crashed one counts as down until it restarts or the crash expires.

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
        :param retry: whether it was sent before, by this entry or according to its caller.
        :return: the decision.
        """
        refused_for_s = self.suspects.refused_for_s(fingerprint, now)
        if refused_for_s > 0:
            return Refuse(refused_for_s)
        if self.awaits_notices(fingerprint.service, now):
            return Hold()
        if self.suspects.is_suspect(fingerprint, now):
            return self.admit_suspect(fingerprint, now)
        if retry and self.is_recent_retry(fingerprint, now):
            return Hold()
        return Run()

    def is_recent_retry(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether suspects of other entries may still identify a retry as a suspect.

        :param fingerprint: the retry's fingerprint.
        :param now: seconds.
        :return: whether this entry first received it less than RETRY_HOLD_S ago.
        """
        first_seen_at = self.retries_first_seen.setdefault(fingerprint, now)
        if now - first_seen_at > RETRY_EXPIRY_S:
            self.retries_first_seen.pop(fingerprint)
            first_seen_at = self.retries_first_seen.setdefault(fingerprint, now)
        if len(self.retries_first_seen) > MAX_TRACKED_RETRIES:
            self.retries_first_seen.pop(next(iter(self.retries_first_seen)))
        return now - first_seen_at < RETRY_HOLD_S

    def admit_suspect(self, fingerprint: Fingerprint, now: float) -> RunAlone | Hold:
        """Decide whether a suspect may run alone now.

        :param fingerprint: the suspect.
        :param now: seconds.
        :return: the decision.
        """
        isolation_hosts = self.quarantine.isolation_hosts(fingerprint.service, now)
        if not isolation_hosts:
            return Hold()
        host = max(
            isolation_hosts, key=lambda candidate: rendezvous_rank(str(fingerprint), candidate)
        )
        self.reserved_until[host] = now + RESERVATION_S
        if any(request.host == host for request in self.running.values()):
            return Hold()
        return RunAlone(host)

    def reservation_notices(self, now: float) -> tuple[ReservationNotice, ...]:
        """Return notices of the replicas that are reserved for suspects.

        :param now: seconds.
        :return: notices for all entries.
        """
        return tuple(
            ReservationNotice(host, self.reserved_until[host] - now)
            for host in self.quarantined(now)
        )

    def quarantined(self, now: float) -> frozenset[str]:
        """Return the replicas that only suspects may use.

        :param now: seconds.
        :return: hosts.
        """
        self.reserved_until = {
            host: expires_at for host, expires_at in self.reserved_until.items() if now < expires_at
        }
        return frozenset(self.reserved_until)

    def record_dispatch(self, request_id: str, request: InFlightRequest) -> None:
        """Record a request that was sent to a replica.

        :param request_id: id of the attempt.
        :param request: the request in flight.
        """
        self.running[request_id] = request

    def record_completion(self, request_id: str, now: float) -> tuple[Notice, ...]:
        """Record that a request completed, and clear it if it was a suspect.

        :param request_id: id of the attempt.
        :param now: seconds.
        :return: notices for all entries.
        """
        request = self.running.pop(request_id, None)
        if request is None:
            return ()
        cleared = self.suspects.clear(request.fingerprint, now)
        return () if cleared is None else (ClearNotice(cleared),)

    def record_end(self, request_id: str) -> None:
        """Record that a request ended without completing and without a crash.

        :param request_id: id of the attempt.
        """
        self.running.pop(request_id, None)

    def record_crash(self, host: str, incarnation: int, now: float) -> tuple[Notice, ...]:
        """Record a crash of a backend server and mark its requests as suspects.

        :param host: the replica.
        :param incarnation: incarnation that crashed.
        :param now: seconds.
        :return: notices for all entries; none if the crash was recorded before.
        """
        if (host, incarnation) in self.pending_crashes:
            return ()
        self.quarantine.mark_down(host, incarnation, now)
        services = self.quarantine.services(host)
        self.pending_crashes[host, incarnation] = PendingCrash(
            services, set(self.peers), now + NOTICE_WAIT_S
        )
        if len(self.pending_crashes) > MAX_TRACKED_CRASHES:
            self.pending_crashes.pop(next(iter(self.pending_crashes)))
        suspects = self.mark_suspects(host, incarnation, now)
        return (CrashNotice(self.entry, host, incarnation, suspects),)

    def mark_suspects(self, host: str, incarnation: int, now: float) -> tuple[Suspect, ...]:
        """Mark the own requests in flight on a crashed backend server as suspects.

        :param host: the replica.
        :param incarnation: incarnation that crashed.
        :param now: seconds.
        :return: the suspects.
        """
        affected = {
            request_id: running
            for request_id, running in self.running.items()
            if (running.host, running.incarnation) == (host, incarnation)
        }
        marked: dict[Fingerprint, Suspect] = {}
        for request_id, request in affected.items():
            self.running.pop(request_id)
            crash = Crash(host, incarnation, request.alone)
            marked[request.fingerprint] = self.suspects.add_crash(request.fingerprint, crash, now)
        return tuple(marked.values())

    def receive(self, notice: Notice, now: float) -> tuple[Notice, ...]:
        """Apply a notice of another entry.

        :param notice: the notice.
        :param now: seconds.
        :return: notices for all entries.
        """
        match notice:
            case CrashNotice():
                return self.receive_crash(notice, now)
            case ClearNotice():
                self.suspects.merge(notice.suspect, now)
            case ReservationNotice():
                expires_at = now + min(notice.seconds, RESERVATION_S)
                self.reserved_until[notice.host] = max(
                    expires_at, self.reserved_until.get(notice.host, 0)
                )
        return ()

    def receive_crash(self, notice: CrashNotice, now: float) -> tuple[Notice, ...]:
        """Merge the suspects that another entry reports for a crash.

        :param notice: the notice.
        :param now: seconds.
        :return: notice of the own suspects, if the crash was not recorded before.
        """
        own_notices = self.record_crash(notice.host, notice.incarnation, now)
        for suspect in notice.suspects:
            self.suspects.merge(suspect, now)
        crash = self.pending_crashes[notice.host, notice.incarnation]
        crash.awaited_entries.discard(notice.entry)
        return own_notices

    def awaits_notices(self, service: str, now: float) -> bool:
        """Return whether another entry may still report suspects of a crash.

        :param service: the service of a request.
        :param now: seconds.
        :return: whether requests for the service must wait.
        """
        return any(
            service in crash.services and crash.awaited_entries and now < crash.expires_at
            for crash in self.pending_crashes.values()
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
    'InFlightRequest',
)
