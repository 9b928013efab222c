"""Measures the cost of heartbeats at one node, with the real codec and membership."""

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

#: Heartbeats of each peer in a measurement.
ROUNDS = 10
#: Versions of which a host has all chunks.
COMPLETE_VERSIONS = 2
#: Failure domains over which the hosts are spread.
FAILURE_DOMAINS = 13
REGIONS = 6
#: Bytes before the body of a frame.
HEADER_BYTES = 8
PORT = 7000
SLOTS = 64
HOSTS_PER_SUBNET = 250


@dataclass(frozen=True, slots=True)
class HeartbeatCost:
    """Cost of the heartbeats of all peers per second, and the memory for the peers' states."""

    cpu_s: float
    bytes_in: float
    bytes_out: float
    messages: float
    memory_bytes: int


def measure_heartbeats(
    rng: random.Random,
    peers: int,
    role: Role,
    own_role: Role = Role.entry,
) -> HeartbeatCost:
    """Measure the cost at one node of exchanging heartbeats with its peers.

    :param rng: source of the values that the peers report.
    :param peers: number of peers.
    :param role: role of the peers.
    :param own_role: role of the node.
    :return: the cost at the node.
    """
    node = _Node(rng, peers, role, own_role)
    node.exchange(0)
    started_at = time.process_time()
    for number in range(1, ROUNDS + 1):
        node.exchange(number)
    elapsed_cpu_s = time.process_time() - started_at
    return HeartbeatCost(
        elapsed_cpu_s / ROUNDS / HEARTBEAT_INTERVAL_S,
        sum(len(frame) for frame in node.rounds[0]) / HEARTBEAT_INTERVAL_S,
        node.sent_bytes / (ROUNDS + 1) / HEARTBEAT_INTERVAL_S,
        2 * peers / HEARTBEAT_INTERVAL_S,
        _measure_memory(rng, peers, role, own_role),
    )


class _Node:
    """A node and the heartbeats of its peers, which are encoded in advance."""

    def __init__(self, rng: random.Random, peers: int, role: Role, own_role: Role) -> None:
        self.membership = Membership()
        self.role = role
        self.own_heartbeat = _make_heartbeat(rng, own_role, 0)
        self.hellos = tuple(_make_hello(peer, role) for peer in range(peers))
        self.rounds = tuple(
            tuple(_encode_heartbeat(random.Random(peer), role, number) for peer in range(peers))
            for number in range(ROUNDS + 1)
        )
        self.sent_bytes = 0

    def exchange(self, number: int) -> None:
        """Receive a heartbeat from each peer, reply to it, and check for timeouts."""
        now = number * HEARTBEAT_INTERVAL_S
        for hello, frame in zip(self.hellos, self.rounds[number], strict=True):
            envelope = decode(frame[HEADER_BYTES:])
            heartbeat = envelope.message
            if isinstance(heartbeat, messages.Heartbeat):
                self.membership.receive_heartbeat(
                    member_heartbeat(hello, heartbeat, self.role), now
                )
            reply = Envelope(number, 0, envelope.clock, self.own_heartbeat)
            self.sent_bytes += len(pack(encode(reply)))
        self.membership.check_timeouts(now)


def _make_hello(peer: int, role: Role) -> messages.Hello:
    return messages.Hello(
        role=role.value,
        host=f'{role.value}-{peer}',
        region=f'region-{peer % REGIONS}',
        failure_domain=f'domain-{peer % FAILURE_DOMAINS}',
        address=f'10.0.{peer // HOSTS_PER_SUBNET}.{peer % HOSTS_PER_SUBNET}',
        port=PORT,
    )


def _encode_heartbeat(rng: random.Random, role: Role, number: int) -> bytes:
    heartbeat = _make_heartbeat(rng, role, number)
    return pack(encode(Envelope(rng.getrandbits(24), 0, rng.getrandbits(50), heartbeat)))


def _make_heartbeat(rng: random.Random, role: Role, number: int) -> messages.Heartbeat:
    heartbeat = messages.Heartbeat(
        incarnation=rng.getrandbits(62),
        sequence=number + 1,
        uptime_ms=rng.getrandbits(24) + int(number * HEARTBEAT_INTERVAL_S * MS_PER_S),
        clock_ms=rng.getrandbits(40),
        revision=rng.getrandbits(24),
        ready=True,
        http_port=PORT,
    )
    return _with_weights(rng, heartbeat) if role is Role.agent else heartbeat


def _with_weights(rng: random.Random, heartbeat: messages.Heartbeat) -> messages.Heartbeat:
    digests = tuple(sha256(rng.randbytes(8)).hexdigest() for _ in range(COMPLETE_VERSIONS))
    return replace(
        heartbeat,
        running=rng.randrange(SLOTS),
        queued=rng.randrange(SLOTS),
        capacity=SLOTS,
        deployment='draft',
        loaded_digest=digests[0],
        load_epoch=1 + rng.randrange(SLOTS),
        complete_digests=digests,
    )


def _measure_memory(rng: random.Random, peers: int, role: Role, own_role: Role) -> int:
    node = _Node(rng, peers, role, own_role)
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    node.exchange(0)
    bytes_after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return bytes_after - bytes_before


__all__ = (
    'HeartbeatCost',
    'measure_heartbeats',
)
