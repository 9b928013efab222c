"""A rollout on a local site while callers send requests."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import secrets
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.standins.engines import engine_response
from cassiahitch.stores.http_client import HttpCall, HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from cassiahitch.standins.site import Site
    from cassiahitch.weights.manifest import Manifest

WEIGHT_BYTES = 2_000_000
CHUNK_BYTES = 65_536
CALLERS = 4
#: Seconds between the requests of a caller.
REQUEST_INTERVAL_S = 0.02
#: Seconds after which a rollout counts as stalled.
ROLLOUT_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.1
HTTP_OK = 200
SERVICE = 'draft'
SEQUENCE = 'invoice-number'


@dataclass(slots=True)
class CallerResults:
    """Counts of the responses that the callers received.

    ``digests`` counts responses by weights; ``numbers`` are those that the sequence service issued.
    """

    correct: int = 0
    wrong: int = 0
    failures: Counter[str] = field(default_factory=Counter)
    digests: Counter[str] = field(default_factory=Counter)
    numbers: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a rollout: replicas that serve the version, and chunks staged on their hosts."""

    version: str
    serving: int
    replicas: int
    chunks: int
    answers: int


class OperatorClient:
    """A client of the operators' API of an entry."""

    def __init__(self, caller: HttpClient, url: str, token: str) -> None:
        """Create a client.

        :param caller: HTTP client for the calls.
        :param url: base URL of the entry.
        :param token: token of the operator.
        """
        self.caller = caller
        self.url = url
        self.token = token

    async def create(self, resource: dict[str, Any]) -> int:
        """Create a resource.

        :param resource: the resource.
        :return: revision of the configuration.
        """
        return await self._put(resource, ('If-None-Match', '*'))

    async def replace(self, resource: dict[str, Any], revision: int) -> int:
        """Replace a resource.

        :param resource: the new resource.
        :param revision: revision of the resource that it replaces.
        :return: the new revision.
        """
        return await self._put(resource, ('If-Match', str(revision)))

    async def status(self) -> dict[str, Any]:
        """Return the status of all nodes.

        :return: the JSON document.
        """
        return await self._call('GET', '/v1/status', None, ())

    async def _put(self, resource: dict[str, Any], header: tuple[str, str]) -> int:
        path = f'/v1/resources/{resource["kind"]}/{resource["name"]}'
        body = json.dumps(resource).encode()
        document = await self._call('PUT', path, body, (header,))
        return int(document['revision'])

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: tuple[tuple[str, str], ...],
    ) -> dict[str, Any]:
        authorisation = ('Authorization', f'Bearer {self.token}')
        call = HttpCall(method, f'{self.url}{path}', body, headers=(*headers, authorisation))
        response = await self.caller.call(call)
        document: dict[str, Any] = response.json()
        if response.status != HTTP_OK:
            raise CassiahitchError(Code(document['code']), document['detail'])
        return document


