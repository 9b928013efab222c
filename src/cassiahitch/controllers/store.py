"""Configuration store: resources and their changes in the platform's table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.changes import (
    Change,
    Delta,
    Snapshot,
    decode_change,
    encode_change,
)
from cassiahitch.controllers.proposals import (
    AcceptedChange,
    ProposedChange,
    StoredResource,
    check_change_id,
    conflict_error,
)
from cassiahitch.controllers.references import REFERRING_KINDS, references
from cassiahitch.errors import PlatformError, ResourceError
from cassiahitch.resources.parsing import parse_stored, resource_key
from cassiahitch.stores.api import ABSENT_VERSION, CommitSuccess, Condition, Write

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cassiahitch.resources.models import Resource
    from cassiahitch.stores.api import Row, TableService

#: Table with the single row ``revision``, which holds the global revision.
TABLE = 'configuration'
#: Table of the resources, by key; a row holds the change that last wrote the resource.
RESOURCES = 'configuration-resources'
#: Table of the changes, by revision.
CHANGES = 'configuration-changes'
#: Table of the revision and the digest of each change, by change id.
CHANGE_IDS = 'configuration-change-ids'
#: Attempts to commit a change, each of which may conflict with a change of another operator.
MAX_COMMIT_ATTEMPTS = 16
#: Rows per scan of the table service.
SCAN_ROWS = 256


class ConfigurationStore:
    """Commits changes, each in one transaction that raises the global revision by one.

    The row of a change id makes retries idempotent: after a lost reply, the change is looked
    up by its id before it is committed again.
    """

    def __init__(self, tables: TableService) -> None:
        """Create a client of the store.

        :param tables: the table service.
        """
        self.tables = tables

    async def create(self, resource: Resource, change_id: str) -> AcceptedChange:
        """Create a resource.

        :param resource: the resource.
        :param change_id: names the change; a retry with the same one succeeds.
        :return: the accepted change.
        :raises ResourceError: with ``resource_exists`` or ``resource_missing``.
        :raises PlatformError: with ``store_unavailable``, ``store_busy`` or
            ``store_outcome_unknown``.
        """
        return await self.accept(
            ProposedChange(change_id, resource_key(resource), resource, ABSENT_VERSION)
        )

    async def put(self, resource: Resource, if_match: int, change_id: str) -> AcceptedChange:
        """Replace a resource.

        :param resource: the new resource.
        :param if_match: the revision that it replaces.
        :param change_id: names the change; a retry with the same one succeeds.
        :return: the accepted change.
        :raises ResourceError: with ``revision_conflict`` or ``resource_missing``.
        :raises PlatformError: as :meth:`create`.
        """
        return await self.accept(
            ProposedChange(change_id, resource_key(resource), resource, if_match)
        )

    async def delete(self, key: str, if_match: int, change_id: str) -> AcceptedChange:
        """Delete a resource.

        :param key: its key.
        :param if_match: the revision that is deleted.
        :param change_id: names the change; a retry with the same one succeeds.
        :return: the accepted change.
        :raises ResourceError: with ``revision_conflict``, ``resource_missing`` or
            ``resource_in_use``.
        :raises PlatformError: as :meth:`create`.
        """
        return await self.accept(ProposedChange(change_id, key, None, if_match))

    async def accept(self, proposal: ProposedChange) -> AcceptedChange:
        """Commit a proposed change, unless an earlier attempt has committed it.

        :param proposal: the change.
        :return: the accepted change.
        :raises ResourceError: if the change is refused; nothing was written.
        :raises PlatformError: as :meth:`create`.
        """
        check_change_id(proposal.change_id)
        unknown_outcome: PlatformError | None = None
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                accepted = await self._try_accept(proposal)
            except PlatformError as error:
                unknown_outcome = _retryable_outcome(error, unknown_outcome)
                continue
            if accepted is not None:
                return accepted
        raise unknown_outcome or PlatformError(
            Code.store_busy, 'each attempt to commit the change conflicted with another change'
        )

    async def get(self, key: str) -> StoredResource | None:
        """Return a resource.

        :param key: its key.
        :return: the resource and its revision, or ``None``.
        :raises ResourceError: with ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        row = await self.tables.read(RESOURCES, key)
        return None if row is None else _stored(decode_change(row.content))

    async def list(
        self, kind: str, after: str = '', limit: int = SCAN_ROWS
    ) -> tuple[StoredResource, ...]:
        """Return the resources of a kind, sorted by key.

        :param kind: the kind.
        :param after: the key after which to start.
        :param limit: largest number of resources to return.
        :return: the resources.
        :raises ResourceError: with ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        rows = await self.tables.scan(RESOURCES, f'{kind}/', after, limit)
        return tuple(_stored(decode_change(row.content)) for row in rows)

    async def revision(self) -> int:
        """Return the global revision.

        :return: the revision; 0 before the first change.
        :raises ResourceError: with ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        return _revision_of(await self.tables.read(TABLE, 'revision'))

    async def changes(self, after: int, limit: int = SCAN_ROWS) -> Delta:
        """Return the changes after a revision.

        :param after: the revision.
        :param limit: largest number of changes to return.
        :return: the changes.
        :raises ResourceError: with ``watch_too_old`` if they are compacted or
            ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        latest = await self.revision()
        if latest <= after:
            return Delta(after, (), latest)
        rows = await self.tables.scan(CHANGES, '', change_row_key(after), limit)
        changes = tuple(decode_change(row.content) for row in rows)
        if not changes or changes[0].revision != after + 1:
            raise ResourceError(
                Code.watch_too_old, f'the changes after revision {after} were removed by compaction'
            )
        return Delta(after, changes, max(latest, changes[-1].revision))

    async def snapshot(self) -> Snapshot:
        """Return all resources at one revision.

        Operators may commit changes during the scan, so the changes since its start are
        applied to the scanned rows.

        :return: the snapshot.
        :raises ResourceError: with ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        revision = await self.revision()
        resources: dict[str, Change] = {}
        async for row in self._scan_all(RESOURCES, ''):
            resources[row.key] = decode_change(row.content)
        return await self._apply_later_changes(revision, resources)

    async def compact(self, keep: int, limit: int) -> int:
        """Delete the rows of the oldest changes.

        :param keep: number of newest changes to keep.
        :param limit: largest number of changes to delete.
        :return: the number of deleted changes.
        :raises ResourceError: with ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable``, ``store_busy`` or
            ``store_outcome_unknown``; deletion is idempotent.
        """
        last = await self.revision() - keep
        rows = await self.tables.scan(CHANGES, '', '', limit)
        old = [row for row in rows if decode_change(row.content).revision <= last]
        writes: list[Write] = []
        for row in old:
            writes.append(Write(CHANGES, row.key, None))
            writes.append(Write(CHANGE_IDS, decode_change(row.content).change_id, None))
        if writes:
            await self.tables.commit((), tuple(writes))
        return len(old)

    async def _try_accept(self, proposal: ProposedChange) -> AcceptedChange | None:
        """Return the accepted change, or ``None`` if another change was committed first.

        A check may fail because an earlier attempt of this change was applied late, so the
        change id is looked up once more before the refusal is raised.
        """
        revision_row = await self.tables.read(TABLE, 'revision')
        previous = await self._find_accepted(proposal)
        if previous is not None:
            return previous
        try:
            await self._check(proposal)
        except ResourceError:
            previous = await self._find_accepted(proposal)
            if previous is None:
                raise
            return previous
        return await self._commit(proposal, revision_row)

    async def _commit(
        self, proposal: ProposedChange, revision_row: Row | None
    ) -> AcceptedChange | None:
        revision = _revision_of(revision_row) + 1
        change = Change(proposal.change_id, revision, proposal.key, proposal.document)
        condition = Condition(
            TABLE, 'revision', ABSENT_VERSION if revision_row is None else revision_row.version
        )
        outcome = await self.tables.commit((condition,), _change_writes(change, proposal))
        return (
            AcceptedChange(revision, proposal.key) if isinstance(outcome, CommitSuccess) else None
        )

    async def _find_accepted(self, proposal: ProposedChange) -> AcceptedChange | None:
        row = await self.tables.read(CHANGE_IDS, proposal.change_id)
        if row is None:
            return None
        number, _, digest = row.content.partition(b' ')
        if digest.decode(errors='replace') != proposal.digest:
            detail = f'change id {proposal.change_id} was used for another change'
            raise ResourceError(Code.revision_conflict, detail)
        return AcceptedChange(_parse_revision(number), proposal.key)

    async def _check(self, proposal: ProposedChange) -> None:
        row = await self.tables.read(RESOURCES, proposal.key)
        current = ABSENT_VERSION if row is None else decode_change(row.content).revision
        if current != proposal.if_match:
            raise conflict_error(proposal, current)
        if proposal.resource is None:
            await self._check_unused(proposal.key)
            return
        for key in references(proposal.resource):
            if await self.tables.read(RESOURCES, key) is None:
                detail = f'{proposal.key} refers to {key}, which does not exist'
                raise ResourceError(Code.resource_missing, detail)

    async def _check_unused(self, key: str) -> None:
        for kind in REFERRING_KINDS:
            async for row in self._scan_all(RESOURCES, f'{kind}/'):
                if key in references(_stored(decode_change(row.content)).resource):
                    raise ResourceError(Code.resource_in_use, f'{row.key} refers to {key}')

    async def _scan_all(self, table: str, prefix: str) -> AsyncIterator[Row]:
        after = ''
        while True:
            rows = await self.tables.scan(table, prefix, after, SCAN_ROWS)
            for row in rows:
                yield row
            if len(rows) < SCAN_ROWS:
                return
            after = rows[-1].key

    async def _apply_later_changes(self, revision: int, resources: dict[str, Change]) -> Snapshot:
        delta = await self.changes(revision)
        while delta.changes:
            for change in delta.changes:
                resources.pop(change.key, None)
                if change.document is not None:
                    resources[change.key] = change
            revision = delta.changes[-1].revision
            delta = await self.changes(revision)
        return Snapshot(revision, tuple(resources[key] for key in sorted(resources)))


