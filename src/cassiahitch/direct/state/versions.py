"""Policy that decides on which weight versions requests may start."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cassiahitch.wire.datagrammessages import VersionRecord

#: Longest time in seconds for which a sound replica may be silent and then go on. It notices only
#: then that a connection was closed.
REPLICA_SILENCE_S = 1.5
#: Seconds until a request, or the close of its connection, has reached a replica.
DELIVERY_S = 0.1
#: Seconds before the end of the bound at which requests that have not begun on an older version are
#: withdrawn, and from which none is sent there.
BOUND_MARGIN_S = REPLICA_SILENCE_S + DELIVERY_S
#: Longest time in seconds between the last confirmation of the cached versions and a long poll for
#: which no version can have been declared in between without being noticed.
MAX_POLL_GAP_S = 0.6
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
    ``declared_at`` holds, by model and version, a time before which the version had not been
    declared: the latest one that is known, minus infinity if none is. The bound counts from it, so
    that it never ends too late. ``stored`` holds the versions that were read from the store. All
    times are in seconds of the boot clock, which goes on while the host is suspended.
    """

    bound_s: float
    declared_at: dict[str, dict[int, float]] = field(default_factory=dict)
    stored: set[DeclaredVersion] = field(default_factory=set)

    def record_declared(self, declared: DeclaredVersion, not_before: float) -> bool:
        """Record a declaration.

        :param declared: the declared version.
        :param not_before: a time before which it had not been declared, in seconds.
        :return: whether it is newer than all other declared versions of the model.
        """
        times = self.declared_at.setdefault(declared.model, {})
        is_newer = declared.version > max(times, default=0)
        times[declared.version] = max(not_before, times.get(declared.version, -math.inf))
        return is_newer

    def record_stored(
        self, declared: DeclaredVersion, confirmed_at: float, polled_at: float = -math.inf
    ) -> bool:
        """Record a declaration that was read from the store, which does not contain its time.

        Only the first read of a version tells something about that.

        :param declared: the declared version.
        :param confirmed_at: latest time at which the cached versions are known to have been
            current, in seconds; minus infinity if there was none.
        :param polled_at: when the read was sent, in seconds, if the store held it open until the
            row changed; minus infinity otherwise.
        :return: whether it is newer than all other declared versions of the model.
        """
        if declared in self.stored:
            return False
        self.stored.add(declared)
        if polled_at - confirmed_at <= MAX_POLL_GAP_S:
            return self.record_declared(declared, max(confirmed_at, polled_at))
        return self.record_declared(declared, confirmed_at)

    def dated_declarations(self) -> tuple[tuple[DeclaredVersion, float], ...]:
        """Return the declarations of which something about the time is known.

        :return: versions and the times before which they had not been declared, in seconds.
        """
        return tuple(
            (DeclaredVersion(model, version), at)
            for model, times in self.declared_at.items()
            for version, at in times.items()
            if at > -math.inf
        )

    def records(self, now: float) -> tuple[VersionRecord, ...]:
        """Return the dated declarations as records of a message.

        :param now: current time in seconds.
        :return: versions and their ages.
        """
        return tuple(
            VersionRecord(declared.model, declared.version, math.ceil((now - at) * MS_PER_S))
            for declared, at in self.dated_declarations()
        )

    def merge_records(self, records: tuple[VersionRecord, ...], asked_at: float | None) -> None:
        """Record the declarations that another process reports in a reply.

        The ages are as of when the message was built, and it may have been under way, or unread,
        for any time. A reply was built after its query was sent; other messages are ignored.

        :param records: versions and their ages.
        :param asked_at: when the query was sent that the message replies to, in seconds; None for
            other messages.
        """
        if asked_at is None:
            return
        for record in records:
            declared = DeclaredVersion(record.model, record.version)
            self.record_declared(declared, asked_at - record.age_ms / MS_PER_S)

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
        return min((at for newer, at in times.items() if newer > version), default=math.inf)

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
    'MAX_POLL_GAP_S',
    'DeclaredVersion',
    'VersionPolicy',
)
