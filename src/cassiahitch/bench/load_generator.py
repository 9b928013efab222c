"""Callers that load a site on loopback and count the responses that they receive."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.standins.scenario import SEQUENCE, SERVICE, OperatorClient, Scenario
from cassiahitch.stores.http_client import HttpCall, HttpCallError, HttpClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cassiahitch.standins.site import Site

CALLERS = 12
#: Every n-th request of a caller goes to the sequence service, which is a plain service.
SEQUENCE_REQUEST_INTERVAL = 4
KEY_BITS = 128
#: Seconds that a model engine takes for each part of a draft.
ENGINE_STEP_S = 0.02
#: Seconds before a caller repeats a request.
RETRY_DELAY_S = 0.1
CALL_TIMEOUT_S = 5.0
#: Seconds after which a request counts as lost.
REQUEST_TIMEOUT_S = 30.0


class LoadGenerator(Scenario):
    """Callers that repeat a request under the same idempotency key until it succeeds."""

    def __init__(self, site: Site, seed: int) -> None:
        """Create the callers.

        :param site: a started site.
        :param seed: seed of the idempotency keys.
        """
        super().__init__(site, _ignore_progress)
        self.rng = random.Random(seed)
        self.interrupted_calls = 0
        self.lost = 0
        self.stopping = False

    async def declare(self, operator: OperatorClient) -> None:
        """Declare a model and wait until every replica serves it.

        :param operator: client of the operators' API.
        """
        await self._declare(operator)
        await self._wait_for_rollout(operator, 'v1')
        for engine in self.site.backends.engines.values():
            engine.step_s = ENGINE_STEP_S

    @asynccontextmanager
    async def generate_load(self) -> AsyncIterator[None]:
        """Send requests within the context, and wait for the last responses at its end.

        :yield: once the callers have started.
        """
        async with HttpClient() as caller:
            tasks = [asyncio.create_task(self._run_caller(caller)) for _ in range(CALLERS)]
            yield
            self.stopping = True
            await asyncio.gather(*tasks)

    async def _run_caller(self, caller: HttpClient) -> None:
        request_number = 0
        while not self.stopping:
            request_number += 1
            service = SERVICE if request_number % SEQUENCE_REQUEST_INTERVAL else SEQUENCE
            key = f'{self.rng.getrandbits(KEY_BITS):x}'
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    await self._send_until_success(caller, service, key)
            except TimeoutError:
                self.lost += 1

    async def _send_until_success(self, caller: HttpClient, service: str, key: str) -> None:
        body = f'menu {key}'.encode()
        headers = (('Authorization', f'Bearer {self.secret}'), ('Idempotency-Key', key))
        while True:
            entry_url = await self._choose_address(caller)
            request_url = f'{entry_url}/v1/services/{service}/requests'
            call = HttpCall(
                'POST', request_url, body, CALL_TIMEOUT_S, repeatable=False, headers=headers
            )
            try:
                response = await caller.call(call)
            except HttpCallError:
                self.interrupted_calls += 1
                continue
            document = response.json()
            self._record_response(service, body, document)
            if document['code'] == Code.ok:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _choose_address(self, caller: HttpClient) -> str:
        while True:
            try:
                return await super()._choose_address(caller)
            except (HttpCallError, KeyError):
                await asyncio.sleep(RETRY_DELAY_S)


def _ignore_progress(_progress: object) -> None:
    """Discard a report of progress."""


__all__ = ('LoadGenerator',)
