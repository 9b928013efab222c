"""Choice of the agent that limits the rate of a replica.

Load pattern: a plain replica names a rate limit while entries send to it from all regions. Two
agents that granted permits for it at the same time would allow twice the limit. All entries
therefore choose the agent by the list of replicas, and an entry uses its choice only if its list is
recent and has led to the same choice for longer than another entry may still use an older list.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.weights.tree import rendezvous_order

if TYPE_CHECKING:
    from cassiahitch.direct.state.replicas import Replica

#: Maximum age of the list of replicas, in seconds, of an entry that requests permits.
MAX_LIST_AGE_S = 3.0
#: Seconds from the query for a permit within which the request has to be sent.
PERMIT_LIFETIME_S = 0.25
#: Seconds for which the choice must have been the same: by then, no entry uses another one, nor a
#: permit that it received from another one.
STABLE_S = MAX_LIST_AGE_S + PERMIT_LIFETIME_S


@dataclass(frozen=True, slots=True)
class EngineHost:
    """The address and the region of a host with an engine, and thus with an agent."""

    address: str
    region: str


@dataclass(frozen=True, slots=True)
class LimiterChoice:
    """The host whose agent limits the rate of a plain replica, chosen at ``since``, in seconds."""

    address: str
    since: float


@dataclass(slots=True)
class LimiterDirectory:
    """Choices for all plain replicas by key; times in seconds of the boot clock.

    ``region_of`` returns the region of a failure domain, ``hosts`` are the hosts of the listed
    engines. ``confirmed_at`` is the latest time at which the list of replicas is known to have been
    current.
    """

    region_of: Callable[[str], str]
    hosts: frozenset[EngineHost] = frozenset()
    choices: dict[str, LimiterChoice] = field(default_factory=dict)
    confirmed_at: float = float('-inf')

    def confirm(self, confirmed_at: float, now: float) -> None:
        """Record that the list of replicas was current at some time.

        After a time without a recent list, all choices count as new: they may have changed twice.

        :param confirmed_at: the time.
        :param now: current time.
        """
        if confirmed_at - self.confirmed_at > MAX_LIST_AGE_S:
            self.choices = {
                key: LimiterChoice(choice.address, now) for key, choice in self.choices.items()
            }
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def update(
        self, replicas: Iterable[Replica], engine_services: Iterable[str], now: float
    ) -> None:
        """Choose an agent for each plain replica of the list.

        :param replicas: all replicas of the list.
        :param engine_services: names of the services whose replicas are engines with agents.
        :param now: current time.
        """
        engine_services = frozenset(engine_services)
        listed = tuple(replicas)
        hosts = frozenset(
            EngineHost(replica.endpoint.address, self.region_of(replica.failure_domain))
            for replica in listed
            if replica.service in engine_services
        )
        is_same = hosts == self.hosts
        self.hosts = hosts
        self.choices = {
            replica.key: self.choose(replica, now, is_same=is_same)
            for replica in listed
            if replica.service not in engine_services
        }

    def choose(self, replica: Replica, now: float, *, is_same: bool) -> LimiterChoice:
        """Choose the host of an engine for a replica, preferably in the region of the replica.

        :param replica: the plain replica.
        :param now: current time.
        :param is_same: whether the hosts of engines are those of the last choice.
        :return: the choice, which has no address if there is no engine.
        """
        before = self.choices.get(replica.key)
        if before is not None and is_same:
            return before
        region = self.region_of(replica.failure_domain)
        local = {host.address for host in self.hosts if host.region == region}
        addresses = local or {host.address for host in self.hosts}
        salt = zlib.crc32(replica.key.encode())
        address = next(iter(rendezvous_order(salt, addresses)), '')
        if before is not None and before.address == address:
            return before
        return LimiterChoice(address, now)

    def address(self, replica: Replica, now: float) -> str:
        """Return the host whose agent grants permits for a plain replica.

        :param replica: the replica.
        :param now: current time.
        :return: the address, empty if there is none or it is not certain.
        """
        choice = self.choices.get(replica.key)
        if choice is None or now - choice.since < STABLE_S:
            return ''
        return choice.address if now - self.confirmed_at <= MAX_LIST_AGE_S else ''


__all__ = (
    'LimiterChoice',
    'LimiterDirectory',
    'PERMIT_LIFETIME_S',
    'STABLE_S',
)
