"""Benchmark of the direct path under load and faults, over real sockets and a fake platform."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from itertools import count

from cassiahitch.bench.api import BenchReport, Bound, Figure
from cassiahitch.errors import PlatformError
from cassiahitch.metrics.histograms import Histogram
from cassiahitch.platform import names
from cassiahitch.standins.configurations import CALLER_API_KEY, MODEL
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.standins.faults import Fault
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient, HttpResponse

#: Numbers of model engines.
SIZES = (4,)
ENTRIES = 3
PLAIN_BACKENDS = 2
CALLERS = 12
#: Least seconds of load before, during and after a disturbance.
STEADY_S = 1.0
#: Correct responses that are waited for before and after a disturbance.
STEADY_RESPONSES = 20
#: Seconds for which the store is down.
OUTAGE_S = 2.0
#: Seconds after which a caller gives a request up, and between its requests.
CALLER_TIMEOUT_S = 4.0
REQUEST_INTERVAL_S = 0.05
MS_PER_S = 1000
#: Seconds after which a disturbance counts as failed.
DISTURBANCE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
#: Faults of the next requests at each backend server.
BACKEND_FAULTS = (Fault.lose, Fault.cut, Fault.foreign, Fault.extra, Fault.lose, Fault.cut)
REQUEST_PATHS = ('/draft/', '/lookup/', '/order/')


@dataclass(slots=True)
class _CallerLoad:
    """The callers of a site and the results of their requests."""

    site: DirectSite
    client: HttpClient
    rng: random.Random
    statuses: Counter[int] = field(default_factory=Counter)
    error_codes: Counter[int] = field(default_factory=Counter)
    latencies: Histogram = field(default_factory=Histogram)
    wrong: int = 0
    lost: int = 0
    attempt_numbers: count[int] = field(default_factory=count)
    running: bool = True

    async def send_requests(self) -> None:
        """Send requests one after the other until ``running`` is false."""
        loop = asyncio.get_running_loop()
        while self.running:
            attempt = f'b{next(self.attempt_numbers)}'
            path = self.rng.choice(REQUEST_PATHS)
            started_at = loop.time()
            try:
                response = await self.client.call(self.request(path, attempt))
            except HttpCallError:
                self.lost += 1
            else:
                self.record_response(path, attempt, response, loop.time() - started_at)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def request(self, path: str, attempt: str) -> HttpCall:
        """Return a request to a random entry."""
        callers = self.rng.choice(self.site.entries).settings.callers
        headers = [
            ('Host', 'menus.example'),
            (names.ATTEMPT_ID, attempt),
            (names.API_KEY, CALLER_API_KEY),
            (names.DEADLINE_MS, str(int(CALLER_TIMEOUT_S * MS_PER_S))),
        ]
        if path == REQUEST_PATHS[0]:
            headers += [(names.MODEL, MODEL), (names.TOKEN_COUNTS, '100,30')]
        method = 'GET' if path == REQUEST_PATHS[1] else 'POST'
        body = None if method == 'GET' else b'{}'
        return HttpCall(
            method,
            f'http://{callers}{path}{attempt}',
            body,
            CALLER_TIMEOUT_S,
            False,
            tuple(headers),
        )

    def record_response(
        self, path: str, attempt: str, response: HttpResponse, latency_s: float
    ) -> None:
        """Record a response, and whether its body is correct."""
        self.statuses[response.status] += 1
        if response.status != HTTPStatus.OK:
            self.error_codes[_error_code(response)] += 1
            return
        self.latencies.record(latency_s)
        expected = (
            self.expected_stream(attempt) if path == REQUEST_PATHS[0] else f' {attempt}'.encode()
        )
        self.wrong += not response.body.endswith(expected)

    def expected_stream(self, attempt: str) -> bytes:
        """Return the complete event stream that a request should receive."""
        event_ids = range(1, self.site.models[0].events + 1)
        return b''.join(
            f'id: {event_id}\ndata: {attempt} {event_id}\n\n'.encode() for event_id in event_ids
        )

    def correct_responses(self) -> int:
        """Return the number of correct responses."""
        return self.statuses[HTTPStatus.OK] - self.wrong

    async def wait_until_steady(self) -> None:
        """Wait until the site has served correct responses for a while.

        On a busy machine this process may be stalled for seconds, so elapsed time alone does not
        show that there were any requests.
        """
        required = self.correct_responses() + STEADY_RESPONSES
        await asyncio.sleep(STEADY_S)
        while self.correct_responses() < required:
            await asyncio.sleep(POLL_INTERVAL_S)

    def duplicate_runs(self) -> int:
        """Return how many requests that must run at most once ran more often."""
        runs_by_attempt = Counter(
            request.attempt_id
            for backend in self.site.plain
            for request in backend.runs
            if request.target.startswith(REQUEST_PATHS[2])
        )
        return sum(run_count > 1 for run_count in runs_by_attempt.values())


_Disturbance = Callable[[DirectSite], Awaitable[None]]


def run(seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Run each disturbance against a site under load.

    :param seed: seed of the callers.
    :param sizes: numbers of model engines.
    :return: the results of the callers.
    """
    with asyncio.Runner() as runner:
        return run_with_runner(runner, seed, sizes)


