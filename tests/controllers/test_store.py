"""Tests of the configuration store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from cassiahitch.codes import Code
from cassiahitch.controllers.proposals import AcceptedChange
from cassiahitch.controllers.store import ConfigurationStore
from cassiahitch.errors import CassiahitchError, PlatformError, ResourceError
from cassiahitch.resources.models import Deployment, Model, Service, ServiceType
from cassiahitch.standins.tables import MemoryTables
from cassiahitch.stores.api import CommitConflict, CommitSuccess, Condition, Row, Write

MODEL = Model(name='menu', version='v1', origin='menu/v1', manifest='a' * 64)
SERVICE = Service(name='draft', type=ServiceType.model, idempotent=True)
DEPLOYMENT = Deployment(name='draft', service='draft', model='menu', replicas=3)

Transaction = tuple[tuple[Condition, ...], tuple[Write, ...]]
Check = Callable[[ConfigurationStore, MemoryTables], Awaitable[None]]


def run(check: Check) -> None:
    tables = MemoryTables(random.Random(3))
    asyncio.run(check(ConfigurationStore(tables), tables))  # type: ignore[arg-type]


async def code_of(call: Awaitable[object]) -> Code:
    try:
        await call
    except CassiahitchError as error:
        return error.code
    return Code.ok


def test_every_change_raises_the_global_revision_by_one() -> None:
    async def check(store: ConfigurationStore, tables: MemoryTables) -> None:
        first = await store.create(MODEL, 'c1')
        second = await store.create(SERVICE, 'c2')
        third = await store.put(MODEL.model_copy(update={'version': 'v2'}), 1, 'c3')
        fourth = await store.delete('Service/draft', 2, 'c4')
        revisions = [accepted.revision for accepted in (first, second, third, fourth)]
        assert revisions == [1, 2, 3, 4]
        delta = await store.changes(1)
        assert [change.revision for change in delta.changes] == [2, 3, 4]
        assert delta.changes[-1].document is None
        assert [change.key for change in (await store.snapshot()).resources] == ['Model/menu']

    run(check)


def test_refusals_have_codes_and_change_nothing() -> None:
    async def check(store: ConfigurationStore, tables: MemoryTables) -> None:
        assert await code_of(store.create(DEPLOYMENT, 'd0')) is Code.resource_missing
        await store.create(MODEL, 'c1')
        await store.create(SERVICE, 'c2')
        await store.create(DEPLOYMENT, 'c3')
        refusals = (
            (store.create(MODEL, 'r1'), Code.resource_exists),
            (store.put(MODEL, 7, 'r2'), Code.revision_conflict),
            (store.delete('Model/other', 1, 'r3'), Code.resource_missing),
            (store.delete('Model/menu', 1, 'r4'), Code.resource_in_use),
            (store.delete('Service/draft', 2, 'r5'), Code.resource_in_use),
            (store.put(SERVICE, 2, 'c3'), Code.revision_conflict),
            (store.put(SERVICE, 2, 'no/slash'), Code.resource_invalid),
        )
        for call, code in refusals:
            assert await code_of(call) is code
        assert await store.revision() == 3

    run(check)


def test_one_of_concurrent_replacements_succeeds() -> None:
    async def check(store: ConfigurationStore, tables: MemoryTables) -> None:
        await store.create(MODEL, 'c1')
        calls = [
            code_of(store.put(MODEL.model_copy(update={'version': f'v{index}'}), 1, f'r{index}'))
            for index in range(8)
        ]
        codes = await asyncio.gather(*calls)
        assert codes.count(Code.ok) == 1
        assert codes.count(Code.revision_conflict) == 7
        assert await store.revision() == 2

    run(check)


def test_operators_of_different_resources_all_succeed() -> None:
    async def check(store: ConfigurationStore, tables: MemoryTables) -> None:
        calls = [
            store.create(MODEL.model_copy(update={'name': f'm{index}'}), f'c{index}')
            for index in range(12)
        ]
        accepted = await asyncio.gather(*calls)
        assert sorted(change.revision for change in accepted) == list(range(1, 13))

    run(check)


def test_lost_reply_is_resolved_by_the_change_id() -> None:
    async def check(store: ConfigurationStore, tables: MemoryTables) -> None:
        tables.faults.lost_share = 1
        assert await store.create(MODEL, 'c1') == AcceptedChange(1, 'Model/menu')
        again = await store.put(MODEL, 1, 'c2')
        assert again == await store.put(MODEL, 1, 'c2')
        assert await store.revision() == 2
        assert tables.counters.lost == 2

    run(check)


class LateTables(MemoryTables):
    """Loses the reply to the first commit and applies that commit right before a later read."""

    def __init__(self, commit_on_read: str) -> None:
        super().__init__()
        self.commit_on_read = commit_on_read
        self.lost_commits: list[Transaction] = []
        self.lose_next = True

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> CommitSuccess | CommitConflict:
        if self.lose_next:
            self.lose_next = False
            self.lost_commits.append((conditions, writes))
            raise PlatformError(Code.store_outcome_unknown, 'late')
        return await super().commit(conditions, writes)

    async def read(self, table: str, key: str) -> Row | None:
        if self.lost_commits and self.commit_on_read == 'down':
            self.faults.down = True
        if self.lost_commits and table == self.commit_on_read:
            await self.commit(*self.lost_commits.pop())
        return await super().read(table, key)


@pytest.mark.parametrize(
    'read_table',
    ['configuration', 'configuration-change-ids', 'configuration-resources', 'never'],
)
def test_late_commit_is_not_reported_as_a_conflict(read_table: str) -> None:
    store = ConfigurationStore(LateTables(read_table))
    assert asyncio.run(store.create(MODEL, 'c1')) == AcceptedChange(1, 'Model/menu')
    assert asyncio.run(store.revision()) == 1


def test_outage_after_a_lost_reply_is_reported_as_unknown() -> None:
    store = ConfigurationStore(LateTables('down'))
    assert asyncio.run(code_of(store.create(MODEL, 'c1'))) is Code.store_outcome_unknown


def test_snapshot_is_of_one_revision_while_operators_write() -> None:
    async def check(store: ConfigurationStore, tables: MemoryTables) -> None:
        async def write() -> None:
            for index in range(40):
                await store.create(MODEL.model_copy(update={'name': f'm{index}'}), f'c{index}')
                if index % 3 == 2:
                    await store.delete(f'Model/m{index}', await store.revision(), f'd{index}')

        writer = asyncio.create_task(write())
        while not writer.done():
            snapshot = await store.snapshot()
            expected: set[str] = set()
            for applied in (await store.changes(0)).changes[: snapshot.revision]:
                expected.discard(applied.key)
                if applied.document is not None:
                    expected.add(applied.key)
            assert {change.key for change in snapshot.resources} == expected
        await writer

    run(check)


def test_compaction_is_bounded_and_reported_to_watchers() -> None:
    async def check(store: ConfigurationStore, tables: MemoryTables) -> None:
        for index in range(10):
            await store.create(MODEL.model_copy(update={'name': f'm{index}'}), f'c{index}')
        assert await store.compact(keep=4, limit=5) == 5
        assert await store.compact(keep=4, limit=5) == 1
        assert await store.compact(keep=4, limit=5) == 0
        assert await code_of(store.changes(5)) is Code.watch_too_old
        assert len((await store.changes(6)).changes) == 4
        assert len((await store.snapshot()).resources) == 10

    run(check)


def test_corrupt_row_has_code() -> None:
    async def check(store: ConfigurationStore, tables: MemoryTables) -> None:
        await store.create(MODEL, 'c1')
        await tables.commit((), (Write('configuration-resources', 'Model/menu', b'{'),))
        assert await code_of(store.get('Model/menu')) is Code.configuration_row_corrupt
        assert await code_of(store.snapshot()) is Code.configuration_row_corrupt
        await tables.commit((), (Write('configuration', 'revision', b'-1'),))
        with pytest.raises(ResourceError):
            await store.revision()

    run(check)
