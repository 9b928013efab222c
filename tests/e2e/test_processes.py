"""Tests that kill or gracefully stop entries and agents in processes of their own."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from typing import Any

import pytest
from process_site import ProcessSite, until

from cassiahitch.standins.engines import engine_response

Responses = list[dict[str, Any]]
Outcome = tuple[Responses, str, Counter[str]]


async def kill_agent_mid_request() -> Outcome:
    async with ProcessSite() as site:
        await site.start(entries=2, models=3)
        digest = await site.declare(replicas=3)
        await until(lambda: has_served(site, digest, 3))
        for engine in site.engines.values():
            engine.step_s = 0.2
        requests = [
            asyncio.ensure_future(site.ask('draft', f'menu {number}', entry=number % 2))
            for number in range(12)
        ]
        victim = site.engines['model-0']
        await until(lambda: is_running(victim.running))
        await site.agents['model-0'].end(signal.SIGKILL)
        answers = await asyncio.gather(*requests)
        runs = sum((engine.runs for engine in site.engines.values()), Counter[str]())
        return answers, digest, runs


async def has_served(site: ProcessSite, digest: str, replicas: int) -> bool:
    counts = [await site.serving(digest, entry) for entry, _ in enumerate(site.entries)]
    return bool(min(counts) >= replicas)


async def is_running(running: int) -> bool:
    return running > 0


def test_idempotent_requests_survive_the_kill_of_an_agent() -> None:
    answers, digest, runs = asyncio.run(kill_agent_mid_request())
    for number, answer in enumerate(answers):
        assert answer.get('answer') == engine_response(digest, f'menu {number}'.encode()).decode()
    assert max(runs.values()) == 1
    assert sum(runs.values()) > len(answers)


async def kill_entry_mid_request() -> tuple[Responses, int]:
    """Request numbers through an entry, kill it, and repeat the requests at another one."""
    async with ProcessSite() as site:
        await site.start(entries=2, models=0)
        await site.declare(replicas=0)
        site.sequence.delay_s = 0.3
        await until(lambda: can_ask(site))
        keys = [f'reorder-{number}' for number in range(5)]
        first = [
            asyncio.ensure_future(site.ask('numbers', 'next', 0, Idempotency_Key=key))
            for key in keys
        ]
        await until(lambda: is_running(site.sequence.running))
        await site.entries[0].end(signal.SIGKILL)
        await asyncio.gather(*first, return_exceptions=True)
        again = await asyncio.gather(
            *(site.ask('numbers', 'next', 1, Idempotency_Key=key) for key in keys),
        )
        return again, site.sequence.issued


async def can_ask(site: ProcessSite) -> bool:
    answers = [await site.ask('numbers', 'probe', entry) for entry, _ in enumerate(site.entries)]
    return all('answer' in answer for answer in answers)


def test_number_is_issued_once_though_the_entry_is_killed() -> None:
    answers, issued = asyncio.run(kill_entry_mid_request())
    numbers = [int(answer['answer']) for answer in answers]
    assert len(set(numbers)) == len(numbers)
    assert max(numbers) == issued


async def stop_under_requests(role: str) -> tuple[int, Responses]:
    async with ProcessSite() as site:
        await site.start(entries=2, models=3)
        digest = await site.declare(replicas=3)
        await until(lambda: has_served(site, digest, 3))
        for engine in site.engines.values():
            engine.step_s = 0.1
        stopped = site.entries[0] if role == 'entry' else site.agents['model-0']
        requests = [asyncio.ensure_future(site.ask('draft', f'm {number}')) for number in range(9)]
        await until(lambda: is_running(site.engines['model-0'].running))
        code = await stopped.end(signal.SIGTERM)
        return code, await asyncio.gather(*requests)


@pytest.mark.parametrize('role', ['entry', 'agent'])
def test_graceful_stop_cuts_no_request(role: str) -> None:
    code, answers = asyncio.run(stop_under_requests(role))
    assert code == 0
    assert all('answer' in answer for answer in answers)
