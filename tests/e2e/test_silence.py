"""Tests of connections that stall while requests run over them."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from freezing_proxy import FreezingProxy
from process_site import ProcessSite, until

KEY = {'Idempotency_Key': 'reorder'}
#: Seconds that the sequence service takes for a request, longer than the stall timeout.
REQUEST_DURATION_S = 1.6


class ProxiedSite(ProcessSite):
    """A site whose agent of the sequence service connects to the entry through a proxy."""

    async def open(self) -> FreezingProxy:
        await self.start(entries=1, models=0)
        await self.agents.pop('plain').end(signal.SIGKILL)
        proxy = FreezingProxy(self.entries[0].settings['port'])
        server = await proxy.start()
        self.stack.callback(server.close)
        entry_port = self.entries[0].settings['port']
        self.entries[0].settings['port'] = proxy.port
        url = self.agent_url
        await self.start_agent('plain', 0, url, {'engine_kind': 'plain', 'service': 'numbers'})
        self.entries[0].settings['port'] = entry_port
        await self.declare(replicas=0)
        await until(self.responds)
        return proxy

    async def responds(self) -> bool:
        return 'answer' in await self.ask('numbers', 'probe')


async def ask_through_stalled_connection(
    headers: dict[str, str],
) -> tuple[dict[str, Any], Any, int]:
    async with ProxiedSite() as site:
        proxy = await site.open()
        before = site.sequence.issued
        site.sequence.delay_s = REQUEST_DURATION_S
        request = asyncio.ensure_future(site.ask('numbers', 'next', 0, **headers))
        await until(lambda: is_running(site))
        proxy.freeze()
        first = await request
        site.sequence.delay_s = 0
        again = await site.ask('numbers', 'next', 0, **headers)
        return first, again, site.sequence.issued - before


async def is_running(site: ProcessSite) -> bool:
    return site.sequence.running > 0


def test_request_on_a_silent_connection_is_settled_over_a_new_one() -> None:
    answer, _, _ = asyncio.run(ask_through_stalled_connection({}))
    assert 'answer' in answer


def test_key_on_a_silent_connection_runs_once() -> None:
    first, again, issued = asyncio.run(ask_through_stalled_connection(KEY))
    assert issued == 1
    assert again['answer'] == first['answer']


async def freeze_agent() -> tuple[dict[str, Any], dict[str, Any], int]:
    """Pause the process of an agent that runs a request, and resume it later."""
    async with ProcessSite() as site:
        await site.start(entries=1, models=0)
        await site.declare(replicas=0)
        await until(lambda: can_ask(site))
        before = site.sequence.issued
        site.sequence.delay_s = 0.5
        request = asyncio.ensure_future(site.ask('numbers', 'next', 0, X_Timeout_Ms='6000', **KEY))
        await until(lambda: is_running(site))
        agent = site.agents['plain'].process
        assert agent is not None
        agent.send_signal(signal.SIGSTOP)
        first = await request
        agent.send_signal(signal.SIGCONT)
        site.sequence.delay_s = 0
        await until(lambda: can_ask(site))
        again = await site.ask('numbers', 'next', 0, **KEY)
        return first, again, site.sequence.issued - before


async def can_ask(site: ProcessSite) -> bool:
    return 'answer' in await site.ask('numbers', 'probe', 0, Idempotency_Key='probe')


def test_frozen_agent_leaves_its_request_unknown_and_never_runs_it_again() -> None:
    first, again, issued = asyncio.run(freeze_agent())
    assert first['ran'] == 'unknown'
    assert again['code'] == 0
    assert issued == 1
