"""A host that fetches a version over a link whose rate changes, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

from cassiahitch.direct.staging.chunks import WeightsId
from cassiahitch.direct.staging.fetching import VersionFetch
from cassiahitch.direct.staging.peerclient import PeerClient
from cassiahitch.direct.staging.receiving import ReceiveWindow
from cassiahitch.direct.staging.repository import ChunkRepository
from cassiahitch.direct.telemetry import StateLog
from cassiahitch.metrics.registry import Metrics
from cassiahitch.standins.weightservice import WeightService
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpResponse
from cassiahitch.util.rates import bytes_per_s
from cassiahitch.weights.plan import Participant

CHUNKS = 48
CHUNK_BYTES = 49_152
#: Rates of the link of each host and of that of the origin, in megabits a second.
HOST_MBIT_S = 4.7
ORIGIN_MBIT_S = 15.0
#: Part of its link that a host sends chunks at, and bytes that it sends at once.
PACED = 0.92
SLICE_BYTES = 8192
CROSSING_S = 0.003
TELL_S = 0.08
SAMPLE_S = 0.01
LIMIT_S = 120

WEIGHTS = WeightsId(1, 'm1')
MEMBER = Participant('10.1.0.1', 'west', 'west-1')
NEAR = tuple(Participant(f'10.1.0.{host}', 'west', 'west-1') for host in (2, 3, 4))
FAR = tuple(Participant(f'10.2.0.{host}', 'east', 'east-1') for host in (1, 2, 3))


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Link:
    """Carries bytes one after the other."""

    mbit_s: float
    free_at: float = 0
    pushed: int = 0

    def wait_s(self) -> float:
        """Return how long a packet waits that is handed over now."""
        return max(0, self.free_at - now())

    def push(self, size: int) -> None:
        """Hand bytes over."""
        self.free_at = now() + self.wait_s() + size / bytes_per_s(self.mbit_s)
        self.pushed += size

    def change(self, mbit_s: float) -> None:
        """Carry another rate from now on."""
        waiting_s = self.wait_s() * self.mbit_s / mbit_s
        self.mbit_s = mbit_s
        self.free_at = now() + waiting_s

    async def passed(self) -> None:
        """Wait until all bytes have passed that were handed over so far."""
        target = self.pushed
        while True:
            waiting = self.wait_s() * bytes_per_s(self.mbit_s)
            ahead = waiting - (self.pushed - target)
            if ahead < 1:
                return
            await asyncio.sleep(ahead / bytes_per_s(self.mbit_s))

    async def carry(self, size: int) -> None:
        self.push(size)
        await self.passed()


@dataclass
class Senders:
    """Stands for the network: other agents and the origin, before the link of one host.

    A call that is given up takes nothing off the link.
    """

    weights: WeightService
    link: Link
    uplinks: defaultdict[str, Link] = field(
        default_factory=lambda: defaultdict(lambda: Link(PACED * HOST_MBIT_S))
    )
    origin: Link = field(default_factory=lambda: Link(ORIGIN_MBIT_S))
    background: set[asyncio.Task[int]] = field(default_factory=set)
    chunk_bytes: int = 0

    async def call(self, call: HttpCall) -> HttpResponse:
        """Answer a call to another agent."""
        parts = urlsplit(call.url)
        _, _, index = parts.path.rpartition('/')
        content = self.weights.chunks[WEIGHTS.version][int(index)]
        await asyncio.sleep(CROSSING_S)
        if 'look' in parse_qs(parts.query):
            return HttpResponse(HTTPStatus.NO_CONTENT, b'')
        asked = dict(call.headers).get('Range')
        if asked is not None:
            first, _, last = asked.removeprefix('bytes=').partition('-')
            content = content[int(first) : int(last) + 1]
        sending = self.keep(self.send(self.uplinks[parts.netloc], len(content)))
        try:
            async with asyncio.timeout(call.timeout_s):
                await asyncio.shield(sending)
        except TimeoutError:
            raise HttpCallError('the answer makes no progress', sent=True) from None
        return HttpResponse(HTTPStatus.OK if asked is None else HTTPStatus.PARTIAL_CONTENT, content)

    async def manifest(self, _url: str, _model: str, version: int) -> tuple[int, tuple[str, ...]]:
        return version, tuple(self.weights.digests(version))

    async def chunk(self, _url: str, _model: str, version: int, index: int) -> bytes:
        content = self.weights.chunks[version][index]
        await asyncio.sleep(CROSSING_S)
        await asyncio.shield(self.keep(self.send(self.origin, len(content))))
        return content

    async def send(self, uplink: Link, size: int) -> int:
        """Pass bytes on in slices, as a paced sender does."""
        for start in range(0, size, SLICE_BYTES):
            part = min(SLICE_BYTES, size - start)
            await uplink.carry(part)
            self.link.push(part)
        await self.link.passed()
        self.chunk_bytes += size
        return size

    def keep(self, sending: Any) -> asyncio.Task[int]:
        task = asyncio.create_task(sending)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task


@dataclass
class SlowHost:
    """Fetches a version; ``longest_wait_s`` is the longest that a request would have waited.

    Agents of the own region hold the chunks in ``held``, all others come from another region or
    from the origin.
    """

    held: int = (1 << CHUNKS) - 1
    weights: WeightService = field(default_factory=lambda: WeightService('m1', CHUNK_BYTES))
    link: Link = field(default_factory=lambda: Link(HOST_MBIT_S))
    longest_wait_s: float = 0
    waits: list[float] = field(default_factory=list)
    fetch_duration_s: float = 0
    chunk_bytes: int = 0

    async def fetch(self, *, slow_mbit_s: float, after_s: float, for_s: float = LIMIT_S) -> None:
        """Fetch while the link carries a lower rate from a moment on, for a time."""
        self.weights.publish(WEIGHTS.version, CHUNKS)
        senders: Any = Senders(self.weights, self.link)
        fetch = self.make(senders)
        began = now()
        with ExitStack() as stack:
            for task in (
                self.tell(fetch),
                self.watch(),
                self.change(slow_mbit_s, after_s),
                self.change(HOST_MBIT_S, after_s + for_s),
            ):
                stack.callback(asyncio.create_task(task).cancel)
            async with asyncio.timeout(LIMIT_S):
                await fetch.run((MEMBER, *NEAR, *FAR))
        self.fetch_duration_s = now() - began
        self.chunk_bytes = senders.chunk_bytes

    def make(self, senders: Any) -> VersionFetch:
        engine: Any = None
        window = ReceiveWindow.of_link(HOST_MBIT_S)
        peers = PeerClient(senders, 7700, MEMBER.region, window)
        repository = ChunkRepository(
            engine, senders, peers, chunk_bytes=CHUNK_BYTES, chunk_count=CHUNKS
        )
        repository.origin_mbit_s = ORIGIN_MBIT_S
        repository.staged_weights = WeightsId(WEIGHTS.version - 1, WEIGHTS.model)
        return VersionFetch(
            repository,
            Metrics('agent'),
            StateLog(),
            WEIGHTS,
            MEMBER,
            random.Random(1),
            send_map=lambda _name, _near: None,
            is_urgent=lambda _name, _missing: False,
        )

    async def tell(self, fetch: VersionFetch) -> None:
        while True:
            for one in NEAR:
                fetch.receive_map(one.host, self.held, 0)
            await asyncio.sleep(TELL_S)

    async def watch(self) -> None:
        while True:
            self.waits.append(self.link.wait_s())
            self.longest_wait_s = max(self.waits)
            await asyncio.sleep(SAMPLE_S)

    async def change(self, mbit_s: float, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.link.change(mbit_s)
