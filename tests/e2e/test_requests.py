"""Tests of requests over real sockets: poison, overload, limits and callers that disconnect."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import TYPE_CHECKING, Any

from cassiahitch.limits.fairqueue import QueueLimits
from cassiahitch.standins.engines import engine_response
from cassiahitch.standins.scenario import OperatorClient
from cassiahitch.standins.site import Site, SiteSize
from cassiahitch.stores.http_client import HttpCall, HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_S = 30
WEIGHTS = bytes(range(256)) * 64
POISON = 'poisonous'
Document = dict[str, Any]


class Client:
    """Declares a service and sends requests of several organisations to it."""

    def __init__(self, site: Site, caller: HttpClient) -> None:
        self.site = site
        self.caller = caller

    async def declare(self, organisations: dict[str, dict[str, Any]], replicas: int = 3) -> None:
        operator = OperatorClient(self.caller, self.site.urls[0], self.site.token)
        self.digest = self.site.publish('v1', 'v1', WEIGHTS, 4096).digest
        resources: list[dict[str, Any]] = [
            {
                'kind': 'Organisation',
                'name': name,
                'key_digests': [hashlib.sha256(name.encode()).hexdigest()],
                **settings,
            }
            for name, settings in organisations.items()
        ]
        model = {'kind': 'Model', 'name': 'menus', 'version': 'v1', 'origin': 'v1'}
        deployment = {'kind': 'Deployment', 'name': 'draft', 'service': 'draft', 'model': 'menus'}
        resources += [
            {'kind': 'Service', 'name': 'draft', 'type': 'model', 'idempotent': True},
            {**model, 'manifest': self.digest},
            {**deployment, 'replicas': replicas},
        ]
        for resource in resources:
            await operator.create(resource)
        await wait_until(lambda: self.is_routed(replicas))

    def is_routed(self, replicas: int) -> bool:
        is_divided = all(
            len(entry.gossip.registry.division.entries) == len(self.site.entries)
            for entry in self.site.entries
        )
        return is_divided and all(
            len(entry.router.pools.find('draft', local=True)) + remote_replicas(entry.router) >= 1
            and sum('draft' in state.replica.services for state in entry.router.states.values())
            == replicas
            for entry in self.site.entries
        )

    async def ask(
        self,
        body: str,
        entry: int = 0,
        organisation: str = 'chop-house',
        timeout_s: float = 20,
    ) -> Document:
        headers = (('Authorization', f'Bearer {organisation}'),)
        url = f'{self.site.urls[entry]}/v1/services/draft/requests'
        call = HttpCall('POST', url, body.encode(), timeout_s, repeatable=False, headers=headers)
        response = await self.caller.call(call)
        return dict(response.json())

    def is_correct(self, answer: dict[str, Any], body: str) -> bool:
        return bool(answer.get('answer') == engine_response(self.digest, body.encode()).decode())


def remote_replicas(router: Any) -> int:
    return len(router.pools.find('draft', local=False))


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def send_poison() -> tuple[list[bool], list[Document], int, int]:
    """Send a poisonous request to all entries repeatedly while other requests run."""
    async with (
        Site(SiteSize(entries=3, model_hosts=3, plain_hosts=0)) as site,
        HttpClient() as caller,
    ):
        client = Client(site, caller)
        await client.declare({'chop-house': {'requests_per_s': 1000}})
        engines = tuple(site.backends.engines.values())
        most_down = 0
        for engine in engines:
            engine.poison = POISON
            engine.step_s = 0.05
        bodies = [f'menu {number}' for number in range(12)]
        requests = [
            asyncio.ensure_future(client.ask(body, number % 3))
            for number, body in enumerate(bodies)
        ]
        await wait_until(lambda: all(engine.running for engine in engines))
        poisoned = asyncio.ensure_future(resend_poison(client))
        while not poisoned.done():
            most_down = max(most_down, sum(engine.down for engine in engines))
            await asyncio.sleep(0.005)
        other_responses = await asyncio.gather(*requests)
        correct = [
            client.is_correct(answer, body)
            for answer, body in zip(other_responses, bodies, strict=True)
        ]
        crashes = sum(engine.crashes for engine in engines)
        return correct, await poisoned, most_down, crashes


async def resend_poison(client: Client) -> list[Document]:
    answers = []
    for attempt in range(6):
        answers.append(await client.ask(POISON, attempt % 3))
    return answers


def test_poisonous_request_takes_one_replica_at_a_time_and_is_refused() -> None:
    correct, answers, most_down, crashes = asyncio.run(send_poison())
    assert all(correct)
    assert most_down == 1
    assert crashes <= 3
    assert {answer['name'] for answer in answers[-3:]} == {'poison_refused'}


async def overload() -> tuple[Counter[str], list[Document]]:
    """One organisation floods an entry while a small one sends a request at a time."""
    async with (
        Site(SiteSize(entries=1, model_hosts=1, plain_hosts=0)) as site,
        HttpClient() as caller,
    ):
        client = Client(site, caller)
        limits = {'requests_per_s': 10_000}
        site.entries[0].components.queueing.limits = QueueLimits(total=40, per_organisation=20)
        await client.declare({'large': limits, 'small': limits}, replicas=1)
        for engine in site.backends.engines.values():
            engine.step_s = 0.05
        flood = [
            asyncio.ensure_future(client.ask(f'menu {number}', 0, 'large')) for number in range(100)
        ]
        await asyncio.sleep(0)
        small = [await client.ask(f'small {number}', 0, 'small') for number in range(5)]
        served = Counter(answer.get('name', 'answered') for answer in small)
        return served, await asyncio.gather(*flood)


def test_overload_is_refused_at_once_and_spares_the_small_organisation() -> None:
    served, flood = asyncio.run(overload())
    assert served == {'answered': 5}
    refused = [answer for answer in flood if 'answer' not in answer]
    assert refused
    assert {(answer['name'], answer['ran']) for answer in refused} == {('overloaded', 'no')}


async def exceed_limit() -> tuple[Counter[str], float]:
    """Exceed the request limit of an organisation through three entries."""
    async with (
        Site(SiteSize(entries=3, model_hosts=3, plain_hosts=0)) as site,
        HttpClient() as caller,
    ):
        client = Client(site, caller)
        await client.declare({'chop-house': {'requests_per_s': 30}})
        loop = asyncio.get_running_loop()
        started = loop.time()
        requests = [client.ask(f'menu {number}', number % 3) for number in range(150)]
        answers = await asyncio.gather(*requests)
        names = Counter(answer.get('name', 'answered') for answer in answers)
        return names, loop.time() - started


def test_limit_of_an_organisation_holds_over_all_entries() -> None:
    names, elapsed_s = asyncio.run(exceed_limit())
    assert set(names) == {'answered', 'organisation_limit'}
    assert names['answered'] <= 30 + 30 * elapsed_s + 3


async def disconnect_early() -> tuple[int, int, int]:
    """Disconnect during running requests and wait until slots and engines are free again."""
    async with (
        Site(SiteSize(entries=1, model_hosts=1, plain_hosts=0)) as site,
        HttpClient() as caller,
    ):
        client = Client(site, caller)
        await client.declare({'chop-house': {'requests_per_s': 1000}}, replicas=1)
        engine = site.backends.engines['model-0']
        engine.step_s = 1.0
        requests = [
            asyncio.ensure_future(client.ask(f'menu {number}', timeout_s=0.5))
            for number in range(5)
        ]
        await wait_until(lambda: engine.running == 5)
        await asyncio.gather(*requests, return_exceptions=True)
        entry = site.entries[0]
        await wait_until(lambda: not entry.components.caller_service.tasks)
        await wait_until(lambda: not engine.running)
        queue = entry.components.queueing.queues['draft']
        return len(engine.cancelled), queue.limit.in_flight, len(entry.gossip.guard.running)


def test_request_of_a_caller_that_leaves_is_cancelled() -> None:
    cancelled, in_flight, running = asyncio.run(disconnect_early())
    assert cancelled == 5
    assert in_flight == 0
    assert running == 0
