"""The first configuration of a fresh node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.members.backoff import Backoff

if TYPE_CHECKING:
    import random

    from cassiahitch.controllers.changes import Snapshot

#: Peers that are asked in a round.
PEERS_PER_ROUND = 3
#: Seconds after which a store that does not answer is taken for down.
STORE_TIMEOUT_S = 1.0
#: Seconds after which a round ends without the peers that have not answered.
ROUND_TIMEOUT_S = 3.0
#: Seconds for which no peer may have answered before the archive alone is trusted.
ARCHIVE_ONLY_AFTER_S = 15.0


@dataclass(frozen=True, slots=True)
class QueryStore:
    """Read a snapshot from the table service and answer with :class:`StoreReply`."""

    round: int


@dataclass(frozen=True, slots=True)
class QueryPeers:
    """Ask several peers for their snapshots and answer with :class:`PeerReply` for each."""

    round: int
    count: int


@dataclass(frozen=True, slots=True)
class QueryArchive:
    """Read the newest snapshot of the object store and answer with :class:`ArchiveReply`."""

    round: int


@dataclass(frozen=True, slots=True)
class ApplySnapshot:
    """Bring a snapshot into force; ``confirmed`` unless only the archive had one."""

    snapshot: Snapshot
    confirmed: bool


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Snapshot of the table service, or nothing if it failed."""

    round: int
    snapshot: Snapshot | None


@dataclass(frozen=True, slots=True)
class PeersQueried:
    """How many peers were asked; fewer than wanted if fewer are connected."""

    round: int
    count: int


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Snapshot of a peer, or nothing if it has none; ``revision_floor`` is the highest revision that
    the peer has heard to be in force anywhere.
    """

    round: int
    peer: str
    snapshot: Snapshot | None
    revision_floor: int


@dataclass(frozen=True, slots=True)
class ArchiveReply:
    """Newest snapshot of the object store, or nothing if there is none."""

    round: int
    snapshot: Snapshot | None


BootstrapAction = QueryStore | QueryPeers | QueryArchive | ApplySnapshot
BootstrapEvent = StoreReply | PeersQueried | PeerReply | ArchiveReply


class Bootstrap:
    """Asks the store and, while it is down, several peers and the archive."""

    def __init__(self, rng: random.Random, now: float) -> None:
        """Create it for a node that starts now.

        :param rng: draws the jitter between rounds.
        :param now: seconds.
        """
        self.backoff = Backoff(rng)
        self.started_at = now
        self.round = 0
        self.round_started_at = now
        self.next_round_at = now
        self.peers_queried = False
        self.expected_replies = PEERS_PER_ROUND
        self.done = False
        self.revision_floor = 0
        self.peers: dict[str, Snapshot | None] = {}
        self.archive: Snapshot | None = None

    def poll(self, now: float) -> tuple[BootstrapAction, ...]:
        """Do what is due.

        :param now: seconds.
        :return: the actions.
        """
        if self.done:
            return ()
        if now >= self.next_round_at:
            return self._begin_round(now)
        if now >= self.round_started_at + ROUND_TIMEOUT_S:
            return self._choose_snapshot(now)
        if now >= self.round_started_at + STORE_TIMEOUT_S:
            return self._query_others()
        return ()

    def raise_floor(self, revision: int) -> None:
        """Note a revision that some node was heard to have in force.

        :param revision: the revision.
        """
        self.revision_floor = max(self.revision_floor, revision)

    def handle(self, event: BootstrapEvent, now: float) -> tuple[BootstrapAction, ...]:
        """Take an answer; one of a former round counts, too, since revisions only rise.

        :param event: the answer.
        :param now: seconds.
        :return: the actions.
        """
        if self.done:
            return ()
        match event:
            case StoreReply(snapshot=None):
                return self._query_others()
            case StoreReply(snapshot=snapshot):
                return self._apply(snapshot, confirmed=True)
            case PeerReply():
                self.raise_floor(event.revision_floor)
                self.peers[event.peer] = event.snapshot
                return self._choose_if_all_replied(now)
            case PeersQueried(count=count):
                self.expected_replies = count
                return ()
            case ArchiveReply(snapshot=snapshot):
                self.archive = snapshot
                return ()

    def _begin_round(self, now: float) -> tuple[BootstrapAction, ...]:
        chosen = self._choose_snapshot(now)
        if chosen:
            return chosen
        self.round += 1
        self.round_started_at = now
        self.next_round_at = now + ROUND_TIMEOUT_S + self.backoff.next_delay_s()
        self.peers_queried = False
        self.peers.clear()
        return (QueryStore(self.round),)

    def _query_others(self) -> tuple[BootstrapAction, ...]:
        if self.peers_queried:
            return ()
        self.peers_queried = True
        return (QueryPeers(self.round, PEERS_PER_ROUND), QueryArchive(self.round))

    def _choose_if_all_replied(self, now: float) -> tuple[BootstrapAction, ...]:
        return self._choose_snapshot(now) if len(self.peers) >= self.expected_replies else ()

    def _choose_snapshot(self, now: float) -> tuple[BootstrapAction, ...]:
        """Take the highest snapshot, unless a higher revision was heard of."""
        peer_snapshots = [snapshot for snapshot in self.peers.values() if snapshot is not None]
        archive_only = not peer_snapshots and now >= self.started_at + ARCHIVE_ONLY_AFTER_S
        candidates = list(peer_snapshots)
        if self.archive is not None and (peer_snapshots or archive_only):
            candidates.append(self.archive)
        if not candidates:
            return ()
        highest = max(candidates, key=_revision)
        if highest.revision < self.revision_floor:
            return ()
        return self._apply(highest, confirmed=bool(peer_snapshots))

    def _apply(self, snapshot: Snapshot | None, *, confirmed: bool) -> tuple[BootstrapAction, ...]:
        if snapshot is None:
            return ()
        self.done = True
        return (ApplySnapshot(snapshot, confirmed),)


def _revision(snapshot: Snapshot) -> int:
    return snapshot.revision


__all__ = (
    'ARCHIVE_ONLY_AFTER_S',
    'PEERS_PER_ROUND',
    'ROUND_TIMEOUT_S',
    'STORE_TIMEOUT_S',
    'ArchiveReply',
    'QueryArchive',
    'QueryPeers',
    'QueryStore',
    'Bootstrap',
    'BootstrapAction',
    'BootstrapEvent',
    'PeerReply',
    'PeersQueried',
    'ApplySnapshot',
    'StoreReply',
)
