"""Suspects: requests that may have crashed backend servers.

Entries exchange their records of suspects; merging them gives the same result in any order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

#: Crashes while running alone after which a suspect is refused.
REFUSAL_CRASHES = 2
#: Seconds for which a suspect is refused after its last crash.
REFUSAL_S = 600.0
#: Seconds without a further crash after which a suspect is removed.
RETENTION_S = 3_600.0
#: Maximum number of suspects; the oldest are dropped.
MAX_SUSPECTS = 4_096


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """Identity of requests that are equal for a backend server."""

    organisation: str
    service: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a backend server; ``alone`` if the suspect was the only request on it."""

    host: str
    incarnation: int
    alone: bool


@dataclass(frozen=True, slots=True)
class Suspect:
    """Crashes of a fingerprint since it was last cleared; ``epoch`` counts the clearings."""

    fingerprint: Fingerprint
    epoch: int = 0
    crashes: frozenset[Crash] = frozenset()

    @property
    def crashes_alone(self) -> int:
        """Number of crashes at which the suspect was the only request on the backend server."""
        return sum(crash.alone for crash in self.crashes)

    def merge(self, other: Suspect) -> Suspect:
        """Merge two records.

        :param other: a record of the same fingerprint.
        :return: the record of the later epoch, or the union within one epoch.
        """
        if other.epoch != self.epoch:
            return max(self, other, key=lambda suspect: suspect.epoch)
        return replace(self, crashes=self.crashes | other.crashes)


@dataclass(slots=True)
class Suspects:
    """Records of all suspects at one entry."""

    records: dict[Fingerprint, Suspect] = field(default_factory=dict)
    changed_at: dict[Fingerprint, float] = field(default_factory=dict)

    def merge(self, suspect: Suspect, now: float) -> None:
        """Merge a record of this or of another entry.

        :param suspect: the record.
        :param now: seconds.
        """
        current = self.records.get(suspect.fingerprint, Suspect(suspect.fingerprint))
        merged = current.merge(suspect)
        if merged == current:
            return
        self.records.pop(suspect.fingerprint, None)
        self.records[suspect.fingerprint] = merged
        self.changed_at[suspect.fingerprint] = now
        if len(self.records) > MAX_SUSPECTS:
            self.remove(next(iter(self.records)))

    def add_crash(self, fingerprint: Fingerprint, crash: Crash, now: float) -> Suspect:
        """Add a crash to the record of a fingerprint.

        :param fingerprint: the fingerprint.
        :param crash: the crash.
        :param now: seconds.
        :return: the updated record, to be sent to other entries.
        """
        current = self.records.get(fingerprint, Suspect(fingerprint))
        self.merge(Suspect(fingerprint, current.epoch, frozenset((crash,))), now)
        return self.records[fingerprint]

    def clear(self, fingerprint: Fingerprint, now: float) -> Suspect | None:
        """Clear a suspect that has completed.

        :param fingerprint: the suspect.
        :param now: seconds.
        :return: the updated record, to be sent to other entries; none if it was no suspect.
        """
        current = self.records.get(fingerprint)
        if current is None or not current.crashes:
            return None
        cleared = Suspect(fingerprint, current.epoch + 1)
        self.merge(cleared, now)
        return cleared

    def is_suspect(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a fingerprint is a suspect.

        :param fingerprint: the fingerprint.
        :param now: seconds.
        :return: whether it is.
        """
        current = self.records.get(fingerprint)
        if current is None:
            return False
        if now - self.changed_at[fingerprint] > RETENTION_S:
            self.remove(fingerprint)
            return False
        return bool(current.crashes)

    def refused_for_s(self, fingerprint: Fingerprint, now: float) -> float:
        """Return for how much longer a fingerprint is refused.

        :param fingerprint: the fingerprint.
        :param now: seconds.
        :return: seconds; 0 if it is not refused.
        """
        current = self.records.get(fingerprint)
        if current is None or current.crashes_alone < REFUSAL_CRASHES:
            return 0
        return max(0, self.changed_at[fingerprint] + REFUSAL_S - now)

    def remove(self, fingerprint: Fingerprint) -> None:
        """Remove the record of a fingerprint.

        :param fingerprint: the fingerprint.
        """
        self.records.pop(fingerprint, None)
        self.changed_at.pop(fingerprint, None)


__all__ = (
    'Crash',
    'Fingerprint',
    'Suspect',
    'Suspects',
)
