"""Limits of all organisations at one entry, and the division that sets the initial shares."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.limits.organisations import OrganisationLimit

if TYPE_CHECKING:
    from cassiahitch.limits.organisations import OverLimit, ShareUpdate, WithinLimit

#: Seconds without contact after which the shares of an entry are divided among the others.
OWNER_TIMEOUT_S = 10.0
#: Seconds from the start to the first division, so that it includes all entries.
FIRST_DIVISION_DELAY_S = 1.0
#: Seconds for which a joining entry admits an equal part, until it has received shares.
JOIN_PERIOD_S = 2.0
#: Divisions that one holder of the controllers' lease can number.
DIVISIONS_PER_TERM = 1_048_576


@dataclass(frozen=True, slots=True)
class Division:
    """Entries among which all limits are divided equally at first.

    The holder of the controllers' lease creates it and numbers it by ``epoch``.
    """

    epoch: int = 0
    entries: tuple[str, ...] = ()


@dataclass(slots=True)
class LimitRegistry:
    """The limits of all organisations that sent requests to an entry or its peers.

    Names of entries include the incarnation: a restarted entry is a new owner of shares, because it
    has lost the record of its transfers.

    Before the first division, an entry uses an equal part among the entries in contact with it.
    """

    entry: str
    division: Division = Division()
    limits: dict[str, OrganisationLimit] = field(default_factory=dict)
    last_seen_at: dict[str, float] = field(default_factory=dict)
    first_division_at: float | None = None
    joined_at: float | None = None
    stopping_entries: set[str] = field(default_factory=set)

    def admit(self, organisation: str, limit_per_s: float, now: float) -> WithinLimit | OverLimit:
        """Decide whether a request is within the limit of its organisation.

        :param organisation: the organisation.
        :param limit_per_s: its requests per second over all entries.
        :param now: seconds.
        :return: the decision.
        """
        limit = self.limit(organisation)
        limit.limit_per_s = limit_per_s
        return limit.admit(now)

    def limit(self, organisation: str) -> OrganisationLimit:
        """Return the limit of an organisation.

        :param organisation: the organisation.
        :return: its limit, under the current division.
        """
        limit = self.limits.get(organisation)
        if limit is None:
            entries = self.division.entries or tuple(sorted({self.entry, *self.last_seen_at}))
            epoch = self.division.epoch
            limit = OrganisationLimit(self.entry, organisation, 0, entries, epoch)
            self._set_joining(limit)
            self.limits[organisation] = limit
        return limit

    def share_updates(self, now: float) -> tuple[ShareUpdate, ...]:
        """Update all shares and return their state.

        :param now: seconds.
        :return: updates for all entries.
        """
        return tuple(limit.update(now) for limit in self.limits.values())

    def release_shares(self, now: float) -> tuple[ShareUpdate, ...]:
        """Transfer all shares to the other entries, because this one is stopping.

        :param now: seconds.
        :return: updates for all entries.
        """
        return tuple(limit.release_share(now) for limit in self.limits.values())

    def receive(
        self, entry: str, division: Division, updates: tuple[ShareUpdate, ...], now: float
    ) -> None:
        """Apply the updates of another entry.

        :param entry: the entry.
        :param division: its current division.
        :param updates: state of its shares.
        :param now: seconds.
        """
        self.last_seen_at[entry] = now
        if division.epoch > self.division.epoch:
            # An entry that has just started is not in contact with all owners yet; they must not
            # count as timed out.
            self.last_seen_at = dict.fromkeys(division.entries, now) | self.last_seen_at
        self.apply_division(division, now)
        for update in updates:
            if update.leaving:
                self.stopping_entries.add(entry)
            self.limit(update.organisation).receive(update, now)

    def apply_division(self, division: Division, now: float) -> None:
        """Adopt a division if it is newer than the current one.

        :param division: the division.
        :param now: seconds.
        """
        if division.epoch <= self.division.epoch:
            return
        self.division = division
        if self.joined_at is None:
            self.joined_at = now
        for limit in self.limits.values():
            limit.apply_division(division.entries, division.epoch, now)
            self._set_joining(limit)

    def update_connected(self, entries: frozenset[str], now: float) -> None:
        """Record which other entries are connected.

        :param entries: their names.
        :param now: seconds.
        """
        self.last_seen_at.update(dict.fromkeys(entries, now))
        self.last_seen_at = {
            entry: last_seen_at
            for entry, last_seen_at in self.last_seen_at.items()
            if now - last_seen_at <= OWNER_TIMEOUT_S
        }
        self.stopping_entries &= self.last_seen_at.keys()
        if self.first_division_at is None:
            self.first_division_at = now + FIRST_DIVISION_DELAY_S

    def update_division(self, fencing_number: int, now: float) -> None:
        """Create a division if there is none, an entry joined or an owner timed out.

        :param fencing_number: fencing number of the controllers' lease, which this entry holds.
        :param now: seconds.
        """
        recently_seen = {
            entry
            for entry, last_seen_at in self.last_seen_at.items()
            if now - last_seen_at <= OWNER_TIMEOUT_S
        }
        live = recently_seen - self.stopping_entries | {self.entry}
        if self.division.epoch and live == set(self.division.entries) - self.stopping_entries:
            return
        if self.first_division_at is None or now < self.first_division_at:
            return
        epoch = max(fencing_number * DIVISIONS_PER_TERM, self.division.epoch) + 1
        self.apply_division(Division(epoch, tuple(sorted(live))), now)

    def _set_joining(self, limit: OrganisationLimit) -> None:
        if self.entry not in limit.entries and self.joined_at is not None:
            limit.joining_until = self.joined_at + JOIN_PERIOD_S


__all__ = (
    'Division',
    'LimitRegistry',
)
