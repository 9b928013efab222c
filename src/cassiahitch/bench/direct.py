"""The direct path under load and faults, over real sockets against stand-ins of the platform."""

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
from cassiahitch.standins.backends import Fault
from cassiahitch.standins.configurations import CALLER_API_KEY, MODEL
from cassiahitch.standins.directsite import DirectSite, DirectSiteSize
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient, HttpResponse

#: Numbers of model engines.
SIZES = (4,)
ENTRIES = 3
PLAIN = 2
CALLERS = 12
#: Seconds of load before, during and after a disturbance.
STEADY_S = 1.0
#: Right answers that are waited for before and after it.
STEADY_ANSWERS = 20
#: Seconds for which the store is down.
OUTAGE_S = 2.0
#: Seconds until a caller gives up, and between its requests.
PATIENCE_S = 4.0
PAUSE_S = 0.05
MS_PER_S = 1000
#: Seconds after which a disturbance counts as failed.
LIMIT_S = 30.0
POLL_S = 0.02
#: What goes wrong with the next requests of each backend server.
FAULTS = (Fault.lose, Fault.cut, Fault.foreign, Fault.extra, Fault.lose, Fault.cut)
PATHS = ('/draft/', '/lookup/', '/order/')


@dataclass(slots=True)
class _Load:
    """Callers of a site and what they got."""

    site: DirectSite
    caller: HttpClient
    rng: random.Random
    statuses: Counter[int] = field(default_factory=Counter)
    codes: Counter[int] = field(default_factory=Counter)
    took: Histogram = field(default_factory=Histogram)
    wrong: int = 0
    lost: int = 0
    ids: count[int] = field(default_factory=count)
    asking: bool = True

    async def ask(self) -> None:
        """Send requests one after the other until told to stop."""
        loop = asyncio.get_running_loop()
        while self.asking:
            attempt = f'b{next(self.ids)}'
            path = self.rng.choice(PATHS)
            began = loop.time()
            try:
                reply = await self.caller.call(self.request(path, attempt))
            except HttpCallError:
                self.lost += 1
            else:
                self.note(path, attempt, reply, loop.time() - began)
            await asyncio.sleep(PAUSE_S)

    def request(self, path: str, attempt: str) -> HttpCall:
        """Return one request to one of the entries."""
        callers = self.rng.choice(self.site.entries).settings.callers
        headers = [
            ('Host', 'menus.example'),
            (names.ATTEMPT_ID, attempt),
            (names.API_KEY, CALLER_API_KEY),
            (names.DEADLINE_MS, str(int(PATIENCE_S * MS_PER_S))),
        ]
        if path == PATHS[0]:
            headers += [(names.MODEL, MODEL), (names.TOKEN_COUNTS, '100,30')]
        method = 'GET' if path == PATHS[1] else 'POST'
        body = None if method == 'GET' else b'{}'
        return HttpCall(
            method, f'http://{callers}{path}{attempt}', body, PATIENCE_S, False, tuple(headers)
        )

    def note(self, path: str, attempt: str, reply: HttpResponse, took_s: float) -> None:
        """Count one answer."""
        self.statuses[reply.status] += 1
        if reply.status != HTTPStatus.OK:
            self.codes[_code(reply)] += 1
            return
        self.took.record(took_s)
        expected = self.events(attempt) if path == PATHS[0] else f' {attempt}'.encode()
        self.wrong += not reply.body.endswith(expected)

    def events(self, attempt: str) -> bytes:
        """Return the whole stream of a request."""
        numbers = range(1, self.site.models[0].events + 1)
        return b''.join(f'id: {one}\ndata: {attempt} {one}\n\n'.encode() for one in numbers)

    def right(self) -> int:
        """Return how many answers were right."""
        return self.statuses[HTTPStatus.OK] - self.wrong

    async def steady(self) -> None:
        """Wait until the site has answered for a while.

        A busy machine may let this process stand still for seconds, so that time alone does not
        tell that there were any requests.
        """
        enough = self.right() + STEADY_ANSWERS
        await asyncio.sleep(STEADY_S)
        while self.right() < enough:
            await asyncio.sleep(POLL_S)

    def doubled(self) -> int:
        """Return how many requests that must run once ran more often."""
        ran = Counter(
            one.attempt_id
            for backend in self.site.plain
            for one in backend.runs
            if one.target.startswith(PATHS[2])
        )
        return sum(times > 1 for times in ran.values())


