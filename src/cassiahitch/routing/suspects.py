"""Requests suspected of crashing backend servers, merged between entries in any order."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

#: Crashes alone after which a suspect is refused.
CRASHES_ALONE = 2
#: Seconds for which a suspect is refused after its last crash.
REFUSAL_S = 600.0
#: Seconds after which a suspect that did not crash again is forgotten.
RETENTION_S = 3_600.0
#: Suspects kept; the oldest are dropped.
SUSPECTS = 4_096


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """What identifies requests that are the same to a backend server."""

    organisation: str
    service: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a backend server; ``alone`` if the suspect was its only request."""

    host: str
    incarnation: int
    alone: bool


@dataclass(frozen=True, slots=True)
class Suspect:
    """The crashes of a fingerprint since it was last cleared; ``epoch`` counts the clearings."""

    fingerprint: Fingerprint
    epoch: int = 0
    crashes: frozenset[Crash] = frozenset()

    @property
    def crashes_alone(self) -> int:
        """Number of crashes at which it was the only request."""
        return sum(crash.alone for crash in self.crashes)

    def merge(self, other: Suspect) -> Suspect:
        """Return what both records say together.

        :param other: a record of the same fingerprint.
        :return: the record of the later epoch, or the union within one epoch.
        """
        if other.epoch != self.epoch:
            return max(self, other, key=lambda suspect: suspect.epoch)
        return replace(self, crashes=self.crashes | other.crashes)


@dataclass(slots=True)
class Suspects:
    """All suspects that an entry knows of."""

    records: dict[Fingerprint, Suspect] = field(default_factory=dict)
    changed_at: dict[Fingerprint, float] = field(default_factory=dict)

    def merge(self, suspect: Suspect, now: float) -> None:
        """Take a record in, own or of another entry.

        :param suspect: the record.
        :param now: seconds.
        """
        known = self.records.get(suspect.fingerprint, Suspect(suspect.fingerprint))
        merged = known.merge(suspect)
        if merged == known:
            return
        self.records.pop(suspect.fingerprint, None)
        self.records[suspect.fingerprint] = merged
        self.changed_at[suspect.fingerprint] = now
        if len(self.records) > SUSPECTS:
            self.forget(next(iter(self.records)))

    def add_crash(self, fingerprint: Fingerprint, crash: Crash, now: float) -> Suspect:
        """Add a crash to what is known of a fingerprint.

        :param fingerprint: the fingerprint.
        :param crash: the crash.
        :param now: seconds.
        :return: the record to share.
        """
        known = self.records.get(fingerprint, Suspect(fingerprint))
        self.merge(Suspect(fingerprint, known.epoch, frozenset((crash,))), now)
        return self.records[fingerprint]

    def clear(self, fingerprint: Fingerprint, now: float) -> Suspect | None:
        """Clear a suspect that has completed.

        :param fingerprint: the suspect.
        :param now: seconds.
        :return: the record to share, if it was a suspect.
        """
        known = self.records.get(fingerprint)
        if known is None or not known.crashes:
            return None
        cleared = Suspect(fingerprint, known.epoch + 1)
        self.merge(cleared, now)
        return cleared

    def is_suspect(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a fingerprint is a suspect.

        :param fingerprint: the fingerprint.
        :param now: seconds.
        :return: whether it is.
        """
        known = self.records.get(fingerprint)
        if known is None:
            return False
        if now - self.changed_at[fingerprint] > RETENTION_S:
            self.forget(fingerprint)
            return False
        return bool(known.crashes)

    def refused_for_s(self, fingerprint: Fingerprint, now: float) -> float:
        """Return how long a fingerprint is still refused.

        :param fingerprint: the fingerprint.
        :param now: seconds.
        :return: seconds; 0 if it is not refused.
        """
        known = self.records.get(fingerprint)
        if known is None or known.crashes_alone < CRASHES_ALONE:
            return 0
        return max(0, self.changed_at[fingerprint] + REFUSAL_S - now)

    def forget(self, fingerprint: Fingerprint) -> None:
        """Forget a fingerprint.

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
