"""Callers: they ask the directory, keep connections, and retry as the wire page says."""

from __future__ import annotations

import asyncio
import json
import random
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from itertools import count
from urllib.parse import urlencode

from cassiahitch.platform import names
from cassiahitch.soak.exchange import HOST, CallerBehaviour, CallerExchange, Connection, connect
from cassiahitch.soak.records import Attempt, Record, RequestKind
from cassiahitch.soak.responses import WorkSpec, short_digest
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient
from cassiahitch.util.endpoints import Endpoint, parse_endpoint

#: Attempts at a request at most.
ATTEMPTS = 3
#: Seconds for which a directory may take.
DIRECTORY_S = 1.0
#: Seconds between two looks at directories of which none answers.
AGAIN_S = 0.2
#: Largest body of a request, in bytes, and largest prompt, in tokens.
MAX_BODY = 400_000
MAX_PROMPT = 8000
#: Median and spread of the sizes of bodies and prompts, which are log-normal.
MEDIAN_BODY = 2000
MEDIAN_PROMPT = 300
SPREAD = 1.0
#: Statuses after which a request that may run only once is sent again.
PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
#: Statuses after which nothing is sent again.
FINAL = frozenset((400, 401, 404, 413, 431))


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request that a caller makes; ``body_bytes`` and ``prompt`` are its sizes."""

    kind: RequestKind
    work: WorkSpec
    body_bytes: int = 0
    prompt: int = 0
    caller_timeout_s: float = 6


@dataclass(slots=True)
class LoadContext:
    """What all callers share."""

    record: Record
    directories: tuple[Endpoint, ...]
    http: HttpClient
    keys: list[str]
    entries: dict[str, str]
    ids: count[int] = field(default_factory=count)
    requests: count[int] = field(default_factory=count)
    is_running: bool = True

    async def addresses(self, rng: random.Random, region: str) -> tuple[list[Endpoint], float]:
        """Ask up to three directories for entries.

        :param rng: source of random choices.
        :param region: region of the caller.
        :return: entries and the lifetime of the answer in seconds; none if no directory answers.
        """
        query = urlencode({'name': HOST, 'region': region, 'zone': f'{region}-1'})
        tries = rng.sample(self.directories, k=min(ATTEMPTS, len(self.directories)))
        for directory in tries:
            url = f'http://{directory}{names.ADDRESSES_PATH}?{query}'
            try:
                reply = await self.http.call(HttpCall('GET', url, None, DIRECTORY_S, False, ()))
            except HttpCallError:
                continue
            if reply.status == HTTPStatus.OK:
                answer = json.loads(reply.body)
                found = [parse_endpoint(text) for text in answer['addresses']]
                return found, float(answer['ttlS'])
        return [], 0


@dataclass(slots=True)
class Caller:
    """Makes one request after the other."""

    load: LoadContext
    rng: random.Random
    manner: CallerBehaviour
    kinds: tuple[RequestKind, ...]
    region: str = 'north'
    pause_s: float = 0.1
    entries: list[Endpoint] = field(default_factory=list)
    failed: set[Endpoint] = field(default_factory=set)
    until: float = 0
    kept: Connection | None = None

    async def work(self) -> None:
        """Ask until told to stop."""
        while self.load.is_running:
            await self.make(self.draw())
            await asyncio.sleep(self.rng.expovariate(1 / self.pause_s))
        self.drop()

    def draw(self) -> RequestSpec:
        """Draw a request.

        :return: the request.
        """
        kind = self.rng.choice(self.kinds)
        rng = self.rng
        slow = self.manner.reads_slowly
        match kind:
            case RequestKind.lookup:
                size = 800_000 if slow else int(rng.lognormvariate(6, 1))
                return RequestSpec(
                    kind, WorkSpec(1, rng.uniform(0, 0.1), size), caller_timeout_s=10
                )
            case RequestKind.order:
                body = min(MAX_BODY, int(MEDIAN_BODY * rng.lognormvariate(0, SPREAD)))
                return RequestSpec(
                    kind, WorkSpec(1, rng.uniform(0, 0.2), 200), body, caller_timeout_s=10
                )
        prompt = min(MAX_PROMPT, int(MEDIAN_PROMPT * rng.lognormvariate(0, SPREAD)))
        size = 20_000 if slow else 60
        parts = rng.choice((4, 10, 15 if slow else 32))
        return RequestSpec(kind, WorkSpec(parts, 0.1, size), 20, prompt, caller_timeout_s=10)

    async def make(self, wish: RequestSpec) -> None:
        """Make a request, with its retries.

        :param wish: the request.
        """
        clock = asyncio.get_running_loop().time
        request = next(self.load.requests)
        deadline = clock() + wish.caller_timeout_s
        for _ in range(ATTEMPTS):
            connection = await self.connection(deadline)
            if connection is None:
                return
            attempt, wait_s = await self.attempt(request, wish, connection, deadline)
            again = attempt.kind is not RequestKind.order or attempt.status in PROMISES
            ended = attempt.served or attempt.left or attempt.status in FINAL
            if ended or not again or not self.load.is_running:
                return
            await asyncio.sleep(min(wait_s, max(0, deadline - clock()) / 3))

    async def attempt(
        self, request: int, wish: RequestSpec, connection: Connection, deadline: float
    ) -> tuple[Attempt, float]:
        """Send a request once.

        :param request: its number.
        :param wish: the request.
        :param connection: where to.
        :param deadline: when the caller gives up.
        :return: what came of it, and seconds to wait before it is sent again.
        """
        number = f's{next(self.load.ids)}'
        body = self.rng.randbytes(wish.body_bytes)
        attempt = Attempt(
            id=number,
            request=request,
            kind=wish.kind,
            entry=self.load.entries[connection.endpoint.address],
            key=self.rng.choice(self.load.keys),
            target=f'/{wish.kind}/{number}?{wish.work.query()}',
            digest=short_digest(body),
            size=wish.prompt or wish.body_bytes,
            began=asyncio.get_running_loop().time(),
            deadline=deadline,
        )
        self.load.record.attempts[number] = attempt
        exchange = CallerExchange(connection, attempt, self.manner)
        with ExitStack() as stack:
            stack.callback(connection.close)
            await exchange.run(body)
            closes = exchange.headers.get('connection', '').lower() == 'close'
            if self.manner.keeps_connections and exchange.reusable and not closes:
                self.kept = connection
                stack.pop_all()
        if not attempt.whole and not attempt.left:
            self.failed.add(connection.endpoint)
        return attempt, float(exchange.headers.get('retry-after', 0))

    async def connection(self, deadline: float) -> Connection | None:
        """Return the connection that is kept, or a new one.

        :param deadline: when to give up.
        :return: the connection, if there is any in time.
        """
        clock = asyncio.get_running_loop().time
        while clock() < deadline and self.load.is_running:
            kept = self.kept
            self.kept = None
            if kept is not None and not kept.reader.at_eof():
                return kept
            endpoint = await self.entry()
            if endpoint is not None:
                try:
                    return await connect(endpoint, self.manner)
                except OSError:
                    self.failed.add(endpoint)
            await asyncio.sleep(AGAIN_S)
        return None

    async def entry(self) -> Endpoint | None:
        """Choose an entry of those that the directory named.

        :return: the entry, if any is known.
        """
        now = asyncio.get_running_loop().time()
        if now >= self.until or not self.entries:
            entries, lifetime_s = await self.load.addresses(self.rng, self.region)
            if entries:
                self.entries = entries
                self.failed.clear()
                self.until = now + lifetime_s * self.manner.address_lifetimes
        usable = [one for one in self.entries if one not in self.failed] or self.entries
        return self.rng.choice(usable) if usable else None

    def drop(self) -> None:
        """Close the connection that is kept."""
        if self.kept is not None:
            self.kept.close()


__all__ = (
    'Caller',
    'LoadContext',
    'RequestSpec',
)
