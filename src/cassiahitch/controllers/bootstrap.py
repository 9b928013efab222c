"""The first configuration of a fresh node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.members.backoff import Backoff

if TYPE_CHECKING:
    import random

    from cassiahitch.controllers.changes import Snapshot

#: Peers that are asked in a round.
PEERS = 3
#: Seconds after which a store that does not answer is taken for down.
STORE_WAIT_S = 1.0
#: Seconds after which a round ends without the peers that have not answered.
ROUND_S = 3.0
#: Seconds for which no peer may have answered before the archive alone is trusted.
ALONE_S = 15.0


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
    """Snapshot of a peer, or nothing if it has none; ``floor`` is the highest revision that
    the peer has heard to be in force anywhere.
    """

    round: int
    peer: str
    snapshot: Snapshot | None
    floor: int


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
        self.began = now
        self.round = 0
        self.round_began = now
        self.next_round = now
        self.asked_peers = False
        self.expected = PEERS
        self.done = False
        self.floor = 0
        self.peers: dict[str, Snapshot | None] = {}
        self.archive: Snapshot | None = None

    def poll(self, now: float) -> tuple[BootstrapAction, ...]:
        """Do what is due.

        :param now: seconds.
        :return: the actions.
        """
        if self.done:
            return ()
        if now >= self.next_round:
            return self._begin_round(now)
        if now >= self.round_began + ROUND_S:
            return self._choose(now)
        if now >= self.round_began + STORE_WAIT_S:
            return self._ask_others()
        return ()

    def raise_floor(self, revision: int) -> None:
        """Note a revision that some node was heard to have in force.

        :param revision: the revision.
        """
        self.floor = max(self.floor, revision)

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
                return self._ask_others()
            case StoreReply(snapshot=snapshot):
                return self._start(snapshot, confirmed=True)
            case PeerReply():
                self.raise_floor(event.floor)
                self.peers[event.peer] = event.snapshot
                return self._choose_if_complete(now)
            case PeersQueried(count=count):
                self.expected = count
                return ()
            case ArchiveReply(snapshot=snapshot):
                self.archive = snapshot
                return ()

    def _begin_round(self, now: float) -> tuple[BootstrapAction, ...]:
        chosen = self._choose(now)
        if chosen:
            return chosen
        self.round += 1
        self.round_began = now
        self.next_round = now + ROUND_S + self.backoff.next_delay_s()
        self.asked_peers = False
        self.peers.clear()
        return (QueryStore(self.round),)

    def _ask_others(self) -> tuple[BootstrapAction, ...]:
        if self.asked_peers:
            return ()
        self.asked_peers = True
        return (QueryPeers(self.round, PEERS), QueryArchive(self.round))

    def _choose_if_complete(self, now: float) -> tuple[BootstrapAction, ...]:
        return self._choose(now) if len(self.peers) >= self.expected else ()

    def _choose(self, now: float) -> tuple[BootstrapAction, ...]:
        """Take the highest snapshot, unless a higher revision was heard of."""
        of_peers = [snapshot for snapshot in self.peers.values() if snapshot is not None]
        alone = not of_peers and now >= self.began + ALONE_S
        found = list(of_peers)
        if self.archive is not None and (of_peers or alone):
            found.append(self.archive)
        if not found:
            return ()
        best = max(found, key=_revision)
        if best.revision < self.floor:
            return ()
        return self._start(best, confirmed=bool(of_peers))

    def _start(self, snapshot: Snapshot | None, *, confirmed: bool) -> tuple[BootstrapAction, ...]:
        if snapshot is None:
            return ()
        self.done = True
        return (ApplySnapshot(snapshot, confirmed),)


def _revision(snapshot: Snapshot) -> int:
    return snapshot.revision


__all__ = (
    'ALONE_S',
    'PEERS',
    'ROUND_S',
    'STORE_WAIT_S',
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