def run_with_runner(runner: asyncio.Runner, seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Run each disturbance against a site under load, on a given event loop.

    :param runner: the owner of the event loop, whose clock measures the time.
    :param seed: seed of the callers.
    :param sizes: numbers of model engines.
    :return: the results of the callers.
    """
    sizes = sizes or SIZES
    figures: list[Figure] = []
    for engines in sizes:
        for name, disturb in DISTURBANCES:
            figures.extend(runner.run(_measure_disturbance(seed, engines, name, disturb)))
    return BenchReport('direct', seed, sizes, tuple(figures))


async def _measure_disturbance(
    seed: int, engines: int, name: str, disturb: _Disturbance
) -> tuple[Figure, ...]:
    size = DirectSiteSize(ENTRIES, engines, PLAIN_BACKENDS)
    async with DirectSite(size) as site, HttpClient() as client:
        async with asyncio.timeout(DISTURBANCE_TIMEOUT_S):
            await site.wait_until_ready()
        load = _CallerLoad(site, client, random.Random(seed))
        tasks = [asyncio.create_task(load.send_requests()) for _ in range(CALLERS)]
        async with asyncio.timeout(DISTURBANCE_TIMEOUT_S):
            await load.wait_until_steady()
        async with asyncio.timeout(DISTURBANCE_TIMEOUT_S):
            await disturb(site)
        async with asyncio.timeout(DISTURBANCE_TIMEOUT_S):
            await load.wait_until_steady()
        load.running = False
        await asyncio.gather(*tasks)
        label = f'{name}, {engines} engines'
        return (*_figures(label, load), *_code_figures(label, load))


def _figures(name: str, load: _CallerLoad) -> tuple[Figure, ...]:
    refused = load.statuses[HTTPStatus.SERVICE_UNAVAILABLE]
    failed = load.statuses.total() - load.statuses[HTTPStatus.OK] - refused
    return (
        Figure(f'{name}: right answers', load.correct_responses(), ''),
        Figure(f'{name}: p99', load.latencies.percentile(99), 's'),
        Figure(f'{name}: wrong answers', load.wrong, '', Bound.at_most, 0),
        Figure(f'{name}: doubled', load.duplicate_runs(), '', Bound.at_most, 0),
        Figure(f'{name}: refused, failed or cut', refused + failed + load.lost, ''),
    )


def _code_figures(name: str, load: _CallerLoad) -> tuple[Figure, ...]:
    return tuple(
        Figure(f'{name}: answers with code {code}', times, '')
        for code, times in sorted(load.error_codes.items())
    )


def _error_code(response: HttpResponse) -> int:
    try:
        return int(response.json()['code'])
    except (PlatformError, LookupError):
        # Error responses of the backend servers themselves have no code.
        return 0


async def _no_disturbance(site: DirectSite) -> None:
    await asyncio.sleep(STEADY_S)


async def _inject_backend_faults(site: DirectSite) -> None:
    for backend in (*site.plain, *site.models):
        backend.faults.extend(BACKEND_FAULTS)
    await asyncio.sleep(STEADY_S)


async def _stop_store(site: DirectSite) -> None:
    site.store.faults.down = True
    await asyncio.sleep(OUTAGE_S)
    site.store.faults.down = False


async def _declare_new_weights(site: DirectSite) -> None:
    site.publish_version(2)
    while any(model.engine and model.engine.version != 2 for model in site.models):
        await asyncio.sleep(POLL_INTERVAL_S)


DISTURBANCES: tuple[tuple[str, _Disturbance], ...] = (
    ('quiet', _no_disturbance),
    ('answers lost, cut, doubled and crossed', _inject_backend_faults),
    ('store down', _stop_store),
    ('new weights', _declare_new_weights),
)

__all__ = (
    'run',
    'run_with_runner',
)