_Disturb = Callable[[DirectSite], Awaitable[None]]


def run(seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Put a site under load and disturb it.

    :param seed: seed of the callers.
    :param sizes: numbers of model engines.
    :return: what the callers got.
    """
    with asyncio.Runner() as runner:
        return run_on(runner, seed, sizes)


def run_on(runner: asyncio.Runner, seed: int, sizes: tuple[int, ...]) -> BenchReport:
    """Put a site under load and disturb it, on a given event loop.

    :param runner: owns the loop, whose clock counts.
    :param seed: seed of the callers.
    :param sizes: numbers of model engines.
    :return: what the callers got.
    """
    sizes = sizes or SIZES
    figures: list[Figure] = []
    for models in sizes:
        for name, disturb in DISTURBANCES:
            figures.extend(runner.run(_measure(seed, models, name, disturb)))
    return BenchReport('direct', seed, sizes, tuple(figures))


async def _measure(seed: int, models: int, name: str, disturb: _Disturb) -> tuple[Figure, ...]:
    size = DirectSiteSize(ENTRIES, models, PLAIN)
    async with DirectSite(size) as site, HttpClient() as caller:
        async with asyncio.timeout(LIMIT_S):
            await site.wait_until_ready()
        load = _Load(site, caller, random.Random(seed))
        tasks = [asyncio.create_task(load.ask()) for _ in range(CALLERS)]
        async with asyncio.timeout(LIMIT_S):
            await load.steady()
        async with asyncio.timeout(LIMIT_S):
            await disturb(site)
        async with asyncio.timeout(LIMIT_S):
            await load.steady()
        load.asking = False
        await asyncio.gather(*tasks)
        label = f'{name}, {models} engines'
        return (*_figures(label, load), *_code_figures(label, load))


def _figures(name: str, load: _Load) -> tuple[Figure, ...]:
    refused = load.statuses[HTTPStatus.SERVICE_UNAVAILABLE]
    failed = load.statuses.total() - load.statuses[HTTPStatus.OK] - refused
    return (
        Figure(f'{name}: right answers', load.right(), ''),
        Figure(f'{name}: p99', load.took.percentile(99), 's'),
        Figure(f'{name}: wrong answers', load.wrong, '', Bound.at_most, 0),
        Figure(f'{name}: doubled', load.doubled(), '', Bound.at_most, 0),
        Figure(f'{name}: refused, failed or cut', refused + failed + load.lost, ''),
    )


def _code_figures(name: str, load: _Load) -> tuple[Figure, ...]:
    return tuple(
        Figure(f'{name}: answers with code {code}', times, '')
        for code, times in sorted(load.codes.items())
    )


def _code(reply: HttpResponse) -> int:
    try:
        return int(reply.json()['code'])
    except (PlatformError, LookupError):
        # Failures of the backend servers themselves carry no code.
        return 0


async def _quiet(site: DirectSite) -> None:
    await asyncio.sleep(STEADY_S)


async def _lost_answers(site: DirectSite) -> None:
    for backend in (*site.plain, *site.models):
        backend.faults.extend(FAULTS)
    await asyncio.sleep(STEADY_S)


async def _store_down(site: DirectSite) -> None:
    site.store.faults.down = True
    await asyncio.sleep(OUTAGE_S)
    site.store.faults.down = False


async def _new_weights(site: DirectSite) -> None:
    site.publish_version(2)
    while any(model.engine and model.engine.version != 2 for model in site.models):
        await asyncio.sleep(POLL_S)


DISTURBANCES: tuple[tuple[str, _Disturb], ...] = (
    ('quiet', _quiet),
    ('answers lost, cut, doubled and crossed', _lost_answers),
    ('store down', _store_down),
    ('new weights', _new_weights),
)

__all__ = (
    'run',
    'run_on',
)
