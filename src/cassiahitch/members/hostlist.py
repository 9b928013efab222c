"""The lagging host list, read against the incarnations that were heard."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.stores.api import HostRecord

#: Seconds by which the host list lags at most.
MAX_LAG_S = 60.0


class ListedStatus(StrEnum):
    """What the list says of the current incarnation of a host."""

    staying = 'staying'
    unclear = 'unclear'
    leaving = 'leaving'


@dataclass(slots=True)
class _Entry:
    """Since when a host is listed as leaving, and the span of its current incarnation."""

    leaving_since: float | None = None
    started_at: float | None = None
    ended: float | None = None
    replaced: bool = False


class HostList:
    """Decides whether a record that says leaving means the current incarnation of a host."""

    def __init__(self, lag_s: float = MAX_LAG_S) -> None:
        """Create an empty list.

        :param lag_s: seconds by which the list lags at most.
        """
        self.lag_s = lag_s
        self.entries: dict[str, _Entry] = {}
        self.hosts: frozenset[str] = frozenset()

    def update(self, records: tuple[HostRecord, ...], now: float) -> None:
        """Take the list.

        :param records: all hosts listed.
        :param now: seconds.
        """
        self.hosts = frozenset(record.host for record in records)
        leaving = {record.host for record in records if record.leaving}
        for host in leaving:
            entry = self.entries.setdefault(host, _Entry())
            if entry.leaving_since is None:
                entry.leaving_since = now
        for host, known in tuple(self.entries.items()):
            if host not in leaving:
                known.leaving_since = None
                self._forget(host, known, now)

    def joined(self, host: str, started_at: float) -> None:
        """Note that a host is heard in an incarnation that was not heard before.

        :param host: the host.
        :param started_at: the moment when the incarnation began.
        """
        entry = self.entries.setdefault(host, _Entry())
        entry.replaced = entry.started_at is not None
        entry.started_at = started_at
        entry.ended = None

    def ended(self, host: str, now: float) -> None:
        """Note that the current incarnation of a host has ended.

        :param host: the host.
        :param now: seconds.
        """
        entry = self.entries.get(host)
        if entry is not None:
            entry.ended = now

    def verdict(self, host: str, now: float) -> ListedStatus:
        """Tell whether a host is to be taken as leaving.

        A record older than the current incarnation means the one before it. One that appears
        within the lag after its start may mean either.

        :param host: the host.
        :param now: seconds.
        :return: the verdict; ``unclear`` becomes clear within the lag.
        """
        entry = self.entries.get(host)
        if entry is None or entry.leaving_since is None:
            return ListedStatus.staying
        if entry.started_at is None or now >= entry.started_at + self.lag_s:
            return ListedStatus.leaving
        if entry.replaced and entry.leaving_since <= entry.started_at:
            return ListedStatus.staying
        return ListedStatus.unclear

    def _forget(self, host: str, entry: _Entry, now: float) -> None:
        if entry.started_at is None or (entry.ended is not None and now > entry.ended + self.lag_s):
            self.entries.pop(host)


__all__ = (
    'MAX_LAG_S',
    'HostList',
    'ListedStatus',
)
