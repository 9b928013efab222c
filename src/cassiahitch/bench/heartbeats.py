"""Cost of heartbeats at one node, over the real codec and membership."""

from __future__ import annotations

import time
import tracemalloc
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

from cassiahitch.members.membership import (
    HEARTBEAT_S,
    Heartbeat,
    Load,
    Membership,
    Place,
    Role,
    Weights,
)
from cassiahitch.wire import messages
from cassiahitch.wire.codec import Envelope, decode, encode
from cassiahitch.wire.framing import pack

if TYPE_CHECKING:
    import random

#: Heartbeats that each peer sends in a measurement.
ROUNDS = 10
#: Versions whose chunks are complete on a host.
COMPLETE_VERSIONS = 2
#: Failure domains over which the hosts are spread.
FAILURE_DOMAINS = 13


@dataclass(frozen=True, slots=True)
class HeartbeatCost:
    """Cost of one second of heartbeats with all peers, and the memory that they take."""

    cpu_s: float
    bytes_in: float
    bytes_out: float
    messages: float
    memory_bytes: int


def measure_heartbeats(rng: random.Random, peers: int, role: Role) -> HeartbeatCost:
    """Let one node exchange heartbeats with its peers.

    :param rng: draws what the peers report.
    :param peers: how many there are.
    :param role: what the peers do.
    :return: the cost.
    """
    node = _Node(rng, peers, role)
    node.exchange(0)
    start = time.process_time()
    for round_number in range(1, ROUNDS + 1):
        node.exchange(round_number)
    spent_s = time.process_time() - start
    return HeartbeatCost(
        spent_s / ROUNDS / HEARTBEAT_S,
        sum(len(frame) for frame in node.frames) / HEARTBEAT_S,
        node.sent_bytes / (ROUNDS + 1) / HEARTBEAT_S,
        2 * peers / HEARTBEAT_S,
        _memory(rng, peers, role),
    )


class _Node:
    """A node with peers whose heartbeats are encoded beforehand."""

    def __init__(self, rng: random.Random, peers: int, role: Role) -> None:
        self.membership = Membership()
        self.role = role
        self.own = messages.Heartbeat(incarnation=rng.getrandbits(63), revision=rng.getrandbits(24))
        self.frames = tuple(pack(encode(_envelope(rng, role))) for _ in range(peers))
        self.places = tuple(_place(peer, role) for peer in range(peers))
        self.sent_bytes = 0

    def exchange(self, round_number: int) -> None:
        """Hear each peer once, answer each and look for silent ones."""
        now = round_number * HEARTBEAT_S
        for peer, frame in enumerate(self.frames):
            envelope = decode(frame[8:])
            self.membership.heard(self._heartbeat(peer, envelope, now), now)
            reply = Envelope(round_number, 0, envelope.clock, self.own)
            self.sent_bytes += len(pack(encode(reply)))
        self.membership.poll(now)

    def _heartbeat(self, peer: int, envelope: Envelope, now: float) -> Heartbeat:
        message = envelope.message
        if not isinstance(message, messages.Heartbeat):
            raise TypeError(f'{type(message).__name__} is not a heartbeat')
        return Heartbeat(
            f'{self.role}-{peer}',
            message.incarnation,
            int(now / HEARTBEAT_S),
            self.places[peer],
            now,
            message.revision,
            message.leaving,
            Load(message.running, message.queued),
            Weights(
                loaded=message.loaded_digest,
                load_epoch=message.load_epoch,
                complete=message.complete_digests,
            ),
        )


def _place(peer: int, role: Role) -> Place:
    return Place(
        role, f'10.0.{peer // 250}.{peer % 250}:7000', 'west', f'w{peer % FAILURE_DOMAINS}'
    )


def _envelope(rng: random.Random, role: Role) -> Envelope:
    beat = messages.Heartbeat(
        incarnation=rng.getrandbits(63),
        revision=rng.getrandbits(24),
        ready=True,
        clock_ms=rng.getrandbits(40),
        http_port=8080,
    )
    if role is Role.agent:
        beat = _with_weights(rng, beat)
    return Envelope(rng.getrandbits(24), 0, rng.getrandbits(50), beat)


def _with_weights(rng: random.Random, beat: messages.Heartbeat) -> messages.Heartbeat:
    digests = tuple(sha256(rng.randbytes(8)).hexdigest() for _ in range(COMPLETE_VERSIONS))
    return messages.Heartbeat(
        incarnation=beat.incarnation,
        revision=beat.revision,
        ready=True,
        clock_ms=beat.clock_ms,
        running=rng.randrange(64),
        queued=rng.randrange(64),
        capacity=64,
        service_name='draft',
        loaded_digest=digests[0],
        load_epoch=rng.randrange(1, 99),
        complete_digests=digests,
        lowest_fencing_number=rng.randrange(999),
        http_port=8080,
        rollout_id=digests[0][:16],
    )


def _memory(rng: random.Random, peers: int, role: Role) -> int:
    node = _Node(rng, peers, role)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    node.exchange(0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before


__all__ = (
    'HeartbeatCost',
    'measure_heartbeats',
)
