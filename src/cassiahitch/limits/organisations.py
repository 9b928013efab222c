"""Organisation limits that hold over all entries together.

Each entry owns a share of an organisation's limit. An owner transfers a part of its share by
recording it in its own row of transfers, as in a bounded counter CRDT. Rows are merged by maximum,
so that lost, duplicated or reordered messages never raise the sum of the shares.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

#: Number of parts of a limit; shares are integers of parts, so that rounding never raises the sum.
TOTAL_PARTS = 1_000_000_000
#: Demand is sent in thousandths of a request per second.
MILLI = 1_000
#: Seconds after a new division in which an entry uses the smaller of its previous and new share,
#: unless all other owners have adopted the division before.
OVERLAP_S = 2.0
#: Depth of the token bucket in seconds of the own rate.
BURST_S = 1.0
#: Seconds without an update after which a peer receives no transfers; it keeps its share.
PEER_TIMEOUT_S = 3.0
#: Fraction of the limit that is divided equally, for sudden demand; the rest follows demand.
EQUAL_FRACTION = 0.2
#: Seconds over which demand is averaged.
DEMAND_WINDOW_S = 2.0
#: Fraction of the surplus over the own target that one update transfers.
TRANSFER_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class ShareUpdate:
    """Transfers, share and demand of an entry; sent to all entries.

    ``given`` holds the parts transferred to each entry since the division numbered ``epoch``.
    """

    entry: str
    organisation: str
    epoch: int
    given: tuple[tuple[str, int], ...]
    share: int
    demand: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class WithinLimit:
    """The request is within the limit."""


@dataclass(frozen=True, slots=True)
class OverLimit:
    """The request is refused with code ``organisation_limit`` and ``ran: no``."""

    retry_after_s: float


@dataclass(slots=True)
class PeerState:
    """Last update of another entry."""

    share: int
    demand: int
    updated_at: float
    stopping: bool = False


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of one entry for one organisation."""

    tokens: float = 0
    filled_at: float | None = None
    min_depth: float = 1

    def fill(self, rate: float, now: float) -> None:
        """Add the tokens for the time since the last call; the first call fills the bucket.

        :param rate: tokens per second.
        :param now: seconds.
        """
        depth = max(self.min_depth, rate * BURST_S)
        added = depth if self.filled_at is None else rate * (now - self.filled_at)
        self.tokens = min(depth, self.tokens + added)
        self.filled_at = now


@dataclass(slots=True)
class Demand:
    """Mean rate of requests, including refused ones."""

    per_s: float = 0
    count: int = 0
    since: float = 0

    def update(self, now: float) -> None:
        """Update the mean with the requests since the last update.

        :param now: seconds.
        """
        elapsed_s = now - self.since
        if elapsed_s <= 0:
            return
        gain = min(1, elapsed_s / DEMAND_WINDOW_S)
        self.per_s += gain * (self.count / elapsed_s - self.per_s)
        self.count = 0
        self.since = now


