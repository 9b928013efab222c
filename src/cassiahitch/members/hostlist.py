"""The lagging host list, compared with the incarnations that heartbeats report."""

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
        self.host_statuses: dict[str, _HostStatus] = {}
        self.hosts: frozenset[str] = frozenset()

    def update(self, records: tuple[HostRecord, ...], now: float) -> None:
        """Replace the list.

        :param records: all listed hosts.
        :param now: seconds.
        """
        self.hosts = frozenset(record.host for record in records)
        leaving = {record.host for record in records if record.leaving}
        for host in leaving:
            leaving_status = self.host_statuses.setdefault(host, _HostStatus())
            if leaving_status.leaving_since is None:
                leaving_status.leaving_since = now
        for host, host_status in tuple(self.host_statuses.items()):
            if host not in leaving:
                host_status.leaving_since = None
                self._remove_expired(host, host_status, now)

    def record_start(self, host: str, started_at: float) -> None:
        """Record a new incarnation of a host.

        :param host: the host.
        :param started_at: start of the incarnation in seconds.
        """
        host_status = self.host_statuses.setdefault(host, _HostStatus())
        host_status.replaced = host_status.started_at is not None
        host_status.started_at = started_at
        host_status.ended_at = None

    def record_end(self, host: str, now: float) -> None:
        """Record that the current incarnation of a host has ended.

        :param host: the host.
        :param now: seconds.
        """
        host_status = self.host_statuses.get(host)
        if host_status is not None:
            host_status.ended_at = now

    def status(self, host: str, now: float) -> ListedStatus:
        """Return whether the current incarnation of a host is leaving.

        A ``leaving`` record from before the current incarnation refers to the previous one. A
        record that appears within the lag after the start may refer to either.

        :param host: the host.
        :param now: seconds.
        :return: the status; ``unclear`` is resolved within the lag.
        """
        host_status = self.host_statuses.get(host)
        if host_status is None or host_status.leaving_since is None:
            return ListedStatus.staying
        if host_status.started_at is None or now >= host_status.started_at + self.lag_s:
            return ListedStatus.leaving
        if host_status.replaced and host_status.leaving_since <= host_status.started_at:
            return ListedStatus.staying
        return ListedStatus.unclear

    def _remove_expired(self, host: str, host_status: _HostStatus, now: float) -> None:
        if host_status.started_at is None or (
            host_status.ended_at is not None and now > host_status.ended_at + self.lag_s
        ):
            self.host_statuses.pop(host)


__all__ = (
    'MAX_LAG_S',
    'HostList',
    'ListedStatus',
)
