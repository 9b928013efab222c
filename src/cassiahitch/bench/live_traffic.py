"""Simulates live messages and chunks on one link, with the real token bucket for chunks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.bench.links import Link, VirtualTime
from cassiahitch.weights.bucket import LinkBucket, LinkLimits

if TYPE_CHECKING:
    import random

#: Rate of the link: 13 Mbit/s.
LINK_BYTES_PER_S = 1_625_000
#: Mean size of a live message; sizes are distributed exponentially.
MEAN_LIVE_BYTES = 4_096
LIVE_LOAD = 0.3
#: Round-trip latency to a client, in seconds.
ROUND_TRIP_S = 0.002
DURATION_S = 400
LATENCY_QUANTILE = 0.95


@dataclass(frozen=True, slots=True)
class LiveResult:
    """The latency of live messages in seconds, and the share of the link that chunks used."""

    latency_s: float
    chunk_share: float


class LiveLink:
    """A link that sends live messages at once, and chunks when the bucket permits."""

    def __init__(self, rng: random.Random, utilisation: float) -> None:
        """Create the link.

        :param rng: source of the sizes and intervals of live messages.
        :param utilisation: the share of the link that live messages and chunks may use.
        """
        self.rng = rng
        self.time = VirtualTime()
        self.link = Link(LINK_BYTES_PER_S)
        self.limits = LinkLimits(LINK_BYTES_PER_S, utilisation)
        self.bucket = LinkBucket(self.limits)
        self.latencies: list[float] = []

    def send_live_message(self) -> None:
        """Send a live message and schedule the next one."""
        size = self.rng.expovariate(1 / MEAN_LIVE_BYTES)
        self.bucket.record_live(round(size), self.time.now)
        end = self.link.transmit(size, self.time.now)
        self.latencies.append(end - self.time.now + ROUND_TRIP_S)
        gap = self.rng.expovariate(LIVE_LOAD * LINK_BYTES_PER_S / MEAN_LIVE_BYTES)
        self.time.schedule(self.time.now + gap, self.send_live_message)

    def schedule_slice(self) -> None:
        """Schedule a slice of a chunk for the time that the bucket permits."""
        delay = self.bucket.reserve(self.limits.slice_bytes, self.time.now)
        self.time.schedule(self.time.now + delay, self.send_slice)

    def send_slice(self) -> None:
        """Send a slice of a chunk and schedule the next one."""
        self.link.transmit(self.limits.slice_bytes, self.time.now)
        self.schedule_slice()

    def run(self, *, chunks: bool) -> LiveResult:
        """Run the simulation.

        :param chunks: whether a rollout has chunks to send all the time.
        :return: the 95th percentile of the latency, and the share of the link for chunks.
        """
        self.send_live_message()
        if chunks:
            self.schedule_slice()
        self.time.run(DURATION_S)
        ranked = sorted(self.latencies)
        share = self.bucket.chunk_bytes / (LINK_BYTES_PER_S * DURATION_S)
        return LiveResult(ranked[int(LATENCY_QUANTILE * len(ranked))], share)


__all__ = (
    'LiveLink',
    'LiveResult',
)
