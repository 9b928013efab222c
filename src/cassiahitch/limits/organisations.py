"""Organisation limits that hold over all entries together.

Each entry owns a share of an organisation's limit. A share only moves by a transfer that its
owner records in its own row, as in a bounded counter of replicated data types: rows are
merged by their largest values, so that lost, doubled or reordered messages never raise the sum.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

#: Shares are whole numbers of these parts of a limit, so that no rounding adds to their sum.
WHOLE = 1_000_000_000
#: Demand is told in thousandths of a request per second.
MILLI = 1_000
#: Seconds after a new division in which an entry uses the smaller of both shares, unless it
#: hears before that all others have adopted the division.
OVERLAP_S = 2.0
#: Seconds of an unused share that can be spent at once.
BURST_S = 1.0
#: Seconds without news after which a peer gets no share; it keeps what it has.
HEARD_S = 3.0
#: Part of an equal share that every entry keeps for sudden demand.
KEPT_SHARE = 0.2
#: Seconds over which demand is averaged.
DEMAND_S = 2.0
#: Part of what is above the own target that is given away by one update.
GIVEN_PART = 0.5


@dataclass(frozen=True, slots=True)
class ShareUpdate:
    """What an entry has given to others so far, and what it asks for; sent to all entries."""

    entry: str
    organisation: str
    epoch: int
    given: tuple[tuple[str, int], ...]
    share: int
    demand: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Within:
    """The request is within the limit."""


@dataclass(frozen=True, slots=True)
class OverLimit:
    """The request is refused with code ``organisation_limit`` and ``ran: no``."""

    retry_after_s: float


@dataclass(slots=True)
class Peer:
    """What is known of another entry."""

    share: int
    demand: int
    heard_at: float
    leaving: bool = False


@dataclass(slots=True)
class Bucket:
    """Token bucket of one entry for one organisation."""

    tokens: float = 0
    filled_at: float | None = None
    least_depth: float = 1

    def fill(self, rate: float, now: float) -> None:
        """Add the tokens of the time since the last call; the first call fills the bucket.

        :param rate: tokens per second.
        :param now: seconds.
        """
        depth = max(self.least_depth, rate * BURST_S)
        added = depth if self.filled_at is None else rate * (now - self.filled_at)
        self.tokens = min(depth, self.tokens + added)
        self.filled_at = now


@dataclass(slots=True)
class Demand:
    """Requests per second asked for, averaged."""

    per_s: float = 0
    count: int = 0
    since: float = 0

    def update(self, now: float) -> None:
        """Take the requests since the last update in.

        :param now: seconds.
        """
        elapsed_s = now - self.since
        if elapsed_s <= 0:
            return
        gain = min(1, elapsed_s / DEMAND_S)
        self.per_s += gain * (self.count / elapsed_s - self.per_s)
        self.count = 0
        self.since = now


@dataclass(slots=True)
class OrganisationLimit:
    """The part that one entry has in the limit of one organisation.

    ``entries`` are those among which the limit was first divided, the same everywhere in one
    ``epoch``; an entry that is not among them starts without a share and is given one.
    """

    entry: str
    organisation: str
    limit_per_s: float
    entries: tuple[str, ...]
    epoch: int = 0
    former_share: int = WHOLE
    former_until: float = 0
    joining_until: float = 0
    given: dict[str, dict[str, int]] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)
    bucket: Bucket = field(default_factory=Bucket)
    demand: Demand = field(default_factory=Demand)
    leaving: bool = False

    @property
    def share(self) -> int:
        """Own share in parts of the limit."""
        received = sum(row.get(self.entry, 0) for row in self.given.values())
        return self.first_share(self.entry) + received - sum(self.row().values())

    def first_share(self, entry: str) -> int:
        """Return the share that an entry starts with.

        :param entry: the entry.
        :return: parts of the limit.
        """
        if entry not in self.entries:
            return 0
        return WHOLE // len(self.entries)

    def rate(self, now: float) -> float:
        """Return how many requests this entry may admit.

        :param now: seconds.
        :return: requests per second.
        """
        share = self.share
        if now < self.former_until and not self.everyone_divided():
            share = min(share, self.former_share)
        if now < self.joining_until:
            share = max(share, WHOLE // (len(self.entries) + 1))
        return self.limit_per_s * share / WHOLE

    def everyone_divided(self) -> bool:
        """Return whether all owners of shares have told news of the division in force."""
        return all(entry in self.peers for entry in self.entries if entry != self.entry)

    def fill(self, now: float) -> None:
        """Fill the bucket up to now; it starts full once the limit is known.

        :param now: seconds.
        """
        if self.limit_per_s:
            self.bucket.fill(self.rate(now), now)

    def apply_division(self, entries: tuple[str, ...], epoch: int, now: float) -> None:
        """Start again with equal shares, because an entry that owned some is gone.

        :param entries: the entries that get one.
        :param epoch: number of the division; an old one is ignored.
        :param now: seconds.
        """
        if epoch <= self.epoch:
            return
        self.fill(now)
        if self.epoch:
            self.former_share = self.share
            self.former_until = now + OVERLAP_S
        self.entries = entries
        self.epoch = epoch
        self.given.clear()
        self.peers.clear()

    def row(self) -> dict[str, int]:
        """Return what this entry has given to others.

        :return: sums by entry.
        """
        return self.given.setdefault(self.entry, {})

    def admit(self, now: float) -> Within | OverLimit:
        """Decide whether a request is within the limit.

        :param now: seconds.
        :return: the decision.
        """
        self.demand.count += 1
        rate = self.rate(now)
        self.fill(now)
        if self.bucket.tokens >= 1:
            self.bucket.tokens -= 1
            return Within()
        missing = 1 - self.bucket.tokens
        return OverLimit(min(BURST_S, missing / max(rate, 1 / MILLI)))

    def update(self, now: float) -> ShareUpdate:
        """Give away what is above the own target, and return the news for all entries.

        :param now: seconds.
        :return: the message to send.
        """
        self.demand.update(now)
        self.fill(now)
        self.give(now)
        row = tuple(sorted(self.row().items()))
        demand = int(self.demand.per_s * MILLI)
        news = ShareUpdate(self.entry, self.organisation, self.epoch, row, self.share, demand)
        return replace(news, leaving=self.leaving)

    def release_share(self, now: float) -> ShareUpdate:
        """Give the whole share to the peers, because their callers are about to come to them.

        The tokens saved so far serve the requests that still arrive here. Demand is counted
        anew, so that a share comes back only for requests that go on arriving.

        :param now: seconds.
        :return: the message to send.
        """
        self.fill(now)
        self.leaving = True
        self.bucket.least_depth = max(1, self.bucket.tokens)
        heard = self.heard_peers(now)
        self.hand(self.share, share_targets(heard), heard)
        self.demand = Demand(since=now)
        return self.update(now)

    def receive(self, news: ShareUpdate, now: float) -> None:
        """Take the news of another entry in; in any order, any number of times.

        :param news: its message.
        :param now: seconds.
        """
        if news.epoch != self.epoch or news.entry == self.entry:
            return
        self.fill(now)
        row = self.given.setdefault(news.entry, {})
        for receiver, amount in news.given:
            row[receiver] = max(amount, row.get(receiver, 0))
        self.peers[news.entry] = Peer(news.share, news.demand, now, news.leaving)

    def heard_peers(self, now: float) -> dict[str, Peer]:
        """Return the peers that told their news lately.

        :param now: seconds.
        :return: the peers by name.
        """
        return {entry: peer for entry, peer in self.peers.items() if now - peer.heard_at <= HEARD_S}

    def give(self, now: float) -> None:
        """Give a part of what is above the own target to peers below theirs.

        :param now: seconds.
        """
        heard = self.heard_peers(now)
        own = Peer(self.share, int(self.demand.per_s * MILLI), now, self.leaving)
        targets = share_targets({self.entry: own, **heard})
        surplus = int(GIVEN_PART * (own.share - targets[self.entry]))
        missing = {
            entry: max(0, targets[entry] - peer.share) for entry, peer in sorted(heard.items())
        }
        self.hand(min(surplus, sum(missing.values())), missing, heard)

    def hand(self, amount: int, parts: dict[str, int], heard: dict[str, Peer]) -> None:
        """Record that a part of the own share goes to peers.

        :param amount: parts of the limit.
        :param parts: what each peer gets, in proportion.
        :param heard: the peers.
        """
        total = sum(parts.values())
        if amount <= 0 or not total:
            return
        row = self.row()
        for entry, part in parts.items():
            row[entry] = row.get(entry, 0) + amount * part // total
            heard[entry].share += amount * part // total


def share_targets(peers: dict[str, Peer]) -> dict[str, int]:
    """Return the shares that entries should have: a part equally, the rest by demand.

    An entry that leaves has no part in what is divided equally.

    :param peers: the entries.
    :return: parts of the limit by entry; their sum is that of the shares.
    """
    whole = sum(peer.share for peer in peers.values())
    demand = sum(peer.demand for peer in peers.values())
    staying = max(1, sum(not peer.leaving for peer in peers.values()))
    equal = whole * KEPT_SHARE if demand else whole
    by_demand = (whole - equal) / max(1, demand)
    return {
        entry: int(by_demand * peer.demand + equal / staying * (not peer.leaving))
        for entry, peer in peers.items()
    }


__all__ = (
    'OrganisationLimit',
    'OverLimit',
    'ShareUpdate',
    'Within',
)
