"""Which versions of weights requests may begin on."""

from __future__ import annotations

from dataclasses import dataclass, field

from cassiahitch.wire.beats import VersionRecord

#: Seconds before the end of the bound from which no request begins on an older version.
MARGIN_S = 1.0
#: Longest time without an answer of the store after which a version that comes as news counts as
#: declared just now, in seconds.
USUAL_GAP_S = 1.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """The version of a model that the operator wants on all replicas."""

    model: str
    version: int


@dataclass(slots=True)
class VersionPolicy:
    """Declared versions and when this process learned of them.

    A version is replaced for good ``bound_s`` after a newer one was declared. ``learned`` holds
    when a version was declared, or the earliest such time if it is also in ``guesses``: this
    process began, or heard nothing, for a while before it learned of it. A guess gives way to
    what another process tells, and is not told to others.
    """

    bound_s: float
    learned: dict[str, dict[int, float]] = field(default_factory=dict)
    guesses: set[DeclaredVersion] = field(default_factory=set)

    def declare(self, declared: DeclaredVersion, at: float) -> bool:
        """Take in that a version was declared, as the process knows that learned of it at once.

        :param declared: the version.
        :param at: when, in seconds; the earliest time that was told counts.
        :return: whether it is newer than all known ones.
        """
        known = self.learned.setdefault(declared.model, {})
        is_newer = declared.version > max(known, default=0)
        if declared in self.guesses:
            self.guesses.remove(declared)
            known[declared.version] = at
        else:
            known[declared.version] = min(at, known.get(declared.version, at))
        return is_newer

    def read(
        self, declared: DeclaredVersion, confirmed_at: float, now: float, *, waited: bool
    ) -> bool:
        """Take in that a version stands in the store.

        :param declared: the version.
        :param confirmed_at: when this process last knew that nothing newer existed, in seconds;
            minus infinity if it never did.
        :param now: seconds.
        :param waited: whether the store held its answer back until there was news.
        :return: whether it is newer than all known ones.
        """
        if waited and confirmed_at + USUAL_GAP_S >= now:
            return self.declare(declared, now)
        known = self.learned.setdefault(declared.model, {})
        is_newer = declared.version > max(known, default=0)
        if declared.version not in known:
            known[declared.version] = confirmed_at
            self.guesses.add(declared)
        return is_newer

    def told(self) -> tuple[tuple[DeclaredVersion, float], ...]:
        """Return what other processes may rely on.

        :return: versions and when they were declared, in seconds.
        """
        versions = (
            (DeclaredVersion(model, version), at)
            for model, known in self.learned.items()
            for version, at in known.items()
        )
        return tuple(one for one in versions if one[0] not in self.guesses)

    def records(self, now: float) -> tuple[VersionRecord, ...]:
        """Return what other processes may rely on, as a message tells it.

        :param now: seconds.
        :return: versions and how long ago they were declared.
        """
        return tuple(
            VersionRecord(declared.model, declared.version, int((now - at) * MS_PER_S))
            for declared, at in self.told()
        )

    def heard(self, records: tuple[VersionRecord, ...], now: float) -> None:
        """Take in what another process knows.

        :param records: versions and how long ago they were declared.
        :param now: seconds.
        """
        for record in records:
            declared = DeclaredVersion(record.model, record.version)
            self.declare(declared, now - record.age_ms / MS_PER_S)

    def newest(self, model: str) -> int:
        """Return the newest declared version.

        :param model: the model.
        :return: the version, 0 if none is declared.
        """
        return max(self.learned.get(model, {}), default=0)

    def oldest_allowed(self, model: str, now: float) -> int:
        """Return the oldest version on which a request may begin.

        :param model: the model.
        :param now: seconds.
        :return: the version.
        """
        due = now - self.bound_s + MARGIN_S
        known = self.learned.get(model, {})
        return max((version for version, at in known.items() if at <= due), default=0)


__all__ = (
    'MARGIN_S',
    'USUAL_GAP_S',
    'DeclaredVersion',
    'VersionPolicy',
)
