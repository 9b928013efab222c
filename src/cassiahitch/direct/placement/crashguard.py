"""Refusal of requests that were in flight at the crashes of several backend servers.

Load pattern: a request crashes every backend server that runs it, and its caller retries it through
any entry. Entries therefore exchange records of suspect requests.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.routing.suspects import Crash, Fingerprint, Suspect, Suspects
from cassiahitch.wire.datagrammessages import CrashRecord, SuspectRecord

if TYPE_CHECKING:
    from cassiahitch.direct.api import CallerRequest

#: Crashes after which a request is refused.
CRASHES_TO_REFUSE = 2
#: Recently changed suspects in a message, which contains one other suspect in turn as well.
RECORDS_PER_MESSAGE = 3
#: Seconds for which a change of a suspect is sent with priority.
RECENT_CHANGE_S = 5.0


@dataclass(slots=True)
class CrashGuard:
    """Tracks requests that were in flight at crashes of backend servers.

    ``turn`` counts messages and selects the suspect that is sent in turn.
    """

    suspects: Suspects = field(default_factory=Suspects)
    turn: int = 0

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request has to be refused.

        :param fingerprint: fingerprint of the request.
        :param now: current time in seconds.
        :return: whether it was in flight at too many crashes.
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
        """Record a crash for each request that was in flight.

        :param replica_id: id of the replica that crashed.
        :param born_ms: Unix time of the start of its process, in milliseconds.
        :param requests: fingerprints of the requests.
        :param now: current time in seconds.
        """
        for fingerprint in requests:
            self.suspects.add_crash(fingerprint, Crash(replica_id, born_ms, alone=False), now)

    def record_completion(self, fingerprint: Fingerprint, now: float) -> None:
        """Clear a request from suspicion, since it completed without a crash.

        :param fingerprint: fingerprint of the request.
        :param now: current time in seconds.
        """
        if fingerprint in self.suspects.records:
            self.suspects.clear(fingerprint, now)

    def records_to_send(self, now: float) -> tuple[SuspectRecord, ...]:
        """Return records of suspects for a message to another entry.

        :param now: current time in seconds.
        :return: recently changed suspects, and one other in turn.
        """
        suspects = list(self.suspects.records.values())
        if not suspects:
            return ()
        self.turn += 1
        changed_at = self.suspects.changed_at
        recent = [
            suspect
            for suspect in suspects[-RECORDS_PER_MESSAGE:]
            if now - changed_at[suspect.fingerprint] < RECENT_CHANGE_S
        ]
        selected = dict.fromkeys((*recent, suspects[self.turn % len(suspects)]))
        return tuple(_record(suspect) for suspect in selected)

    def merge_records(self, records: tuple[SuspectRecord, ...], now: float) -> None:
        """Merge the suspects that another entry sent.

        :param records: records of its message.
        :param now: current time in seconds.
        """
        for record in records:
            self.suspects.merge(_suspect(record), now)


def fingerprint_of(organisation: str, service: str, request: CallerRequest) -> Fingerprint:
    """Return a fingerprint that identifies a request and its retries.

    :param organisation: organisation of the caller.
    :param service: service that the request is routed to.
    :param request: the request.
    :return: the fingerprint.
    """
    digest = hashlib.sha256(f'{request.method} {request.target}\n'.encode() + request.body)
    return Fingerprint(organisation, service, digest.hexdigest()[:32])


def _record(suspect: Suspect) -> SuspectRecord:
    """Convert a suspect to a record of a message."""
    crashes = tuple(CrashRecord(crash.host, crash.incarnation) for crash in suspect.crashes)
    fingerprint = suspect.fingerprint
    return SuspectRecord(
        fingerprint.organisation,
        fingerprint.service,
        fingerprint.body_digest,
        suspect.epoch,
        crashes,
    )


def _suspect(record: SuspectRecord) -> Suspect:
    """Convert a record of a message to a suspect."""
    fingerprint = Fingerprint(record.organisation, record.service_name, record.body_digest)
    crashes = frozenset(
        Crash(crash.host, crash.incarnation, alone=False) for crash in record.crashes
    )
    return Suspect(fingerprint, record.epoch, crashes)


__all__ = (
    'CrashGuard',
    'fingerprint_of',
)
