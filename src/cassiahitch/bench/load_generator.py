"""Callers of a site on loopback that count what they are told."""

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
#: Every so many requests of a caller, one goes to the plain service.
SERVICES_TURN = 4
KEY_BITS = 128
#: Seconds of each part of a draft.
STEP_S = 0.02
#: Seconds before a caller asks again.
RETRY_S = 0.1
CALL_TIMEOUT_S = 5.0
#: Seconds after which a request counts as lost.
GIVE_UP_S = 30.0


class LoadGenerator(Scenario):
    """Callers that send a request again, under the same key, until it is answered."""

    def __init__(self, site: Site, seed: int) -> None:
        """Create the callers.

        :param site: a started site.
        :param seed: seed of what they ask.
        """
        super().__init__(site, _ignore)
        self.rng = random.Random(seed)
        self.cut_off = 0
        self.lost = 0
        self.stopping = False

    async def declare(self, operator: OperatorClient) -> None:
        """Declare a model and wait until every replica serves it.

        :param operator: client of the operators' API.
        """
        await self._declare(operator)
        await self._wait_for_rollout(operator, 'v1')
        for engine in self.site.backends.engines.values():
            engine.step_s = STEP_S

    @asynccontextmanager
    async def asking(self) -> AsyncIterator[None]:
        """Ask meanwhile, and wait for the last answers.

        :yield: while the callers ask.
        """
        async with HttpClient() as caller:
            tasks = [asyncio.create_task(self._go_on(caller)) for _ in range(CALLERS)]
            yield
            self.stopping = True
            await asyncio.gather(*tasks)

    async def _go_on(self, caller: HttpClient) -> None:
        number = 0
        while not self.stopping:
            number += 1
            service = SERVICE if number % SERVICES_TURN else SEQUENCE
            key = f'{self.rng.getrandbits(KEY_BITS):x}'
            try:
                async with asyncio.timeout(GIVE_UP_S):
                    await self._ask(caller, service, key)
            except TimeoutError:
                self.lost += 1

    async def _ask(self, caller: HttpClient, service: str, key: str) -> None:
        body = f'menu {key}'.encode()
        headers = (('Authorization', f'Bearer {self.secret}'), ('Idempotency-Key', key))
        while True:
            url = await self._choose_address(caller)
            path = f'{url}/v1/services/{service}/requests'
            call = HttpCall('POST', path, body, CALL_TIMEOUT_S, repeatable=False, headers=headers)
            try:
                reply = await caller.call(call)
            except HttpCallError:
                self.cut_off += 1
                continue
            document = reply.json()
            self._record_response(service, body, document)
            if document['code'] == Code.ok:
                return
            await asyncio.sleep(RETRY_S)

    async def _choose_address(self, caller: HttpClient) -> str:
        while True:
            try:
                return await super()._choose_address(caller)
            except (HttpCallError, KeyError):
                await asyncio.sleep(RETRY_S)


def _ignore(_progress: object) -> None:
    """Show nothing."""


__all__ = ('LoadGenerator',)
