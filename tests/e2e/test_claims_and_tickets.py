"""Tests that no number is issued twice, over real sockets and through faults."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from cassiahitch.codes import Code
from cassiahitch.ledger.rows import TABLE, ClaimRow, row_key
from cassiahitch.ledger.sweep import SweepLimits
from cassiahitch.standins.scenario import OperatorClient
from cassiahitch.standins.site import Site, SiteSize
from cassiahitch.stores.api import Write
from cassiahitch.stores.http_client import HttpCall, HttpClient

SERVICE = 'invoice-number'
SECRET = 'secret'
KEYS = 8
TIMEOUT_S = 15
Document = dict[str, Any]


@dataclass
class NumberSite:
    """A site whose plain hosts issue numbers, and a client of it."""

    site: Site
    caller: HttpClient

    async def call(self, method: str, entry: int, path: str, body: bytes | None = None) -> Document:
        return await self.send(HttpCall(method, f'{self.site.urls[entry]}{path}', body))

    async def send(
        self, call: HttpCall, *headers: tuple[str, str], secret: str = SECRET
    ) -> Document:
        authorisation = ('Authorization', f'Bearer {secret}')
        authorised_call = HttpCall(
            call.method,
            call.url,
            call.body,
            timeout_s=TIMEOUT_S,
            repeatable=False,
            headers=(authorisation, *headers),
        )
        document: Document = (await self.caller.call(authorised_call)).json()
        return document

    async def ask(self, entry: int, *headers: tuple[str, str]) -> Document:
        url = f'{self.site.urls[entry]}/v1/services/{SERVICE}/requests'
        return await self.send(HttpCall('POST', url, b'next'), *headers)

    async def ask_with_key(self, entry: int, key: str) -> Document:
        return await self.ask(entry, ('Idempotency-Key', key))

    async def create_ticket(self, entry: int) -> str:
        url = f'{self.site.urls[entry]}/v1/tickets?service={SERVICE}'
        return str((await self.send(HttpCall('POST', url, b'')))['ticket'])

    def issued_count(self) -> int:
        return sum(service.issued for service in self.site.backends.sequences.values())


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def open_number_site(*rows: ClaimRow) -> AsyncIterator[NumberSite]:
    site = Site(SiteSize(entries=3, model_hosts=0, plain_hosts=2))
    writes = tuple(Write(TABLE, row.key, row.encode()) for row in rows)
    await site.tables.commit((), writes)
    async with site, HttpClient() as caller:
        operator = OperatorClient(caller, site.urls[0], site.token)
        digest = hashlib.sha256(SECRET.encode()).hexdigest()
        await operator.create(
            {'kind': 'Organisation', 'name': 'tallowmere', 'key_digests': [digest]}
        )
        await operator.create(
            {'kind': 'Service', 'name': SERVICE, 'type': 'plain', 'idempotent': False}
        )
        number_site = NumberSite(site, caller)
        async with asyncio.timeout(TIMEOUT_S):
            for entry, _ in enumerate(site.entries):
                while 'answer' not in await number_site.ask(entry):
                    await asyncio.sleep(0.01)
        yield number_site


async def kill_agent_with_running_request() -> tuple[list[Document], int]:
    async with open_number_site() as number_site:
        before = number_site.issued_count()
        sequences = number_site.site.backends.sequences
        for service in sequences.values():
            service.delay_s = 0.5
        first = asyncio.ensure_future(number_site.ask_with_key(0, 'invoice'))
        await wait_until(lambda: any(service.running for service in sequences.values()))
        host = next(name for name, service in sequences.items() if service.running)
        await number_site.site.agents[host].kill()
        answers = [await first]
        answers += [await number_site.ask_with_key(entry, 'invoice') for entry in (1, 2, 0)]
        return answers, number_site.issued_count() - before


def test_number_is_not_issued_again_after_its_agent_was_killed() -> None:
    answers, issued = asyncio.run(kill_agent_with_running_request())
    assert issued == 1
    assert {answer['ran'] for answer in answers} == {'unknown'}


async def lose_commit_answers() -> tuple[list[Document], list[Document], int]:
    async with open_number_site() as number_site:
        before = number_site.issued_count()
        number_site.site.tables.faults.lost_share = 0.5
        requests = [
            number_site.ask_with_key(number % 3, f'key-{number % KEYS}')
            for number in range(2 * KEYS)
        ]
        during = await asyncio.gather(*requests)
        number_site.site.tables.faults.lost_share = 0
        after = [
            await number_site.ask_with_key(number % 3, f'key-{number}') for number in range(KEYS)
        ]
        return during, after, number_site.issued_count() - before


def test_lost_commit_answers_neither_double_nor_lose_a_number() -> None:
    during, after, issued = asyncio.run(lose_commit_answers())
    assert issued == KEYS
    answers = [document['answer'] for document in after]
    for number, document in enumerate(during):
        assert document.get('answer', answers[number % KEYS]) == answers[number % KEYS]
        assert document['code'] == Code.ok or document['ran'] in {'no', 'unknown'}


async def take_store_down() -> tuple[Document, Document, Document, int]:
    async with open_number_site() as number_site:
        before = number_site.issued_count()
        number_site.site.tables.faults.down = True
        refused = await number_site.ask_with_key(0, 'key')
        ticket = await number_site.create_ticket(1)
        through_ticket = await number_site.ask(2, ('X-Ticket', ticket))
        number_site.site.tables.faults.down = False
        retried = await number_site.ask_with_key(1, 'key')
        return refused, through_ticket, retried, number_site.issued_count() - before


def test_store_outage_refuses_claims_and_lets_tickets_go_on() -> None:
    refused, through_ticket, retried, issued = asyncio.run(take_store_down())
    assert (refused['code'], refused['ran']) == (Code.claim_store_down, 'no')
    assert 'answer' in through_ticket
    assert 'answer' in retried
    assert retried['retention_s'] == SweepLimits().retention_s
    assert issued == 2


async def send_one_ticket_through_all() -> tuple[list[Document], Document, int]:
    async with open_number_site() as number_site:
        before = number_site.issued_count()
        ticket = ('X-Ticket', await number_site.create_ticket(0))
        answers = await asyncio.gather(
            *(number_site.ask(number % 3, ticket) for number in range(9))
        )
        url = f'{number_site.site.urls[0]}/v1/services/{SERVICE}/requests'
        other = await number_site.send(HttpCall('POST', url, b'another body'), ticket)
        return answers, other, number_site.issued_count() - before


def test_ticket_through_all_entries_at_once_runs_once() -> None:
    answers, other, issued = asyncio.run(send_one_ticket_through_all())
    assert issued == 1
    assert len({answer['answer'] for answer in answers}) == 1
    assert 'answer' not in other


def claim_row(name: str, age_s: float) -> ClaimRow:
    key = row_key('tallowmere', SERVICE, name)
    return ClaimRow(
        key=key,
        organisation='tallowmere',
        body_digest=key,
        agent='gone',
        incarnation=1,
        claim_id=name,
        not_after=0,
        created=time.time() - age_s,
    )


async def list_unknown_keys() -> tuple[Document, Document, bool]:
    old, unknown, young = (
        claim_row('old', 100_000),
        claim_row('unknown', 1000),
        claim_row('young', 1),
    )
    async with open_number_site(old, unknown, young) as number_site:
        rows = number_site.site.tables.rows
        await wait_until(lambda: (TABLE, old.key) not in rows)
        url = f'{number_site.site.urls[2]}/v1/unknown-keys'
        listed = await number_site.send(HttpCall('GET', url), secret=number_site.site.token)
        refused = await number_site.send(HttpCall('GET', url))
        return listed, refused, (TABLE, young.key) in rows


def test_old_claims_are_swept_and_unknown_keys_listed_for_operators() -> None:
    listed, refused, kept = asyncio.run(list_unknown_keys())
    assert [(key['claim_id'], key['organisation']) for key in listed['keys']] == [
        ('unknown', 'tallowmere')
    ]
    assert refused['code'] == Code.unauthorised
    assert kept
