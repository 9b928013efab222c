"""Selects the entry addresses that a caller should use, with their weights and lifetime."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

#: Maximum number of addresses in a response.
MAX_ADDRESSES = 3
#: Mean lifetime of a response in seconds.
MEAN_LIFETIME_S = 30.0
#: Relative jitter of the lifetime, so that callers do not all refresh at the same time.
LIFETIME_JITTER = 0.2
#: Seconds without an update after which an entry is no longer returned.
STATE_EXPIRY_S = 5.0
#: Minimum weight, that of an entry at full load; an idle entry has weight 1.
MIN_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class EntryState:
    """Reported state of an entry; ``ready`` once it has a configuration."""

    entry: str
    address: str
    region: str
    failure_domain: str
    ready: bool
    stopping: bool
    load: float


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """Address of an entry, and its weight in the caller's load balancing."""

    address: str
    weight: float


@dataclass(frozen=True, slots=True)
class AddressResponse:
    """Addresses for a caller, and the seconds for which it may cache them."""

    addresses: tuple[EntryAddress, ...]
    lifetime_s: float


@dataclass(slots=True)
class EntryRegistry:
    """Registry of all entries, this one included."""

    region: str
    random: Random
    entries: dict[str, EntryState] = field(default_factory=dict)
    updated_at: dict[str, float] = field(default_factory=dict)
    stopping_entries: set[str] = field(default_factory=set)

    def update(self, state: EntryState, now: float) -> None:
        """Update the state of an entry; once reported as stopping, it stays so.

        :param state: the reported state.
        :param now: seconds.
        """
        if state.stopping:
            self.stopping_entries.add(state.entry)
        self.entries[state.entry] = state
        self.updated_at[state.entry] = now

    def remove(self, entry: str) -> None:
        """Remove an entry.

        :param entry: its name, which includes the incarnation.
        """
        self.entries.pop(entry, None)
        self.updated_at.pop(entry, None)
        self.stopping_entries.discard(entry)

    def select_addresses(self, now: float) -> AddressResponse:
        """Select addresses at random by free capacity, spread over the failure domains.

        A failure domain is repeated only after every other one was used. Entries of other regions
        are returned only if none of the own region is available.

        :param now: seconds.
        :return: the response; it has no addresses if no entry is available.
        """
        by_domain: defaultdict[str, list[EntryState]] = defaultdict(list)
        usable = self.usable_entries(now)
        local = [state for state in usable if state.region == self.region]
        for entry in local or usable:
            by_domain[entry.failure_domain].append(entry)
        selection: list[EntryState] = []
        while by_domain and len(selection) < MAX_ADDRESSES:
            selection += self.pop_one_per_domain(by_domain)
        addresses = tuple(
            EntryAddress(state.address, weight(state)) for state in selection[:MAX_ADDRESSES]
        )
        jitter = LIFETIME_JITTER * (2 * self.random.random() - 1)
        return AddressResponse(addresses, MEAN_LIFETIME_S * (1 + jitter))

    def usable_entries(self, now: float) -> list[EntryState]:
        """Return the entries that callers may use.

        :param now: seconds.
        :return: their states, sorted by name.
        """
        return [
            self.entries[entry]
            for entry in sorted(self.entries)
            if self.entries[entry].ready
            and entry not in self.stopping_entries
            and now - self.updated_at[entry] <= STATE_EXPIRY_S
        ]

    def pop_one_per_domain(self, by_domain: dict[str, list[EntryState]]) -> list[EntryState]:
        """Remove and return one random entry of each failure domain, in random order.

        :param by_domain: entries by failure domain; modified, domains without entries are dropped.
        :return: the removed entries.
        """
        domains = sorted(by_domain)
        self.random.shuffle(domains)
        return [self.pop_weighted(by_domain, domain) for domain in domains]

    def pop_weighted(self, by_domain: dict[str, list[EntryState]], domain: str) -> EntryState:
        """Remove and return a random entry of a failure domain, weighted by free capacity.

        :param by_domain: entries by failure domain; modified, a domain without entries is dropped.
        :param domain: the failure domain.
        :return: the removed entry.
        """
        states = by_domain[domain]
        selected = self.random.choices(states, [weight(state) for state in states])[0]
        states.remove(selected)
        if not states:
            by_domain.pop(domain)
        return selected


def weight(state: EntryState) -> float:
    """Return the weight of an entry: the free fraction of its capacity.

    :param state: the entry.
    :return: MIN_WEIGHT to 1.
    """
    return max(MIN_WEIGHT, min(1, 1 - state.load))


__all__ = (
    'AddressResponse',
    'EntryRegistry',
    'EntryAddress',
    'EntryState',
)
