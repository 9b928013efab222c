"""Limits of all organisations at one entry, and the division that their shares start from."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.limits.organisations import OrganisationLimit

if TYPE_CHECKING:
    from cassiahitch.limits.organisations import OverLimit, ShareUpdate, Within

#: Seconds for which an entry is not heard before its shares are divided among the others.
GONE_AFTER_S = 10.0
#: Seconds after the start before a first division is made, so that all entries are in it.
SETTLE_S = 1.0
#: Seconds after joining for which an entry admits an equal part, until shares have come to it.
JOIN_S = 2.0
#: Divisions that one holder of the controllers' lease can make.
DIVISIONS_PER_TERM = 1_048_576


@dataclass(frozen=True, slots=True)
class Division:
    """Entries that share all limits equally at first; the holder of the lease numbers it."""

    epoch: int = 0
    entries: tuple[str, ...] = ()


@dataclass(slots=True)
class LimitRegistry:
    """The limits of all organisations that sent requests to an entry or its peers.

    Entries are named with their incarnation: one that starts again is another owner of shares,
    as it does not know any more what it gave away before.

    Before any division is known, an entry takes an equal part among those that it hears.
    """

    entry: str
    division: Division = Division()
    limits: dict[str, OrganisationLimit] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    settles_at: float | None = None
    joined_at: float | None = None
    left: set[str] = field(default_factory=set)

    def admit(self, organisation: str, limit_per_s: float, now: float) -> Within | OverLimit:
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
        :return: its limit, under the division that is known.
        """
        known = self.limits.get(organisation)
        if known is None:
            entries = self.division.entries or tuple(sorted({self.entry, *self.heard_at}))
            epoch = self.division.epoch
            known = OrganisationLimit(self.entry, organisation, 0, entries, epoch)
            self._let_join(known)
            self.limits[organisation] = known
        return known

    def share_updates(self, now: float) -> tuple[ShareUpdate, ...]:
        """Return the news of all shares, for all entries.

        :param now: seconds.
        :return: the messages to send.
        """
        return tuple(limit.update(now) for limit in self.limits.values())

    def release_shares(self, now: float) -> tuple[ShareUpdate, ...]:
        """Give all shares to the other entries, because this one leaves.

        :param now: seconds.
        :return: the messages to send.
        """
        return tuple(limit.release_share(now) for limit in self.limits.values())

    def receive(
        self, entry: str, division: Division, news: tuple[ShareUpdate, ...], now: float
    ) -> None:
        """Take the news of another entry in.

        :param entry: the entry.
        :param division: the latest division that it knows.
        :param news: its shares.
        :param now: seconds.
        """
        self.heard_at[entry] = now
        if division.epoch > self.division.epoch:
            # A fresh entry has not heard all of them yet, and may not count them as gone.
            self.heard_at = dict.fromkeys(division.entries, now) | self.heard_at
        self.apply_division(division, now)
        for share in news:
            if share.leaving:
                self.left.add(entry)
            self.limit(share.organisation).receive(share, now)

    def apply_division(self, division: Division, now: float) -> None:
        """Adopt a division if it is later than the known one.

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
            self._let_join(limit)

    def update_connected(self, entries: frozenset[str], now: float) -> None:
        """Take in which other entries are connected.

        :param entries: their names.
        :param now: seconds.
        """
        self.heard_at.update(dict.fromkeys(entries, now))
        self.heard_at = {
            entry: heard_at
            for entry, heard_at in self.heard_at.items()
            if now - heard_at <= GONE_AFTER_S
        }
        self.left &= self.heard_at.keys()
        if self.settles_at is None:
            self.settles_at = now + SETTLE_S

    def update_division(self, fencing_number: int, now: float) -> None:
        """Divide anew if there is no division yet, an entry joined or one is gone for long.

        :param fencing_number: that of the lease that this entry holds.
        :param now: seconds.
        """
        heard = {
            entry for entry, heard_at in self.heard_at.items() if now - heard_at <= GONE_AFTER_S
        }
        live = heard - self.left | {self.entry}
        if self.division.epoch and live == set(self.division.entries) - self.left:
            return
        if self.settles_at is None or now < self.settles_at:
            return
        epoch = max(fencing_number * DIVISIONS_PER_TERM, self.division.epoch) + 1
        self.apply_division(Division(epoch, tuple(sorted(live))), now)

    def _let_join(self, limit: OrganisationLimit) -> None:
        if self.entry not in limit.entries and self.joined_at is not None:
            limit.joining_until = self.joined_at + JOIN_S


__all__ = (
    'Division',
    'LimitRegistry',
)