def change_row_key(revision: int) -> str:
    """Return the key of a change row; the order of keys is that of revisions.

    :param revision: the revision.
    :return: the key.
    """
    return f'{revision:016d}'


def _change_writes(change: Change, proposal: ProposedChange) -> tuple[Write, ...]:
    encoded = encode_change(change)
    document = None if change.document is None else encoded
    index = f'{change.revision} {proposal.digest}'.encode()
    return (
        Write(TABLE, 'revision', str(change.revision).encode()),
        Write(RESOURCES, change.key, document),
        Write(CHANGES, change_row_key(change.revision), encoded),
        Write(CHANGE_IDS, change.change_id, index),
    )


def _retryable_outcome(
    error: PlatformError, unknown_outcome: PlatformError | None
) -> PlatformError:
    """Return an error that the next attempt may resolve, and raise any other.

    If an earlier attempt has an unknown outcome, its error is raised in place of the later
    one, since the change may have been committed.
    """
    if error.code is Code.store_outcome_unknown:
        return error
    raise unknown_outcome or error


def _stored(change: Change) -> StoredResource:
    return StoredResource(change.revision, parse_stored(change.document or b''))


def _revision_of(row: Row | None) -> int:
    return 0 if row is None else _parse_revision(row.content)


def _parse_revision(raw: bytes) -> int:
    if raw.isdigit():
        return int(raw)
    raise ResourceError(
        Code.configuration_row_corrupt, 'the stored revision is not a decimal number'
    )


__all__ = (
    'ConfigurationStore',
    'change_row_key',
)
