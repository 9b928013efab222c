"""Cost of heartbeats at one node, over the real codec and membership."""

from __future__ import annotations

import random
import time
import tracemalloc
from dataclasses import dataclass, replace
from hashlib import sha256

from cassiahitch.entry.agent_registry import member_heartbeat
from cassiahitch.members.membership import HEARTBEAT_INTERVAL_S, Membership, Role
from cassiahitch.wire import messages
from cassiahitch.wire.codec import Envelope, decode, encode
from cassiahitch.wire.framing import pack
from cassiahitch.wire.node import MS_PER_S

#: Heartbeats that each peer sends in a measurement.
ROUNDS = 10
#: Versions whose chunks are complete on a host.
COMPLETE_VERSIONS = 2
#: Failure domains over which the hosts are spread.
FAILURE_DOMAINS = 13
REGIONS = 6
#: Bytes before the body of a frame.
HEADER_BYTES = 8
PORT = 7000
SLOTS = 64
HOSTS_OF_NETWORK = 250


@dataclass(frozen=True, slots=True)
class HeartbeatCost:
    """Cost of one second of heartbeats with all peers, and the memory that they take."""

    cpu_s: float
    bytes_in: float
    bytes_out: float
    messages: float
    memory_bytes: int


def measure_heartbeats(
    rng: random.Random,
    peers: int,
    role: Role,
    own: Role = Role.entry,
) -> HeartbeatCost:
    """Let one node exchange heartbeats with its peers.

    :param rng: draws what the peers report.
    :param peers: how many there are.
    :param role: what the peers do.
    :param own: what the node does.
    :return: the cost.
    """
    node = _Node(rng, peers, role, own)
    node.exchange(0)
    start = time.process_time()
    for number in range(1, ROUNDS + 1):
        node.exchange(number)
    spent_s = time.process_time() - start
    return HeartbeatCost(
        spent_s / ROUNDS / HEARTBEAT_INTERVAL_S,
        sum(len(frame) for frame in node.rounds[0]) / HEARTBEAT_INTERVAL_S,
        node.sent_bytes / (ROUNDS + 1) / HEARTBEAT_INTERVAL_S,
        2 * peers / HEARTBEAT_INTERVAL_S,
        _memory(rng, peers, role, own),
    )


class _Node:
    """A node with peers whose heartbeats are encoded beforehand."""

    def __init__(self, rng: random.Random, peers: int, role: Role, own: Role) -> None:
        self.membership = Membership()
        self.role = role
        self.own = _beat(rng, own, 0)
        self.hellos = tuple(_hello(peer, role) for peer in range(peers))
        self.rounds = tuple(
            tuple(_frame(random.Random(peer), role, number) for peer in range(peers))
            for number in range(ROUNDS + 1)
        )
        self.sent_bytes = 0

    def exchange(self, number: int) -> None:
        """Hear each peer once, answer each and look for silent ones."""
        now = number * HEARTBEAT_INTERVAL_S
        for hello, frame in zip(self.hellos, self.rounds[number], strict=True):
            envelope = decode(frame[HEADER_BYTES:])
            beat = envelope.message
            if isinstance(beat, messages.Heartbeat):
                self.membership.receive_heartbeat(member_heartbeat(hello, beat, self.role), now)
            reply = Envelope(number, 0, envelope.clock, self.own)
            self.sent_bytes += len(pack(encode(reply)))
        self.membership.check_timeouts(now)


def _hello(peer: int, role: Role) -> messages.Hello:
    return messages.Hello(
        role=role.value,
        host=f'{role.value}-{peer}',
        region=f'region-{peer % REGIONS}',
        failure_domain=f'domain-{peer % FAILURE_DOMAINS}',
        address=f'10.0.{peer // HOSTS_OF_NETWORK}.{peer % HOSTS_OF_NETWORK}',
        port=PORT,
    )


def _frame(rng: random.Random, role: Role, number: int) -> bytes:
    beat = _beat(rng, role, number)
    return pack(encode(Envelope(rng.getrandbits(24), 0, rng.getrandbits(50), beat)))


def _beat(rng: random.Random, role: Role, number: int) -> messages.Heartbeat:
    beat = messages.Heartbeat(
        incarnation=rng.getrandbits(62),
        sequence=number + 1,
        uptime_ms=rng.getrandbits(24) + int(number * HEARTBEAT_INTERVAL_S * MS_PER_S),
        clock_ms=rng.getrandbits(40),
        revision=rng.getrandbits(24),
        ready=True,
        http_port=PORT,
    )
    return _with_weights(rng, beat) if role is Role.agent else beat


def _with_weights(rng: random.Random, beat: messages.Heartbeat) -> messages.Heartbeat:
    digests = tuple(sha256(rng.randbytes(8)).hexdigest() for _ in range(COMPLETE_VERSIONS))
    return replace(
        beat,
        running=rng.randrange(SLOTS),
        queued=rng.randrange(SLOTS),
        capacity=SLOTS,
        deployment='draft',
        loaded_digest=digests[0],
        load_epoch=1 + rng.randrange(SLOTS),
        complete_digests=digests,
    )


def _memory(rng: random.Random, peers: int, role: Role, own: Role) -> int:
    node = _Node(rng, peers, role, own)
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
