"""Live requests and chunks on one link, paced by the project's own bucket."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.bench.links import Link, VirtualTime
from cassiahitch.weights.bucket import LinkBucket, LinkLimits

if TYPE_CHECKING:
    import random

#: 13 Mbit/s.
LINK_BYTES_PER_S = 1_625_000
#: Mean size of a live message, whose sizes are spread exponentially.
LIVE_BYTES = 4_096
LIVE_LOAD = 0.3
#: One-way latency to a client, there and back.
ROUND_TRIP_S = 0.002
RUN_S = 400
QUANTILE = 0.95


@dataclass(frozen=True, slots=True)
class LiveResult:
    """The latency of live messages in seconds and the share of the link that chunks got."""

    latency_s: float
    chunk_share: float


class LiveLink:
    """A link that carries live messages at once and chunks when the bucket lets them."""

    def __init__(self, rng: random.Random, utilisation: float) -> None:
        """Create the link.

        :param rng: draws the live messages.
        :param utilisation: the share of the link that live messages and chunks may use.
        """
        self.rng = rng
        self.time = VirtualTime()
        self.link = Link(LINK_BYTES_PER_S)
        self.limits = LinkLimits(LINK_BYTES_PER_S, utilisation)
        self.bucket = LinkBucket(self.limits)
        self.latencies: list[float] = []

    def send_live(self) -> None:
        """Send a live message and plan the next."""
        size = self.rng.expovariate(1 / LIVE_BYTES)
        self.bucket.record_live(round(size), self.time.now)
        end = self.link.carry(size, self.time.now)
        self.latencies.append(end - self.time.now + ROUND_TRIP_S)
        gap = self.rng.expovariate(LIVE_LOAD * LINK_BYTES_PER_S / LIVE_BYTES)
        self.time.at(self.time.now + gap, self.send_live)

    def send_slice(self) -> None:
        """Send a slice of a chunk when the bucket lets it, then the next."""
        delay = self.bucket.reserve(self.limits.slice_bytes, self.time.now)
        self.time.at(self.time.now + delay, self.carry_slice)

    def carry_slice(self) -> None:
        """Put a slice on the link."""
        self.link.carry(self.limits.slice_bytes, self.time.now)
        self.send_slice()

    def run(self, *, chunks: bool) -> LiveResult:
        """Run for some minutes.

        :param chunks: whether a rollout has chunks to send all the time.
        :return: the 95th percentile and the share of the chunks.
        """
        self.send_live()
        if chunks:
            self.send_slice()
        self.time.run(RUN_S)
        ranked = sorted(self.latencies)
        share = self.bucket.chunk_bytes / (LINK_BYTES_PER_S * RUN_S)
        return LiveResult(ranked[int(QUANTILE * len(ranked))], share)


__all__ = (
    'LiveLink',
    'LiveResult',
)
