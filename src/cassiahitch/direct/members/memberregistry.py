"""Entries of the own region as they were told of, and addresses at which there may be one."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.util.endpoints import MAX_PORT, is_number

if TYPE_CHECKING:
    from cassiahitch.wire.beats import MemberState

#: Seconds for which an address that never answered is greeted.
ADDRESS_EXPIRY_S = 30.0
#: Seconds after which an entry that is silent is forgotten.
SILENT_EXPIRY_S = 30.0


@dataclass(frozen=True, slots=True)
class CandidateAddress:
    """An address at which there may be an entry; its region is empty if it is not known."""

    region: str
    since: float


@dataclass(slots=True)
class MemberRegistry:
    """States of the entries of a region; the latest state of each wins, in any order of arrival."""

    own: MemberState
    peers: dict[str, MemberState] = field(default_factory=dict)
    changed_at: dict[str, float] = field(default_factory=dict)
    addresses: dict[str, CandidateAddress] = field(default_factory=dict)

    def update_own(self, *, ready: bool, leaving: bool) -> bool:
        """Change the own state.

        :param ready: whether callers may be sent here.
        :param leaving: whether this entry is about to end.
        :return: whether anything is different.
        """
        changed = replace(self.own, ready=ready, leaving=leaving)
        if changed == self.own:
            return False
        self.own = replace(changed, sequence=self.own.sequence + 1)
        return True

    def apply(self, state: MemberState, now: float) -> bool:
        """Take the state of an entry in.

        :param state: what somebody says of it.
        :param now: seconds.
        :return: whether it is news.
        """
        if state.name == self.own.name:
            return self.refute(state)
        if state.region != self.own.region:
            return False
        known = self.peers.get(state.name)
        if known is not None and _order(state) <= _order(known):
            return False
        if not _is_reachable(state):
            return False
        self.peers[state.name] = state
        self.changed_at[state.name] = now
        return True

    def refute(self, state: MemberState) -> bool:
        """Answer what others say of this entry with a later state.

        :param state: what they say.
        :return: whether the own state changed.
        """
        if _order(state) <= _order(self.own):
            return False
        later = max(self.own.sequence, state.sequence) + 1
        incarnation = max(self.own.incarnation, state.incarnation)
        self.own = replace(self.own, incarnation=incarnation, sequence=later)
        return True

    def mark_silent(self, name: str, now: float) -> bool:
        """Note that an entry does not answer.

        :param name: the entry.
        :param now: seconds.
        :return: whether that is news.
        """
        known = self.peers.get(name)
        if known is None or known.silent:
            return False
        self.peers[name] = replace(known, silent=True)
        self.changed_at[name] = now
        return True

    def add_addresses(self, addresses: dict[str, str], now: float) -> None:
        """Take in addresses at which there may be an entry.

        :param addresses: the region of each IP number, empty if it is not known.
        :param now: seconds.
        """
        for address, region in addresses.items():
            if is_number(address):
                self.addresses[address] = CandidateAddress(region, now)

    def live_members(self) -> tuple[MemberState, ...]:
        """Return the other entries of the region that are not silent.

        :return: their states.
        """
        return tuple(state for state in self.peers.values() if not state.silent)

    def usable_members(self) -> tuple[MemberState, ...]:
        """Return the entries of the region that callers may use.

        :return: the ready ones that do not leave, the own one among them.
        """
        states = (self.own, *self.live_members())
        return tuple(state for state in states if state.ready and not state.leaving)

    def unconfirmed_addresses(self) -> tuple[str, ...]:
        """Return addresses at which there may be an entry of this region that is not known to live.

        :return: IP numbers.
        """
        answered = {state.address for state in (self.own, *self.live_members())}
        return tuple(
            address
            for address, candidate in self.addresses.items()
            if candidate.region in {'', self.own.region} and address not in answered
        )

    def addresses_of(self, region: str) -> tuple[str, ...]:
        """Return addresses at which there may be an entry of another region.

        :param region: the region.
        :return: IP numbers.
        """
        return tuple(
            address for address, candidate in self.addresses.items() if candidate.region == region
        )

    def expire(self, now: float) -> None:
        """Forget entries that have been silent for long, and addresses that nobody names.

        :param now: seconds.
        """
        for name, state in tuple(self.peers.items()):
            if state.silent and now - self.changed_at[name] > SILENT_EXPIRY_S:
                self.peers.pop(name)
                self.changed_at.pop(name)
        for address, candidate in tuple(self.addresses.items()):
            if now - candidate.since > ADDRESS_EXPIRY_S:
                self.addresses.pop(address)


def _is_reachable(state: MemberState) -> bool:
    return is_number(state.address) and 0 < state.http_port <= MAX_PORT


def _order(state: MemberState) -> tuple[int, int, bool]:
    # Who lives says so under a higher number than those who called it silent.
    return (state.incarnation, state.sequence, state.silent)


__all__ = (
    'CandidateAddress',
    'MemberRegistry',
)
