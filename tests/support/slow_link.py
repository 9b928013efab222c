"""Simulates a host that fetches a version over a link whose rate changes, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

from repositories import make_repository

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.fetching import VersionFetch
from cassiahitch.direct.staging.layout import ManifestDocument, WeightsLayout
from cassiahitch.direct.staging.peerclient import PeerClient
from cassiahitch.direct.staging.receiving import ReceiveWindow
from cassiahitch.direct.statelog import StateLog
from cassiahitch.metrics.registry import Metrics
from cassiahitch.standins.weightservice import WeightService
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpResponse
from cassiahitch.util.rates import bytes_per_s
from cassiahitch.weights.plan import Participant

CHUNKS = 48
CHUNK_BYTES = 49_152
#: Rates of the link of each host and of the origin, in megabits per second.
HOST_MBIT_S = 4.7
ORIGIN_MBIT_S = 15.0
#: Fraction of its link that a host uses to send chunks, and bytes that it sends at once.
PACING_FRACTION = 0.92
SLICE_BYTES = 8192
NETWORK_DELAY_S = 0.003
MAP_INTERVAL_S = 0.08
SAMPLE_INTERVAL_S = 0.01
TIMEOUT_S = 120

WEIGHTS = WeightsId(1, 'm1')
LOCAL_AGENT = Participant('10.1.0.1', 'west', 'west-1')
SAME_REGION_PEERS = tuple(Participant(f'10.1.0.{host}', 'west', 'west-1') for host in (2, 3, 4))
OTHER_REGION_PEERS = tuple(Participant(f'10.2.0.{host}', 'east', 'east-1') for host in (1, 2, 3))


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Link:
    """A link that transfers bytes one after the other."""

    mbit_s: float
    free_at: float = 0
    queued_bytes: int = 0

    def wait_s(self) -> float:
        """Return for how many seconds a packet that is queued now waits."""
        return max(0, self.free_at - now())

    def push(self, size: int) -> None:
        """Queue bytes."""
        self.free_at = now() + self.wait_s() + size / bytes_per_s(self.mbit_s)
        self.queued_bytes += size

    def set_rate(self, mbit_s: float) -> None:
        """Set the rate from now on."""
        waiting_s = self.wait_s() * self.mbit_s / mbit_s
        self.mbit_s = mbit_s
        self.free_at = now() + waiting_s

    async def wait_until_sent(self) -> None:
        """Wait until all bytes that were queued before this call have been transferred."""
        target = self.queued_bytes
        while True:
            waiting = self.wait_s() * bytes_per_s(self.mbit_s)
            ahead = waiting - (self.queued_bytes - target)
            if ahead < 1:
                return
            await asyncio.sleep(ahead / bytes_per_s(self.mbit_s))

    async def transfer(self, size: int) -> None:
        self.push(size)
        await self.wait_until_sent()


@dataclass
class SimulatedPeers:
    """Simulates the other agents and the origin, which send over the link of one host.

    The bytes of a call that has timed out still use the link.
    """

    weights: WeightService
    link: Link
    uplinks: defaultdict[str, Link] = field(
        default_factory=lambda: defaultdict(lambda: Link(PACING_FRACTION * HOST_MBIT_S))
    )
    origin: Link = field(default_factory=lambda: Link(ORIGIN_MBIT_S))
    background: set[asyncio.Task[int]] = field(default_factory=set)
    chunk_bytes: int = 0

    async def call(self, call: HttpCall) -> HttpResponse:
        """Respond to a call to another agent."""
        parts = urlsplit(call.url)
        _, _, index = parts.path.rpartition('/')
        content = self.weights.chunks[WEIGHTS.version][int(index)]
        await asyncio.sleep(NETWORK_DELAY_S)
        if 'look' in parse_qs(parts.query):
            return HttpResponse(HTTPStatus.NO_CONTENT, b'')
        byte_range = dict(call.headers).get('Range')
        if byte_range is not None:
            first, _, last = byte_range.removeprefix('bytes=').partition('-')
            content = content[int(first) : int(last) + 1]
        sending = self.run_in_background(self.send(self.uplinks[parts.netloc], len(content)))
        try:
            async with asyncio.timeout(call.timeout_s):
                await asyncio.shield(sending)
        except TimeoutError:
            raise HttpCallError('the response makes no progress', sent=True) from None
        return HttpResponse(
            HTTPStatus.OK if byte_range is None else HTTPStatus.PARTIAL_CONTENT, content
        )

    async def manifest(self, _url: str, _model: str, version: int) -> ManifestDocument:
        return ManifestDocument(tuple(self.weights.digests(version)), version=version)

    async def chunk(self, _url: str, _model: str, version: int, index: int) -> bytes:
        content = self.weights.chunks[version][index]
        await asyncio.sleep(NETWORK_DELAY_S)
        await asyncio.shield(self.run_in_background(self.send(self.origin, len(content))))
        return content

    async def send(self, uplink: Link, size: int) -> int:
        """Send bytes in slices, as a paced sender does."""
        for start in range(0, size, SLICE_BYTES):
            part = min(SLICE_BYTES, size - start)
            await uplink.transfer(part)
            self.link.push(part)
        await self.link.wait_until_sent()
        self.chunk_bytes += size
        return size

    def run_in_background(self, sending: Any) -> asyncio.Task[int]:
        task = asyncio.create_task(sending)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task


@dataclass
class SlowHost:
    """Fetches a version; ``longest_wait_s`` is the longest time that a request would have waited.

    Agents of the same region hold the chunks in the bit map ``held``; the others come from another
    region or from the origin.
    """

    held: int = (1 << CHUNKS) - 1
    weights: WeightService = field(default_factory=lambda: WeightService('m1', CHUNK_BYTES))
    link: Link = field(default_factory=lambda: Link(HOST_MBIT_S))
    longest_wait_s: float = 0
    waits: list[float] = field(default_factory=list)
    fetch_duration_s: float = 0
    chunk_bytes: int = 0

    async def fetch(self, *, slow_mbit_s: float, after_s: float, for_s: float = TIMEOUT_S) -> None:
        """Fetch a version; the link is slow for ``for_s`` seconds, beginning after ``after_s``."""
        self.weights.publish(WEIGHTS.version, CHUNKS)
        peers_and_origin: Any = SimulatedPeers(self.weights, self.link)
        fetch = self.create_fetch(peers_and_origin)
        began = now()
        with ExitStack() as stack:
            for task in (
                self.send_maps(fetch),
                self.sample_waits(),
                self.change_rate(slow_mbit_s, after_s),
                self.change_rate(HOST_MBIT_S, after_s + for_s),
            ):
                stack.callback(asyncio.create_task(task).cancel)
            async with asyncio.timeout(TIMEOUT_S):
                await fetch.run((LOCAL_AGENT, *SAME_REGION_PEERS, *OTHER_REGION_PEERS))
        self.fetch_duration_s = now() - began
        self.chunk_bytes = peers_and_origin.chunk_bytes

    def create_fetch(self, peers_and_origin: Any) -> VersionFetch:
        engine: Any = None
        window = ReceiveWindow.of_link(HOST_MBIT_S)
        peers = PeerClient(peers_and_origin, 7700, LOCAL_AGENT.region, window)
        layout = WeightsLayout(WEIGHTS.model, CHUNKS, CHUNK_BYTES)
        repository = make_repository(engine, peers_and_origin, peers, layout)
        repository.origin_mbit_s = ORIGIN_MBIT_S
        repository.staged_weights = WeightsId(WEIGHTS.version - 1, WEIGHTS.model)
        return VersionFetch(
            repository,
            Metrics('agent'),
            StateLog(),
            WEIGHTS,
            LOCAL_AGENT,
            random.Random(1),
            send_map=lambda _name, _near: None,
            is_urgent=lambda _name, _missing: False,
        )

    async def send_maps(self, fetch: VersionFetch) -> None:
        while True:
            for peer in SAME_REGION_PEERS:
                fetch.receive_map(peer.host, self.held, 0)
            await asyncio.sleep(MAP_INTERVAL_S)

    async def sample_waits(self) -> None:
        while True:
            self.waits.append(self.link.wait_s())
            self.longest_wait_s = max(self.waits)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def change_rate(self, mbit_s: float, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.link.set_rate(mbit_s)