class Scenario:
    """Rolls out two versions of a model while callers send requests."""

    def __init__(self, site: Site, show_progress: Callable[[Progress], None]) -> None:
        """Create a scenario.

        :param site: a started site.
        :param show_progress: called with the progress of each rollout.
        """
        self.site = site
        self.show_progress = show_progress
        self.results = CallerResults()
        self.secret = secrets.token_urlsafe()
        self.rng = random.Random(1)
        self.manifests: dict[str, Manifest] = {}

    async def run(self) -> CallerResults:
        """Roll out two versions, the second one while callers send requests.

        :return: results of the callers.
        :raises CassiahitchError: ``load_failed`` if a rollout does not complete in time.
        """
        async with HttpClient() as caller:
            operator = OperatorClient(caller, self.site.urls[0], self.site.token)
            await self._declare(operator)
            await self._wait_for_rollout(operator, 'v1')
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(self._send_requests(caller)) for _ in range(CALLERS)]
                await self._upgrade(operator)
                for task in tasks:
                    task.cancel()
        return self.results

    def _publish(self, version: str) -> dict[str, Any]:
        origin = f'menus/{version}'
        weights = self.rng.randbytes(WEIGHT_BYTES)
        manifest = self.site.publish(origin, version, weights, CHUNK_BYTES)
        self.manifests[version] = manifest
        return {
            'kind': 'Model',
            'name': 'menus',
            'version': version,
            'origin': origin,
            'manifest': manifest.digest,
        }

    async def _declare(self, operator: OperatorClient) -> None:
        digest = hashlib.sha256(self.secret.encode()).hexdigest()
        model = self._publish('v1')
        resources: tuple[dict[str, Any], ...] = (
            {'kind': 'Organisation', 'name': 'chop-house', 'key_digests': [digest]},
            {'kind': 'Service', 'name': SERVICE, 'type': 'model', 'idempotent': True},
            {'kind': 'Service', 'name': SEQUENCE, 'type': 'plain', 'idempotent': False},
            model,
            {
                'kind': 'Deployment',
                'name': SERVICE,
                'service': SERVICE,
                'model': 'menus',
                'replicas': self.site.size.model_hosts,
            },
        )
        for resource in resources:
            revision = await operator.create(resource)
            if resource is model:
                self.model_revision = revision

    async def _upgrade(self, operator: OperatorClient) -> None:
        await operator.replace(self._publish('v2'), self.model_revision)
        await self._wait_for_rollout(operator, 'v2')

    async def _wait_for_rollout(self, operator: OperatorClient, version: str) -> None:
        try:
            async with asyncio.timeout(ROLLOUT_TIMEOUT_S):
                while not await self._is_rolled_out(operator, version):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError as error:
            raise CassiahitchError(
                Code.load_failed,
                f'{version} was not rolled out in time',
            ) from error

    async def _is_rolled_out(self, operator: OperatorClient, version: str) -> bool:
        digest = self.manifests[version].digest
        status = await operator.status()
        serving = sum(node['loaded'] == digest for node in status['nodes'])
        chunks = sum(
            agent.distribution.stored_chunk_count(digest) for agent in self.site.agents.values()
        )
        replicas = self.site.size.model_hosts
        self.show_progress(Progress(version, serving, replicas, chunks, self.results.correct))
        return bool(serving == replicas)

    async def _send_requests(self, caller: HttpClient) -> None:
        number = 0
        while True:
            number += 1
            service = SERVICE if number % 4 else SEQUENCE
            body = f'menu {self.rng.random()}'.encode()
            url = await self._choose_address(caller)
            headers = (
                ('Authorization', f'Bearer {self.secret}'),
                ('Idempotency-Key', secrets.token_hex()),
            )
            path = f'{url}/v1/services/{service}/requests'
            response = await caller.call(
                HttpCall('POST', path, body, timeout_s=30, repeatable=False, headers=headers),
            )
            self._record_response(service, body, response.json())
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _choose_address(self, caller: HttpClient) -> str:
        entry = self.rng.choice(self.site.urls)
        response = await caller.call(HttpCall('GET', f'{entry}/v1/addresses'))
        addresses = response.json()['addresses']
        weights = [address['weight'] for address in addresses]
        chosen = self.rng.choices(addresses, weights)[0]
        return f'http://{chosen["address"]}'

    def _record_response(self, service: str, body: bytes, document: dict[str, Any]) -> None:
        if document['code'] != Code.ok:
            self.results.failures[f'{document["name"]} ran={document["ran"]}'] += 1
            return
        if service == SEQUENCE:
            self.results.numbers.append(int(document['answer']))
            self.results.correct += 1
            return
        digest = document['weights']
        self.results.digests[digest] += 1
        is_published = any(manifest.digest == digest for manifest in self.manifests.values())
        if is_published and document['answer'] == engine_response(digest, body).decode():
            self.results.correct += 1
        else:
            self.results.wrong += 1


__all__ = (
    'Progress',
    'Scenario',
    'CallerResults',
)
