"""Tests of operators, configuration and membership over real sockets."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.standins.scenario import OperatorClient, Scenario
from cassiahitch.standins.site import Site, SiteSize
from cassiahitch.stores.http_client import HttpCallError, HttpClient

#: Seconds after which the test fails if a condition does not hold.
TIMEOUT_S = 20
SMALL_SITE = SiteSize(entries=3, model_hosts=3, plain_hosts=0)
SiteTest = Callable[[Site, list[OperatorClient]], Awaitable[None]]


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


def run(body: SiteTest, size: SiteSize = SMALL_SITE) -> None:
    async def run_on_site() -> None:
        async with Site(size) as site, HttpClient() as caller:
            operators = [OperatorClient(caller, url, site.token) for url in site.urls]
            await wait_until(lambda: all(entry.configuration.ready for entry in site.entries))
            await body(site, operators)

    asyncio.run(run_on_site())


def service(name: str = 'desk', deadline_s: int = 30) -> dict[str, Any]:
    return {
        'kind': 'Service',
        'name': name,
        'type': 'plain',
        'idempotent': False,
        'deadline_s': deadline_s,
    }


async def code_of(call: Awaitable[object]) -> Code:
    try:
        await call
    except CassiahitchError as error:
        return error.code
    return Code.ok


def revisions(site: Site) -> list[int]:
    entries = [entry.configuration.revision for entry in site.entries]
    return [*entries, *(agent.configuration.revision for agent in site.agents.values())]


def test_exactly_one_of_racing_operators_wins() -> None:
    async def body(site: Site, operators: list[OperatorClient]) -> None:
        first = await operators[0].create(service())
        codes = await asyncio.gather(
            *(
                code_of(operators[number % 3].replace(service(deadline_s=number + 1), first))
                for number in range(6)
            ),
        )
        assert sorted(codes) == [Code.ok, *(Code.revision_conflict for _ in range(5))]
        await wait_until(lambda: set(revisions(site)) == {first + 1})

    run(body)


def test_lost_commit_answers_are_settled_before_the_operator_is_told() -> None:
    async def body(site: Site, operators: list[OperatorClient]) -> None:
        site.tables.faults.lost_share = 0.5
        calls = [operators[number % 3].create(service(f's{number}')) for number in range(6)]
        accepted = await asyncio.gather(*calls)
        assert sorted(accepted) == list(range(1, 7))
        assert site.tables.counters.lost > 0
        site.tables.faults.lost_share = 0
        await wait_until(lambda: set(revisions(site)) == {6})

    run(body)


def test_revision_is_in_force_on_every_node_and_never_lower() -> None:
    async def body(site: Site, operators: list[OperatorClient]) -> None:
        previous = revisions(site)
        for number in range(8):
            await operators[number % 3].create(service(f's{number}'))
            now = revisions(site)
            assert all(after >= before for before, after in zip(previous, now, strict=True))
            previous = now
        await wait_until(lambda: set(revisions(site)) == {8})
        async with asyncio.timeout(TIMEOUT_S):
            status = await operators[0].status()
            while not status['everywhere']:
                status = await operators[0].status()
        names = {*site.agents, 'entry-0', 'entry-1', 'entry-2'}
        assert set(status['in_force']) == names

    run(body)


def test_fresh_entry_in_an_outage_takes_the_configuration_of_its_peers() -> None:
    async def body(site: Site, operators: list[OperatorClient]) -> None:
        await operators[0].create(service())
        await wait_until(lambda: set(revisions(site)) == {1})
        site.tables.faults.down = True
        await site.entries[2].kill()
        fresh = await site.restart_entry(2)
        assert not fresh.configuration.ready
        await wait_until(lambda: fresh.configuration.ready)
        assert fresh.configuration.revision == 1
        refused = await code_of(operators[0].create(service('other')))
        assert refused is Code.store_unavailable
        site.tables.faults.down = False
        assert await operators[2].create(service('other')) == 2

    run(body)


def test_entries_without_configuration_do_not_make_each_other_ready() -> None:
    async def run_on_site() -> None:
        site = Site(SiteSize(entries=2, model_hosts=0, plain_hosts=0))
        site.tables.faults.down = True
        async with site:
            await wait_until(lambda: all(entry.entries for entry in site.entries))
            await wait_until(
                lambda: site.entries[0].components.synchroniser.bootstrap_driver.bootstrap.round > 1
            )
            assert not any(entry.configuration.ready for entry in site.entries)
            site.tables.faults.down = False
            await wait_until(lambda: all(entry.configuration.ready for entry in site.entries))

    asyncio.run(run_on_site())


def leader(site: Site) -> int:
    leaders = [
        number for number, entry in enumerate(site.entries) if entry.components.leadership.is_held
    ]
    assert len(leaders) <= 1
    return leaders[0] if leaders else -1


def serving(site: Site, digest: str) -> int:
    return sum(1 for agent in site.agents.values() if agent.loader.loaded_digest == digest)


def test_rollout_goes_on_under_another_entry_after_the_holder_was_killed() -> None:
    async def body(site: Site, operators: list[OperatorClient]) -> None:
        await wait_until(lambda: leader(site) >= 0)
        first = leader(site)
        first_term = site.entries[first].components.leadership.term
        scenario = Scenario(site, lambda progress: None)
        await scenario._declare(operators[first])
        await site.entries[first].kill()
        survivor = operators[(first + 1) % 3]
        await scenario._wait_for_rollout(survivor, 'v1')
        assert leader(site) != first
        assert site.entries[leader(site)].components.leadership.term > first_term

    run(body)


def test_paused_holder_may_not_act_when_it_resumes() -> None:
    async def body(site: Site, operators: list[OperatorClient]) -> None:
        await wait_until(lambda: leader(site) >= 0)
        paused = site.entries[leader(site)]
        lease = paused.components.leadership.lease
        lease.next_poll_at = float('inf')
        assert paused.components.leadership.is_held
        await wait_until(lambda: leader(site) >= 0 and site.entries[leader(site)] is not paused)
        assert not paused.components.leadership.is_held

    run(body)


class PersistentCallers(Scenario):
    """Callers that retry with another entry when an entry does not return addresses."""

    stopping = False

    def _record_response(self, service: str, body: bytes, document: dict[str, Any]) -> None:
        super()._record_response(service, body, document)
        if self.stopping:
            raise asyncio.CancelledError

    async def _choose_address(self, caller: HttpClient) -> str:
        while True:
            try:
                return await super()._choose_address(caller)
            except (HttpCallError, KeyError):
                await asyncio.sleep(0.01)


class RunningCallers:
    """Callers that send requests until they are stopped."""

    def __init__(self, scenario: PersistentCallers, caller: HttpClient) -> None:
        self.scenario = scenario
        self.tasks = [asyncio.create_task(scenario._send_requests(caller)) for _ in range(4)]

    async def stop(self) -> None:
        self.scenario.stopping = True
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        assert all(isinstance(error, asyncio.CancelledError) for error in results), results

    async def wait_for_responses(self, answers: int) -> None:
        target = self.scenario.results.correct + answers
        await wait_until(
            lambda: self.scenario.results.correct >= target or any(map(is_done, self.tasks))
        )


def is_done(task: asyncio.Task[None]) -> bool:
    return task.done()


@pytest.mark.parametrize('disturbance', ['drain', 'agent stops', 'entries restart'])
def test_no_request_fails_when_processes_leave(disturbance: str) -> None:
    async def body(site: Site, operators: list[OperatorClient]) -> None:
        scenario = PersistentCallers(site, lambda progress: None)
        await scenario._declare(operators[0])
        await scenario._wait_for_rollout(operators[0], 'v1')
        async with HttpClient() as caller:
            callers = RunningCallers(scenario, caller)
            await callers.wait_for_responses(20)
            await disturb(site, operators, disturbance)
            await callers.wait_for_responses(20)
            await callers.stop()
        assert scenario.results.correct >= 40
        assert not scenario.results.wrong
        assert not scenario.results.failures
        numbers = scenario.results.numbers
        assert len(set(numbers)) == len(numbers)
        runs = sum(engine.runs.total() for engine in site.backends.engines.values())
        assert runs == scenario.results.digests.total()

    run(body, SiteSize(entries=3, model_hosts=3, plain_hosts=1))


async def disturb(site: Site, operators: list[OperatorClient], disturbance: str) -> None:
    if disturbance == 'drain':
        drain = {'kind': 'Drain', 'name': secrets.token_hex(4), 'host': 'model-1'}
        await operators[1].create(drain)
        agent = site.agents['model-1']
        await wait_until(lambda: agent.is_stopping and not agent.executor.running)
        await wait_until(lambda: not any(_has_route(entry, 'model-1') for entry in site.entries))
    if disturbance == 'agent stops':
        agent = site.agents['model-1']
        engine = site.backends.engines['model-1']
        engine.step_s = 0.2
        await wait_until(lambda: engine.running > 1)
        await asyncio.gather(agent.stop(), agent.stop())
    if disturbance == 'entries restart':
        for number in range(3):
            await site.entries[number].stop()
            await site.restart_entry(number)
            await wait_until(partial(_is_serving, site.entries[number]))


def _has_route(entry: Any, host: str) -> bool:
    return host in entry.router.states


def _is_serving(entry: Any) -> bool:
    return bool(entry.configuration.ready and len(entry.agent_registry.agents) == 4)