@dataclass(slots=True)
class OrganisationLimit:
    """The share of one entry in the limit of one organisation.

    ``entries`` are the owners among which the limit was divided, the same at all entries with the
    same ``epoch``. An entry that is not among them starts without a share and receives transfers.
    """

    entry: str
    organisation: str
    limit_per_s: float
    entries: tuple[str, ...]
    epoch: int = 0
    previous_share: int = TOTAL_PARTS
    previous_until: float = 0
    joining_until: float = 0
    transfers: dict[str, dict[str, int]] = field(default_factory=dict)
    peers: dict[str, PeerState] = field(default_factory=dict)
    bucket: TokenBucket = field(default_factory=TokenBucket)
    demand: Demand = field(default_factory=Demand)
    stopping: bool = False

    @property
    def share(self) -> int:
        """Own share in parts of the limit."""
        received = sum(row.get(self.entry, 0) for row in self.transfers.values())
        return self.initial_share(self.entry) + received - sum(self.own_row().values())

    def initial_share(self, entry: str) -> int:
        """Return the share of an entry by the division, before any transfer.

        :param entry: the entry.
        :return: parts of the limit.
        """
        if entry not in self.entries:
            return 0
        return TOTAL_PARTS // len(self.entries)

    def rate(self, now: float) -> float:
        """Return the rate of requests that this entry may admit.

        :param now: seconds.
        :return: requests per second.
        """
        share = self.share
        if now < self.previous_until and not self.all_adopted_division():
            share = min(share, self.previous_share)
        if now < self.joining_until:
            share = max(share, TOTAL_PARTS // (len(self.entries) + 1))
        return self.limit_per_s * share / TOTAL_PARTS

    def all_adopted_division(self) -> bool:
        """Return whether all other owners have sent an update for the current division."""
        return all(entry in self.peers for entry in self.entries if entry != self.entry)

    def fill(self, now: float) -> None:
        """Refill the token bucket; it starts full once the limit is configured.

        :param now: seconds.
        """
        if self.limit_per_s:
            self.bucket.fill(self.rate(now), now)

    def apply_division(self, entries: tuple[str, ...], epoch: int, now: float) -> None:
        """Reset all shares to a new division, because the set of entries changed.

        :param entries: the owners of equal shares.
        :param epoch: number of the division; one that is not newer is ignored.
        :param now: seconds.
        """
        if epoch <= self.epoch:
            return
        self.fill(now)
        if self.epoch:
            self.previous_share = self.share
            self.previous_until = now + OVERLAP_S
        self.entries = entries
        self.epoch = epoch
        self.transfers.clear()
        self.peers.clear()

    def own_row(self) -> dict[str, int]:
        """Return the transfers of this entry.

        :return: parts transferred, by receiving entry.
        """
        return self.transfers.setdefault(self.entry, {})

    def admit(self, now: float) -> WithinLimit | OverLimit:
        """Decide whether a request is within the limit.

        :param now: seconds.
        :return: the decision.
        """
        self.demand.count += 1
        rate = self.rate(now)
        self.fill(now)
        if self.bucket.tokens >= 1:
            self.bucket.tokens -= 1
            return WithinLimit()
        missing_tokens = 1 - self.bucket.tokens
        return OverLimit(min(BURST_S, missing_tokens / max(rate, 1 / MILLI)))

    def update(self, now: float) -> ShareUpdate:
        """Transfer the surplus over the own target, and return the state of the share.

        :param now: seconds.
        :return: update for all entries.
        """
        self.demand.update(now)
        self.fill(now)
        self.transfer_surplus(now)
        row = tuple(sorted(self.own_row().items()))
        demand = int(self.demand.per_s * MILLI)
        update = ShareUpdate(self.entry, self.organisation, self.epoch, row, self.share, demand)
        return replace(update, leaving=self.stopping)

    def release_share(self, now: float) -> ShareUpdate:
        """Transfer the entire share to the peers, to which the callers of this entry will move.

        The remaining tokens serve the requests that still arrive here. Demand is reset, so that
        peers transfer a share back only for requests that continue to arrive.

        :param now: seconds.
        :return: update for all entries.
        """
        self.fill(now)
        self.stopping = True
        self.bucket.min_depth = max(1, self.bucket.tokens)
        peers = self.live_peers(now)
        self.transfer(self.share, share_targets(peers), peers)
        self.demand = Demand(since=now)
        return self.update(now)

    def receive(self, update: ShareUpdate, now: float) -> None:
        """Merge an update of another entry, which may be late or duplicated.

        :param update: the update.
        :param now: seconds.
        """
        if update.epoch != self.epoch or update.entry == self.entry:
            return
        self.fill(now)
        row = self.transfers.setdefault(update.entry, {})
        for receiver, amount in update.given:
            row[receiver] = max(amount, row.get(receiver, 0))
        self.peers[update.entry] = PeerState(update.share, update.demand, now, update.leaving)

    def live_peers(self, now: float) -> dict[str, PeerState]:
        """Return the peers that have sent an update within PEER_TIMEOUT_S.

        :param now: seconds.
        :return: the peers by name.
        """
        return {
            entry: peer
            for entry, peer in self.peers.items()
            if now - peer.updated_at <= PEER_TIMEOUT_S
        }

    def transfer_surplus(self, now: float) -> None:
        """Transfer a fraction of the surplus over the own target to peers below theirs.

        :param now: seconds.
        """
        peers = self.live_peers(now)
        own = PeerState(self.share, int(self.demand.per_s * MILLI), now, self.stopping)
        targets = share_targets({self.entry: own, **peers})
        surplus = int(TRANSFER_FRACTION * (own.share - targets[self.entry]))
        shortfalls = {
            entry: max(0, targets[entry] - peer.share) for entry, peer in sorted(peers.items())
        }
        self.transfer(min(surplus, sum(shortfalls.values())), shortfalls, peers)

    def transfer(
        self, amount: int, proportions: dict[str, int], peers: dict[str, PeerState]
    ) -> None:
        """Record a transfer from the own share to peers.

        :param amount: parts of the limit.
        :param proportions: proportion of the amount that each peer receives.
        :param peers: the peers.
        """
        total = sum(proportions.values())
        if amount <= 0 or not total:
            return
        row = self.own_row()
        for entry, proportion in proportions.items():
            row[entry] = row.get(entry, 0) + amount * proportion // total
            peers[entry].share += amount * proportion // total


def share_targets(peers: dict[str, PeerState]) -> dict[str, int]:
    """Return the shares that entries should have: a fraction equally, the rest by demand.

    An entry that is stopping receives nothing of the equal fraction.

    :param peers: the entries.
    :return: parts of the limit by entry; their sum is that of the shares.
    """
    total = sum(peer.share for peer in peers.values())
    demand = sum(peer.demand for peer in peers.values())
    remaining = max(1, sum(not peer.stopping for peer in peers.values()))
    equal = total * EQUAL_FRACTION if demand else total
    by_demand = (total - equal) / max(1, demand)
    return {
        entry: int(by_demand * peer.demand + equal / remaining * (not peer.stopping))
        for entry, peer in peers.items()
    }


__all__ = (
    'OrganisationLimit',
    'OverLimit',
    'ShareUpdate',
    'WithinLimit',
)
