"""Policy that decides on which weight versions requests may start."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from cassiahitch.wire.datagrammessages import VersionRecord

#: Longest time in seconds for which a sound replica may be silent and then go on. It notices only
#: then that a connection was closed.
REPLICA_SILENCE_S = 1.5
#: Seconds until a request, or the close of its connection, has reached a replica.
DELIVERY_S = 0.1
#: Seconds before the end of the bound at which requests that have not begun on an older version are
#: withdrawn, and from which none is sent there.
BOUND_MARGIN_S = REPLICA_SILENCE_S + DELIVERY_S
#: Longest time in seconds since the last reply of the store after which a version returned by a
#: long poll counts as declared just now.
MAX_REPLY_GAP_S = 1.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """The version of a model that the operator wants on all replicas."""

    model: str
    version: int


@dataclass(slots=True)
class VersionPolicy:
    """Declared weight versions and when each of them was declared.

    No request may start on a version later than ``bound_s`` after a newer one was declared.
    ``declared_at`` holds the time of each declaration, by model and version. A process that
    had just started, or had no contact with the store, cannot determine that time: it assumes the
    earliest possible one and adds the version to ``estimated``. An estimate is replaced by the time
    that another process reports, and is not reported to others. All times are in seconds of the
    boot clock, which goes on while the host is suspended.
    """

    bound_s: float
    declared_at: dict[str, dict[int, float]] = field(default_factory=dict)
    estimated: set[DeclaredVersion] = field(default_factory=set)

    def record_declared(self, declared: DeclaredVersion, at: float) -> bool:
        """Record a declaration whose time is known.

        :param declared: the declared version.
        :param at: when it was declared, in seconds; the earliest reported time is kept.
        :return: whether it is newer than all other declared versions of the model.
        """
        times = self.declared_at.setdefault(declared.model, {})
        is_newer = declared.version > max(times, default=0)
        if declared in self.estimated:
            self.estimated.remove(declared)
            times[declared.version] = at
        else:
            times[declared.version] = min(at, times.get(declared.version, at))
        return is_newer

    def record_stored(
        self, declared: DeclaredVersion, confirmed_at: float, now: float, *, long_polled: bool
    ) -> bool:
        """Record a declaration that was read from the store, which does not contain its time.

        :param declared: the declared version.
        :param confirmed_at: latest time at which the cached versions are known to have been
            current, in seconds; minus infinity if there was none.
        :param now: current time in seconds.
        :param long_polled: whether the store held the read open until the row changed.
        :return: whether it is newer than all other declared versions of the model.
        """
        if long_polled and confirmed_at + MAX_REPLY_GAP_S >= now:
            return self.record_declared(declared, now)
        times = self.declared_at.setdefault(declared.model, {})
        is_newer = declared.version > max(times, default=0)
        if declared.version not in times:
            times[declared.version] = confirmed_at
            self.estimated.add(declared)
        return is_newer

    def exact_declarations(self) -> tuple[tuple[DeclaredVersion, float], ...]:
        """Return the declarations whose time is not an estimate.

        :return: versions and when they were declared, in seconds.
        """
        versions = (
            (DeclaredVersion(model, version), at)
            for model, times in self.declared_at.items()
            for version, at in times.items()
        )
        return tuple(dated for dated in versions if dated[0] not in self.estimated)

    def records(self, now: float) -> tuple[VersionRecord, ...]:
        """Return the declarations whose time is not an estimate, as records of a message.

        :param now: current time in seconds.
        :return: versions and their ages.
        """
        return tuple(
            VersionRecord(declared.model, declared.version, int((now - at) * MS_PER_S))
            for declared, at in self.exact_declarations()
        )

    def merge_records(self, records: tuple[VersionRecord, ...], now: float) -> None:
        """Record the declarations that another process reports.

        :param records: versions and their ages.
        :param now: current time in seconds.
        """
        for record in records:
            declared = DeclaredVersion(record.model, record.version)
            self.record_declared(declared, now - record.age_ms / MS_PER_S)

    def newest(self, model: str) -> int:
        """Return the newest declared version of a model.

        :param model: name of the model.
        :return: the version, 0 if none is declared.
        """
        return max(self.declared_at.get(model, {}), default=0)

    def replaced_at(self, model: str, version: int) -> float:
        """Return when a version was replaced by a newer one.

        :param model: name of the model.
        :param version: the version.
        :return: seconds, infinity if no newer version is declared.
        """
        times = self.declared_at.get(model, {})
        return min((at for newer, at in times.items() if newer > version), default=inf)

    def left_s(self, model: str, version: int, at: float) -> float:
        """Return the time that was left until no request might begin on a version any more.

        :param model: name of the model.
        :param version: the version.
        :param at: the time, in seconds.
        :return: seconds, infinity if no newer version is declared.
        """
        return self.replaced_at(model, version) + self.bound_s - at

    def may_begin(self, model: str, version: int, at: float) -> bool:
        """Return whether a request that is expected to begin at a time may be sent.

        :param model: name of the model.
        :param version: the version on which it would begin.
        :param at: the time, in seconds.
        :return: whether it need not be withdrawn before.
        """
        return self.left_s(model, version, at) > BOUND_MARGIN_S

    def oldest_allowed(self, model: str, now: float) -> int:
        """Return the oldest version of a model on which a request may start.

        :param model: name of the model.
        :param now: current time in seconds.
        :return: the version, 0 if all are allowed.
        """
        latest = now - self.bound_s + BOUND_MARGIN_S
        times = self.declared_at.get(model, {})
        return max((version for version, at in times.items() if at <= latest), default=0)


__all__ = (
    'BOUND_MARGIN_S',
    'MAX_REPLY_GAP_S',
    'DeclaredVersion',
    'VersionPolicy',
)
