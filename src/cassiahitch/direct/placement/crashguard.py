"""Refuses requests that were in flight at the crashes of several backend servers.

Load pattern: one request crashes every backend server that runs it, and its callers send it
again through any entry.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.routing.suspects import Crash, Fingerprint, Suspect, Suspects
from cassiahitch.wire.beats import CrashRecord, SuspectRecord

if TYPE_CHECKING:
    from cassiahitch.direct.api import CallerRequest

#: Crashes after which a request is refused.
CRASHES_TO_REFUSE = 2
#: Suspects that one message tells: those that changed last, and one more in turn.
RECORDS_PER_MESSAGE = 3
#: Seconds for which a change is told first.
RECENT_CHANGE_S = 5.0


@dataclass(slots=True)
class CrashGuard:
    """Crashes of backend servers and the requests that were in flight there."""

    suspects: Suspects = field(default_factory=Suspects)
    turn: int = 0

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request is refused.

        :param fingerprint: that of the request.
        :param now: seconds.
        :return: whether it crashed too many backend servers.
        """
        if not self.suspects.is_suspect(fingerprint, now):
            return False
        return len(self.suspects.records[fingerprint].crashes) >= CRASHES_TO_REFUSE

    def record_crash(
        self,
        replica_id: str,
        born_ms: int,
        requests: tuple[Fingerprint, ...],
        now: float,
    ) -> None:
        """Accuse the requests that were in flight at a crash.

        :param replica_id: the backend server.
        :param born_ms: when it had started.
        :param requests: fingerprints of the requests.
        :param now: seconds.
        """
        for fingerprint in requests:
            self.suspects.add_crash(fingerprint, Crash(replica_id, born_ms, alone=False), now)

    def record_completion(self, fingerprint: Fingerprint, now: float) -> None:
        """Clear a request that has completed.

        :param fingerprint: that of the request.
        :param now: seconds.
        """
        if fingerprint in self.suspects.records:
            self.suspects.clear(fingerprint, now)

    def records_to_send(self, now: float) -> tuple[SuspectRecord, ...]:
        """Return suspects that other entries should know.

        :param now: seconds.
        :return: records for a message.
        """
        known = list(self.suspects.records.values())
        if not known:
            return ()
        self.turn += 1
        changed_at = self.suspects.changed_at
        fresh = [
            one
            for one in known[-RECORDS_PER_MESSAGE:]
            if now - changed_at[one.fingerprint] < RECENT_CHANGE_S
        ]
        chosen = dict.fromkeys((*fresh, known[self.turn % len(known)]))
        return tuple(_record(suspect) for suspect in chosen)

    def merge_records(self, records: tuple[SuspectRecord, ...], now: float) -> None:
        """Take in the suspects of another entry.

        :param records: records of a message.
        :param now: seconds.
        """
        for record in records:
            self.suspects.merge(_suspect(record), now)


def fingerprint_of(organisation: str, service: str, request: CallerRequest) -> Fingerprint:
    """Return what identifies a request that comes again.

    :param organisation: the caller's organisation.
    :param service: where it goes.
    :param request: the request.
    :return: the fingerprint.
    """
    digest = hashlib.sha256(f'{request.method} {request.target}\n'.encode() + request.body)
    return Fingerprint(organisation, service, digest.hexdigest()[:32])


def _record(suspect: Suspect) -> SuspectRecord:
    crashes = tuple(CrashRecord(one.host, one.incarnation) for one in suspect.crashes)
    mark = suspect.fingerprint
    return SuspectRecord(mark.organisation, mark.service, mark.body_digest, suspect.epoch, crashes)


def _suspect(record: SuspectRecord) -> Suspect:
    mark = Fingerprint(record.organisation, record.service_name, record.body_digest)
    crashes = frozenset(Crash(one.host, one.incarnation, alone=False) for one in record.crashes)
    return Suspect(mark, record.epoch, crashes)


__all__ = (
    'CrashGuard',
    'fingerprint_of',
)
