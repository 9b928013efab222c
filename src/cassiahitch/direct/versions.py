"""Which versions of weights requests may begin on."""

from __future__ import annotations

from dataclasses import dataclass, field

#: Seconds before the end of the bound from which no request begins on an older version.
MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """The version of a model that the operator wants on all replicas."""

    model: str
    version: int


@dataclass(slots=True)
class VersionPolicy:
    """Declared versions and when this process learned of them.

    A version is replaced for good ``bound_s`` after a newer one was declared.
    """

    bound_s: float
    learned: dict[str, dict[int, float]] = field(default_factory=dict)

    def declare(self, declared: DeclaredVersion, now: float) -> bool:
        """Take a declared version in.

        :param declared: the version.
        :param now: seconds.
        :return: whether it is newer than all known ones.
        """
        known = self.learned.setdefault(declared.model, {})
        if declared.version <= max(known, default=0):
            return False
        known[declared.version] = now
        return True

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
    'DeclaredVersion',
    'VersionPolicy',
)
