"""The lagging host list, compared with the incarnations known from heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.stores.api import HostRecord

#: Maximum lag of the host list in seconds.
MAX_LAG_S = 60.0


class ListedStatus(StrEnum):
    """Status of the current incarnation of a host by the host list."""

    staying = 'staying'
    unclear = 'unclear'
    leaving = 'leaving'


@dataclass(slots=True)
class _HostStatus:
    """Since when a host is listed as leaving, and start and end of its last known incarnation.

    ``replaced`` is true if this incarnation replaced another one.
    """

    leaving_since: float | None = None
    started_at: float | None = None
    ended_at: float | None = None
    replaced: bool = False


class HostList:
    """Decides whether a ``leaving`` record refers to the current incarnation of a host."""

    def __init__(self, lag_s: float = MAX_LAG_S) -> None:
        """Create an empty list.

        :param lag_s: maximum lag of the list in seconds.
        """
        self.lag_s = lag_s
        self.entries: dict[str, _HostStatus] = {}
        self.hosts: frozenset[str] = frozenset()

    def update(self, records: tuple[HostRecord, ...], now: float) -> None:
        """Replace the list.

        :param records: all listed hosts.
        :param now: seconds.
        """
        self.hosts = frozenset(record.host for record in records)
        leaving = {record.host for record in records if record.leaving}
        for host in leaving:
            entry = self.entries.setdefault(host, _HostStatus())
            if entry.leaving_since is None:
                entry.leaving_since = now
        for host, entry in tuple(self.entries.items()):
            if host not in leaving:
                entry.leaving_since = None
                self._remove_expired(host, entry, now)

    def record_start(self, host: str, started_at: float) -> None:
        """Record a new incarnation of a host.

        :param host: the host.
        :param started_at: start of the incarnation in seconds.
        """
        entry = self.entries.setdefault(host, _HostStatus())
        entry.replaced = entry.started_at is not None
        entry.started_at = started_at
        entry.ended_at = None

    def record_end(self, host: str, now: float) -> None:
        """Record that the current incarnation of a host has ended.

        :param host: the host.
        :param now: seconds.
        """
        entry = self.entries.get(host)
        if entry is not None:
            entry.ended_at = now

    def status(self, host: str, now: float) -> ListedStatus:
        """Return whether the current incarnation of a host is leaving.

        A ``leaving`` record from before the current incarnation refers to the previous one. A
        record that appears within the lag after the start may refer to either.

        :param host: the host.
        :param now: seconds.
        :return: the status; ``unclear`` is resolved within the lag.
        """
        entry = self.entries.get(host)
        if entry is None or entry.leaving_since is None:
            return ListedStatus.staying
        if entry.started_at is None or now >= entry.started_at + self.lag_s:
            return ListedStatus.leaving
        if entry.replaced and entry.leaving_since <= entry.started_at:
            return ListedStatus.staying
        return ListedStatus.unclear

    def _remove_expired(self, host: str, entry: _HostStatus, now: float) -> None:
        if entry.started_at is None or (
            entry.ended_at is not None and now > entry.ended_at + self.lag_s
        ):
            self.entries.pop(host)


__all__ = (
    'MAX_LAG_S',
    'HostList',
    'ListedStatus',
)
