"""Registry of the entries of the own region, and of addresses that may belong to one."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.util.endpoints import MAX_PORT, is_ip_address

if TYPE_CHECKING:
    from cassiahitch.wire.datagrammessages import MemberState

#: Seconds after which an address is removed unless it is reported again.
ADDRESS_EXPIRY_S = 30.0
#: Seconds after which a silent entry is removed.
SILENT_EXPIRY_S = 30.0


@dataclass(frozen=True, slots=True)
class CandidateAddress:
    """An address that may belong to an entry.

    ``region`` is empty if it is unknown, ``since`` is when the address was last reported, in
    seconds.
    """

    region: str
    since: float


@dataclass(slots=True)
class MemberRegistry:
    """Latest state of each entry of the own region, whatever the order in which states arrive.

    ``own`` is the state of this entry, ``peers`` those of the others by name, ``changed_at`` the
    times of their last changes in seconds. ``addresses`` holds candidate addresses in all regions.
    """

    own: MemberState
    peers: dict[str, MemberState] = field(default_factory=dict)
    changed_at: dict[str, float] = field(default_factory=dict)
    addresses: dict[str, CandidateAddress] = field(default_factory=dict)

    def update_own(self, *, ready: bool, leaving: bool) -> bool:
        """Update the state of this entry.

        :param ready: whether this entry may be used by callers.
        :param leaving: whether this entry is stopping.
        :return: whether the state changed.
        """
        changed = replace(self.own, ready=ready, leaving=leaving)
        if changed == self.own:
            return False
        self.own = replace(changed, sequence=self.own.sequence + 1)
        return True

    def apply(self, state: MemberState, now: float) -> bool:
        """Store the state of an entry if it is newer than the stored one.

        :param state: the state, as reported by that entry or another one.
        :param now: current time in seconds.
        :return: whether it was newer.
        """
        if state.name == self.own.name:
            return self.refute(state)
        if state.region != self.own.region:
            return False
        stored = self.peers.get(state.name)
        if stored is not None and _precedence(state) <= _precedence(stored):
            return False
        if not _is_reachable(state):
            return False
        self.peers[state.name] = state
        self.changed_at[state.name] = now
        return True

    def refute(self, state: MemberState) -> bool:
        """Supersede a state of this entry that others report, if it is newer than the own one.

        :param state: the reported state.
        :return: whether the own state was changed to a newer one.
        """
        if _precedence(state) <= _precedence(self.own):
            return False
        sequence = max(self.own.sequence, state.sequence) + 1
        incarnation = max(self.own.incarnation, state.incarnation)
        self.own = replace(self.own, incarnation=incarnation, sequence=sequence)
        return True

    def mark_silent(self, name: str, now: float) -> bool:
        """Mark an entry as silent.

        :param name: the entry.
        :param now: current time in seconds.
        :return: whether it was not silent before.
        """
        stored = self.peers.get(name)
        if stored is None or stored.silent:
            return False
        self.peers[name] = replace(stored, silent=True)
        self.changed_at[name] = now
        return True

    def add_addresses(self, addresses: dict[str, str], now: float) -> None:
        """Add addresses that may belong to entries, or renew them.

        :param addresses: region of each IP address, empty if it is unknown.
        :param now: current time in seconds.
        """
        for address, region in addresses.items():
            if is_ip_address(address):
                self.addresses[address] = CandidateAddress(region, now)

    def live_members(self) -> tuple[MemberState, ...]:
        """Return the other entries of the region that are not silent.

        :return: their states.
        """
        return tuple(state for state in self.peers.values() if not state.silent)

    def usable_members(self) -> tuple[MemberState, ...]:
        """Return the entries of the region that callers may use, including this one.

        :return: the states of those that are ready and not stopping.
        """
        states = (self.own, *self.live_members())
        return tuple(state for state in states if state.ready and not state.leaving)

    def unconfirmed_addresses(self) -> tuple[str, ...]:
        """Return addresses that may belong to an entry of this region but to none that is live.

        :return: IP addresses.
        """
        confirmed = {state.address for state in (self.own, *self.live_members())}
        return tuple(
            address
            for address, candidate in self.addresses.items()
            if candidate.region in {'', self.own.region} and address not in confirmed
        )

    def addresses_of(self, region: str) -> tuple[str, ...]:
        """Return addresses that may belong to an entry of another region.

        :param region: the region.
        :return: IP addresses.
        """
        return tuple(
            address for address, candidate in self.addresses.items() if candidate.region == region
        )

    def expire(self, now: float) -> None:
        """Remove entries that have been silent for long, and addresses no longer reported.

        :param now: current time in seconds.
        """
        for name, state in tuple(self.peers.items()):
            if state.silent and now - self.changed_at[name] > SILENT_EXPIRY_S:
                self.peers.pop(name)
                self.changed_at.pop(name)
        for address, candidate in tuple(self.addresses.items()):
            if now - candidate.since > ADDRESS_EXPIRY_S:
                self.addresses.pop(address)


def _is_reachable(state: MemberState) -> bool:
    return is_ip_address(state.address) and 0 < state.http_port <= MAX_PORT


def _precedence(state: MemberState) -> tuple[int, int, bool]:
    # A live entry refutes a report of its silence with a higher sequence.
    return (state.incarnation, state.sequence, state.silent)


__all__ = (
    'CandidateAddress',
    'MemberRegistry',
)
