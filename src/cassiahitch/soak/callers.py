"""Callers that query directories for entries, reuse connections and retry failed attempts."""

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
from cassiahitch.soak.exchange import (
    ROUTE_HOST,
    CallerBehaviour,
    CallerExchange,
    Connection,
    connect,
)
from cassiahitch.soak.prompts import PromptChoice, draw_prompt
from cassiahitch.soak.records import Attempt, Record, RequestKind
from cassiahitch.soak.responses import WorkSpec, short_digest
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient
from cassiahitch.util.endpoints import Endpoint, parse_endpoint

#: Most attempts at a request, and most directories that a lookup queries.
MAX_ATTEMPTS = 3
#: Seconds in which a directory must respond.
DIRECTORY_TIMEOUT_S = 1.0
#: Seconds before a caller that has no connection tries again.
CONNECT_RETRY_S = 0.2
#: Largest request body, in bytes, and largest prompt, in tokens.
MAX_BODY_BYTES = 400_000
MAX_PROMPT_TOKENS = 8000
#: Median and sigma of the log-normal sizes of bodies and prompts.
MEDIAN_BODY_BYTES = 2000
MEDIAN_PROMPT_TOKENS = 300
SIZE_SIGMA = 1.0
#: Statuses after which a request that may run only once is retried, since it has not run.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
#: Statuses after which no request is retried.
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request to send; ``prompt`` is the length of its prompt in tokens."""

    kind: RequestKind
    work: WorkSpec
    body_bytes: int = 0
    prompt: int = 0
    caller_timeout_s: float = 6


@dataclass(slots=True)
class LoadContext:
    """State that all callers share; ``entries`` maps addresses to names of processes."""

    record: Record
    directories: tuple[Endpoint, ...]
    http: HttpClient
    keys: list[str]
    entries: dict[str, str]
    ids: count[int] = field(default_factory=count)
    requests: count[int] = field(default_factory=count)
    is_running: bool = True

    async def query_directories(
        self, rng: random.Random, region: str
    ) -> tuple[list[Endpoint], float]:
        """Query up to three directories for entries.

        :param rng: random generator of the caller.
        :param region: region of the caller.
        :return: addresses of entries and their lifetime in seconds; none if no directory responds.
        """
        query = urlencode({'name': ROUTE_HOST, 'region': region, 'zone': f'{region}-1'})
        directories = rng.sample(self.directories, k=min(MAX_ATTEMPTS, len(self.directories)))
        for directory in directories:
            url = f'http://{directory}{names.ADDRESSES_PATH}?{query}'
            try:
                response = await self.http.call(
                    HttpCall('GET', url, None, DIRECTORY_TIMEOUT_S, False, ())
                )
            except HttpCallError:
                continue
            if response.status == HTTPStatus.OK:
                document = json.loads(response.body)
                entries = [parse_endpoint(address) for address in document['addresses']]
                return entries, float(document['ttlS'])
        return [], 0


@dataclass(slots=True)
class Caller:
    """Sends one request after the other, with retries."""

    load: LoadContext
    rng: random.Random
    behaviour: CallerBehaviour
    kinds: tuple[RequestKind, ...]
    region: str = 'north'
    pause_s: float = 0.1
    prompts: PromptChoice = PromptChoice.drawn
    entries: list[Endpoint] = field(default_factory=list)
    failed_entries: set[Endpoint] = field(default_factory=set)
    addresses_expire_at: float = 0
    kept_connection: Connection | None = None

    async def work(self) -> None:
        """Send requests until the load is stopped."""
        while self.load.is_running:
            await self.send_request(self.draw_request())
            await asyncio.sleep(self.rng.expovariate(1 / self.pause_s))
        self.close_kept_connection()

    def draw_request(self) -> RequestSpec:
        """Draw a random request of one of the kinds that the caller sends.

        :return: the request.
        """
        kind = self.rng.choice(self.kinds)
        rng = self.rng
        reads_slowly = self.behaviour.reads_slowly
        match kind:
            case RequestKind.lookup:
                size = 800_000 if reads_slowly else int(rng.lognormvariate(6, 1))
                return RequestSpec(
                    kind, WorkSpec(1, rng.uniform(0, 0.1), size), caller_timeout_s=10
                )
            case RequestKind.order:
                body_bytes = min(
                    MAX_BODY_BYTES, int(MEDIAN_BODY_BYTES * rng.lognormvariate(0, SIZE_SIGMA))
                )
                return RequestSpec(
                    kind, WorkSpec(1, rng.uniform(0, 0.2), 200), body_bytes, caller_timeout_s=10
                )
        prompt = min(
            MAX_PROMPT_TOKENS, int(MEDIAN_PROMPT_TOKENS * rng.lognormvariate(0, SIZE_SIGMA))
        )
        size = 20_000 if reads_slowly else 60
        parts = rng.choice((4, 10, 15 if reads_slowly else 32))
        return RequestSpec(kind, WorkSpec(parts, 0.1, size), 20, prompt, caller_timeout_s=10)

    async def send_request(self, spec: RequestSpec) -> None:
        """Send a request, and retry it where that is allowed.

        :param spec: the request.
        """
        clock = asyncio.get_running_loop().time
        request = next(self.load.requests)
        deadline = clock() + spec.caller_timeout_s
        for _ in range(MAX_ATTEMPTS):
            connection = await self.get_connection(deadline)
            if connection is None:
                return
            attempt, wait_s = await self.send_attempt(request, spec, connection, deadline)
            may_retry = attempt.kind is not RequestKind.order or attempt.status in NOT_RUN_STATUSES
            ended = attempt.served or attempt.left or attempt.status in FINAL_STATUSES
            if ended or not may_retry or not self.load.is_running:
                return
            await asyncio.sleep(min(wait_s, max(0, deadline - clock()) / 3))

    async def send_attempt(
        self, request: int, spec: RequestSpec, connection: Connection, deadline: float
    ) -> tuple[Attempt, float]:
        """Make one attempt at a request.

        :param request: number of the request.
        :param spec: the request.
        :param connection: connection to an entry.
        :param deadline: when the caller gives up, in monotonic seconds.
        :return: the attempt, and seconds to wait before a retry.
        """
        attempt_id = f's{next(self.load.ids)}'
        body = self.rng.randbytes(spec.body_bytes)
        prompt = draw_prompt(attempt_id, self.prompts).encode(spec.prompt)
        attempt = Attempt(
            id=attempt_id,
            request=request,
            kind=spec.kind,
            entry=self.load.entries[connection.endpoint.address],
            key=self.draw_key(),
            target=f'/{spec.kind}/{attempt_id}?{spec.work.query()}',
            digest=short_digest(body),
            size=spec.prompt or spec.body_bytes,
            began=asyncio.get_running_loop().time(),
            deadline=deadline,
            prompt=prompt if spec.prompt else '',
        )
        self.load.record.attempts[attempt_id] = attempt
        exchange = CallerExchange(connection, attempt, self.behaviour)
        with ExitStack() as stack:
            stack.callback(connection.close)
            await exchange.run(body)
            closes_connection = exchange.headers.get('connection', '').lower() == 'close'
            if self.behaviour.keeps_connections and exchange.reusable and not closes_connection:
                self.kept_connection = connection
                stack.pop_all()
        if not attempt.whole and not attempt.left:
            self.failed_entries.add(connection.endpoint)
        return attempt, float(exchange.headers.get('retry-after', 0))

    def draw_key(self) -> str:
        """Draw an API key.

        :return: the first key if the prompts of the caller are not drawn, else any one.
        """
        is_drawn = self.prompts is PromptChoice.drawn
        return self.rng.choice(self.load.keys) if is_drawn else self.load.keys[0]

    async def get_connection(self, deadline: float) -> Connection | None:
        """Return the connection that was kept, or open a new one.

        :param deadline: when to give up, in monotonic seconds.
        :return: the connection, or ``None`` if none could be opened in time.
        """
        clock = asyncio.get_running_loop().time
        while clock() < deadline and self.load.is_running:
            connection = self.kept_connection
            self.kept_connection = None
            if connection is not None and not connection.reader.at_eof():
                return connection
            endpoint = await self.choose_entry()
            if endpoint is not None:
                try:
                    return await connect(endpoint, self.behaviour)
                except OSError:
                    self.failed_entries.add(endpoint)
            await asyncio.sleep(CONNECT_RETRY_S)
        return None

    async def choose_entry(self) -> Endpoint | None:
        """Choose an entry at random, preferring those that have not failed.

        :return: address of the entry, or ``None`` if no directory has returned any.
        """
        now = asyncio.get_running_loop().time()
        if now >= self.addresses_expire_at or not self.entries:
            entries, lifetime_s = await self.load.query_directories(self.rng, self.region)
            if entries:
                self.entries = entries
                self.failed_entries.clear()
                self.addresses_expire_at = now + lifetime_s * self.behaviour.address_lifetimes
        usable = [
            entry for entry in self.entries if entry not in self.failed_entries
        ] or self.entries
        return self.rng.choice(usable) if usable else None

    def close_kept_connection(self) -> None:
        """Close the connection that was kept for reuse, if there is one."""
        if self.kept_connection is not None:
            self.kept_connection.close()


__all__ = (
    'Caller',
    'LoadContext',
    'RequestSpec',
)
