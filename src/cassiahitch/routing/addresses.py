"""Answers the question which entries a caller is to use, for how long and how much."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

#: Entries in one answer.
ADDRESSES = 3
#: Lifetime of an answer in seconds.
LIFETIME_S = 30.0
#: Part by which lifetimes differ, so that callers do not ask again all at once.
LIFETIME_JITTER = 0.2
#: Seconds without news after which an entry is left out.
SILENT_AFTER_S = 5.0
#: Smallest weight of an entry that is full, as a share of the largest.
LEAST_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class EntryState:
    """An entry as it describes itself; ``ready`` once it has found a configuration."""

    entry: str
    address: str
    region: str
    failure_domain: str
    ready: bool
    stopping: bool
    load: float


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An address that a caller may use, and its share of the caller's requests."""

    address: str
    weight: float


@dataclass(frozen=True, slots=True)
class AddressResponse:
    """A few addresses and the seconds for which they may be kept."""

    addresses: tuple[EntryAddress, ...]
    lifetime_s: float


@dataclass(slots=True)
class EntryRegistry:
    """The entries that an entry knows, itself among them."""

    region: str
    random: Random
    entries: dict[str, EntryState] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    left: set[str] = field(default_factory=set)

    def update(self, state: EntryState, now: float) -> None:
        """Take the state of an entry in; one that has said that it leaves stays leaving.

        :param state: its state.
        :param now: seconds.
        """
        if state.stopping:
            self.left.add(state.entry)
        self.entries[state.entry] = state
        self.heard_at[state.entry] = now

    def remove(self, entry: str) -> None:
        """Forget an entry.

        :param entry: its name, which holds its incarnation.
        """
        self.entries.pop(entry, None)
        self.heard_at.pop(entry, None)
        self.left.discard(entry)

    def response(self, now: float) -> AddressResponse:
        """Return addresses: random by free load, each failure domain before one comes twice.

        :param now: seconds.
        :return: the answer; without addresses if no entry is ready.
        """
        by_domain: defaultdict[str, list[EntryState]] = defaultdict(list)
        usable = self.usable(now)
        local = [state for state in usable if state.region == self.region]
        for entry in local or usable:
            by_domain[entry.failure_domain].append(entry)
        chosen: list[EntryState] = []
        while by_domain and len(chosen) < ADDRESSES:
            chosen += self.one_of_each(by_domain)
        addresses = tuple(
            EntryAddress(state.address, weight(state)) for state in chosen[:ADDRESSES]
        )
        jitter = LIFETIME_JITTER * (2 * self.random.random() - 1)
        return AddressResponse(addresses, LIFETIME_S * (1 + jitter))

    def usable(self, now: float) -> list[EntryState]:
        """Return the entries that may be named.

        :param now: seconds.
        :return: their states, by name.
        """
        return [
            self.entries[entry]
            for entry in sorted(self.entries)
            if self.entries[entry].ready
            and entry not in self.left
            and now - self.heard_at[entry] <= SILENT_AFTER_S
        ]

    def one_of_each(self, by_domain: dict[str, list[EntryState]]) -> list[EntryState]:
        """Take a random entry of each failure domain out, in random order.

        :param by_domain: entries by failure domain; empty ones are removed.
        :return: the entries taken.
        """
        domains = sorted(by_domain)
        self.random.shuffle(domains)
        return [self.take(by_domain, domain) for domain in domains]

    def take(self, by_domain: dict[str, list[EntryState]], domain: str) -> EntryState:
        """Take a random entry of a failure domain out.

        :param by_domain: entries by failure domain; an empty one is removed.
        :param domain: the failure domain.
        :return: the entry taken.
        """
        states = by_domain[domain]
        taken = self.random.choices(states, [weight(state) for state in states])[0]
        states.remove(taken)
        if not states:
            by_domain.pop(domain)
        return taken


def weight(state: EntryState) -> float:
    """Return the weight of an entry: its free share.

    :param state: the entry.
    :return: LEAST_WEIGHT to 1.
    """
    return max(LEAST_WEIGHT, min(1, 1 - state.load))


__all__ = (
    'AddressResponse',
    'EntryRegistry',
    'EntryAddress',
    'EntryState',
)
