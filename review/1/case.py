"""The only organisation of a deployment loses its keys; requests with them must not run any more."""

from __future__ import annotations

import asyncio
from pathlib import Path

from client import request
from record import Record
from site_parts import BOUNDS, PLAIN_HOSTS, Site, entry_address, front
from verdict import main, with_trouble

from cassiahitch.platform import names
from cassiahitch.standins.backends import BackendStandin
from cassiahitch.standins.configurations import PLAIN_SERVICE, initial_configuration
from cassiahitch.standins.networks import loopback_address

ENTRIES = 2
REPLICAS = 2
KEYS = ('jnbanfqasnmgkcuyj8pj', 'bvk9m68k7b2ex5wa5xwy')
NEVER_HELD = 'a-key-that-no-one-ever-held'
#: Seconds between the two configurations that take the keys away.
REVOKE_GAP_S = 0.5
#: Seconds beyond the bound before the first request that is judged is sent.
SLACK_S = 1.0
JUDGED_ROUNDS = 20
ROUND_INTERVAL_S = 0.2


def tenants(keys: tuple[str, ...]) -> list[dict[str, object]]:
    """Return the tenants of a configuration."""
    return [{'name': 'bozi300', 'apiKeys': list(keys), 'priority': 1}]


class Case:
    """Sends requests, and finds those that ran at a replica."""

    def __init__(self, site: Site, record: Record, replicas: list[BackendStandin]) -> None:
        self.site = site
        self.record = record
        self.replicas = replicas
        self.count = 0

    async def send(self, entry: int, key: str) -> bool:
        """Send a request that must run once at most, and return whether it ran."""
        self.count += 1
        attempt = f'{self.count:016x}'
        headers = [
            ('Host', 'menus.example'),
            (names.ATTEMPT_ID, attempt),
            (names.DEADLINE_MS, '1500'),
            (names.API_KEY, key),
        ]
        self.record.write('sent', attempt=attempt, entry=entry, key=key)
        answer = await request(front(entry), 'POST', '/order/1', headers, b'menu', 2)
        ran = [
            run for replica in self.replicas for run in replica.runs if run.attempt_id == attempt
        ]
        self.record.write('answered', attempt=attempt, status=answer.status)
        for run in ran:
            self.record.write('ran', attempt=attempt, tenant=run.organisation or '(none)')
        return bool(ran)


async def judge(record: Record) -> bool:
    """Run the case."""
    async with Site() as site:
        replicas = []
        for number in range(REPLICAS):
            replica = BackendStandin(f'p-{number}', PLAIN_SERVICE, 'west-mids-a')
            await replica.start(loopback_address(PLAIN_HOSTS, number))
            site.stack.push_async_callback(replica.stop)
            site.store.put(names.REPLICA_TABLE, replica.id, replica.row())
            replicas.append(replica)
        configuration = initial_configuration('127.0.0.1:1') | {'tenants': tenants(KEYS)}
        site.configure(configuration)
        for number in range(ENTRIES):
            site.add_entry(number).start()
        for number in range(ENTRIES):
            await site.wait_until_ready(number)
        record.write('ready', entries=[entry_address(number) for number in range(ENTRIES)])
        case = Case(site, record, replicas)
        for entry in range(ENTRIES):
            served = [await case.send(entry, key) for key in KEYS]
            if not all(served) or await case.send(entry, NEVER_HELD):
                raise RuntimeError('the keys are not checked as they should be before the case')
        if with_trouble():
            for number, kept in enumerate((KEYS[1:], ())):
                version = configuration['version'] + 1 + number
                site.configure({**configuration, 'version': version, 'tenants': tenants(kept)})
                record.write('configuration acknowledged', version=version, keys=list(kept))
                await asyncio.sleep(REVOKE_GAP_S)
        await asyncio.sleep(BOUNDS['revokeMs'] / 1000 + SLACK_S)
        broken = 0
        for _ in range(JUDGED_ROUNDS):
            for entry in range(ENTRIES):
                ran = [await case.send(entry, key) for key in KEYS]
                broken += sum(ran) if with_trouble() else 0
                broken += await case.send(entry, NEVER_HELD)
            await asyncio.sleep(ROUND_INTERVAL_S)
        record.write('requests that ran against the rule', count=broken)
        return broken > 0


main(judge, Path(__file__).parent)
