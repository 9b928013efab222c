"""Choice of the first configuration of a node that starts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.members.backoff import Backoff

if TYPE_CHECKING:
    import random

    from cassiahitch.controllers.changes import Snapshot

#: Peers that are queried in each round.
PEERS_PER_ROUND = 3
#: Seconds without a reply after which the store counts as unavailable.
STORE_TIMEOUT_S = 1.0
#: Seconds after which a round ends, also if some peers have not replied.
ROUND_TIMEOUT_S = 3.0
#: Seconds from the start after which the archive is used if no peer has a snapshot.
ARCHIVE_ONLY_AFTER_S = 15.0


@dataclass(frozen=True, slots=True)
class QueryStore:
    """Read a snapshot from the table service and report it as :class:`StoreReply`."""

    round: int


@dataclass(frozen=True, slots=True)
class QueryPeers:
    """Query up to ``count`` peers for snapshots; report each reply as :class:`PeerReply`."""

    round: int
    count: int


@dataclass(frozen=True, slots=True)
class QueryArchive:
    """Read the newest archived snapshot and report it as :class:`ArchiveReply`."""

    round: int


@dataclass(frozen=True, slots=True)
class ApplySnapshot:
    """Apply a snapshot; ``confirmed`` is false if only the archive had one."""

    snapshot: Snapshot
    confirmed: bool


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Snapshot of the table service, or ``None`` if it could not be read."""

    round: int
    snapshot: Snapshot | None


@dataclass(frozen=True, slots=True)
class PeersQueried:
    """Number of peers that were queried; lower than requested if fewer are connected."""

    round: int
    count: int


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Snapshot of a peer, or ``None`` if the peer has no configuration.

    ``revision_floor`` is the highest revision that the peer has seen in force on any node.
    """

    round: int
    peer: str
    snapshot: Snapshot | None
    revision_floor: int


@dataclass(frozen=True, slots=True)
class ArchiveReply:
    """Newest archived snapshot, or ``None`` if there is none."""

    round: int
    snapshot: Snapshot | None


BootstrapAction = QueryStore | QueryPeers | QueryArchive | ApplySnapshot
BootstrapEvent = StoreReply | PeersQueried | PeerReply | ArchiveReply


class Bootstrap:
    """State machine that finds the configuration with which a node starts.

    It queries the table service first and, while that is unavailable, several peers and the
    archive, in rounds with a jittered backoff. A snapshot is not used if its revision is
    below one that is known to be in force on some node.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        """Create the state machine for a node that starts now.

        :param rng: source of the jitter between rounds.
        :param now: monotonic time in seconds.
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
        self.snapshots_by_peer: dict[str, Snapshot | None] = {}
        self.archived_snapshot: Snapshot | None = None

    def poll(self, now: float) -> tuple[BootstrapAction, ...]:
        """Start a round, query the fallbacks or choose a snapshot, whichever is due.

        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        if self.done:
            return ()
        if now >= self.next_round_at:
            return self._start_round(now)
        if now >= self.round_started_at + ROUND_TIMEOUT_S:
            return self._choose_snapshot(now)
        if now >= self.round_started_at + STORE_TIMEOUT_S:
            return self._query_fallbacks()
        return ()

    def raise_floor(self, revision: int) -> None:
        """Record that a revision is in force on some node, so that lower ones are not used.

        :param revision: the revision.
        """
        self.revision_floor = max(self.revision_floor, revision)

    def handle(self, event: BootstrapEvent, now: float) -> tuple[BootstrapAction, ...]:
        """Apply a reply. Replies of earlier rounds count too, since revisions only rise.

        :param event: the reply.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        if self.done:
            return ()
        match event:
            case StoreReply(snapshot=None):
                return self._query_fallbacks()
            case StoreReply(snapshot=snapshot):
                return self._apply(snapshot, confirmed=True)
            case PeerReply():
                self.raise_floor(event.revision_floor)
                self.snapshots_by_peer[event.peer] = event.snapshot
                return self._choose_if_all_replied(now)
            case PeersQueried(count=count):
                self.expected_replies = count
                return ()
            case ArchiveReply(snapshot=snapshot):
                self.archived_snapshot = snapshot
                return ()

    def _start_round(self, now: float) -> tuple[BootstrapAction, ...]:
        chosen = self._choose_snapshot(now)
        if chosen:
            return chosen
        self.round += 1
        self.round_started_at = now
        self.next_round_at = now + ROUND_TIMEOUT_S + self.backoff.next_delay_s()
        self.peers_queried = False
        self.snapshots_by_peer.clear()
        return (QueryStore(self.round),)

    def _query_fallbacks(self) -> tuple[BootstrapAction, ...]:
        if self.peers_queried:
            return ()
        self.peers_queried = True
        return (QueryPeers(self.round, PEERS_PER_ROUND), QueryArchive(self.round))

    def _choose_if_all_replied(self, now: float) -> tuple[BootstrapAction, ...]:
        return (
            self._choose_snapshot(now)
            if len(self.snapshots_by_peer) >= self.expected_replies
            else ()
        )

    def _choose_snapshot(self, now: float) -> tuple[BootstrapAction, ...]:
        """Apply the snapshot of the highest revision, unless a higher one is in force."""
        peer_snapshots = [
            snapshot for snapshot in self.snapshots_by_peer.values() if snapshot is not None
        ]
        archive_only = not peer_snapshots and now >= self.started_at + ARCHIVE_ONLY_AFTER_S
        candidates = list(peer_snapshots)
        if self.archived_snapshot is not None and (peer_snapshots or archive_only):
            candidates.append(self.archived_snapshot)
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
