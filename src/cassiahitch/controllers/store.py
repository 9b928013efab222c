"""The configuration in the platform's table service."""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.changes import (
    Change,
    Delta,
    Snapshot,
    decode_change,
    encode_change,
)
from cassiahitch.controllers.references import REFERRING_KINDS, references
from cassiahitch.errors import PlatformError, ResourceError
from cassiahitch.resources.parsing import parse_stored, resource_bytes, resource_key
from cassiahitch.stores.api import ABSENT_VERSION, CommitSuccess, Condition, Write

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cassiahitch.resources.models import Resource
    from cassiahitch.stores.api import Row, TableService

#: Table of the rows ``revision`` and ``floor``.
TABLE = 'configuration'
#: Table of the resources, by key; each row holds the change that set it.
RESOURCES = 'configuration-resources'
#: Table of the changes, by revision.
CHANGES = 'configuration-changes'
#: Table of the revision of each change, by change id.
CHANGE_IDS = 'configuration-change-ids'
#: Attempts to commit a change while other operators commit theirs.
MAX_ATTEMPTS = 16
#: Form of a change id.
CHANGE_ID = re.compile('[A-Za-z0-9._-]{1,64}')
#: Rows that one scan asks for.
PAGE = 256


@dataclass(frozen=True, slots=True)
class Accepted:
    """A change that is committed; ``revision`` is the one that it raised."""

    revision: int
    key: str


@dataclass(frozen=True, slots=True)
class Stored:
    """A resource and the revision that set it."""

    revision: int
    resource: Resource


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that an operator asks for; ``if_match`` is the revision it replaces."""

    change_id: str
    key: str
    resource: Resource | None
    if_match: int

    @property
    def document(self) -> bytes | None:
        """The resource in JSON, or nothing for a deletion."""
        return None if self.resource is None else resource_bytes(self.resource)

    @property
    def digest(self) -> str:
        """Digest that tells whether a change id is used for another change."""
        digest = sha256(f'{self.key}\n{self.if_match}\n'.encode())
        digest.update(self.document or b'-')
        return digest.hexdigest()


class ConfigurationStore:
    """Accepts changes, each in one transaction that raises the one global revision."""

    def __init__(self, tables: TableService) -> None:
        """Create the store.

        :param tables: the table service.
        """
        self.tables = tables

    async def create(self, resource: Resource, change_id: str) -> Accepted:
        """Create a resource.

        :param resource: the resource.
        :param change_id: names the change; a retry with the same one succeeds.
        :return: the accepted change.
        :raises ResourceError: with ``resource_exists`` or ``resource_missing``.
        :raises PlatformError: with ``store_unavailable``, ``store_busy`` or
            ``store_outcome_unknown``.
        """
        return await self.accept(
            Proposal(change_id, resource_key(resource), resource, ABSENT_VERSION)
        )

    async def put(self, resource: Resource, if_match: int, change_id: str) -> Accepted:
        """Replace a resource.

        :param resource: the new resource.
        :param if_match: the revision that it replaces.
        :param change_id: names the change; a retry with the same one succeeds.
        :return: the accepted change.
        :raises ResourceError: with ``revision_conflict`` or ``resource_missing``.
        :raises PlatformError: as :meth:`create`.
        """
        return await self.accept(Proposal(change_id, resource_key(resource), resource, if_match))

    async def delete(self, key: str, if_match: int, change_id: str) -> Accepted:
        """Delete a resource.

        :param key: its key.
        :param if_match: the revision that is deleted.
        :param change_id: names the change; a retry with the same one succeeds.
        :return: the accepted change.
        :raises ResourceError: with ``revision_conflict``, ``resource_missing`` or
            ``resource_in_use``.
        :raises PlatformError: as :meth:`create`.
        """
        return await self.accept(Proposal(change_id, key, None, if_match))

    async def accept(self, proposal: Proposal) -> Accepted:
        """Commit a proposal, or find that it is committed.

        :param proposal: the change.
        :return: the accepted change.
        :raises ResourceError: if it is refused; nothing was changed.
        :raises PlatformError: as :meth:`create`.
        """
        check_change_id(proposal.change_id)
        lost: PlatformError | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                accepted = await self._attempt(proposal)
            except PlatformError as error:
                lost = _still_unclear(error, lost)
                continue
            if accepted is not None:
                return accepted
        raise lost or PlatformError(Code.store_busy, 'too many operators change resources')

    async def get(self, key: str) -> Stored | None:
        """Return a resource.

        :param key: its key.
        :return: the resource and its revision, or nothing.
        :raises ResourceError: with ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        row = await self.tables.read(RESOURCES, key)
        return None if row is None else _stored(decode_change(row.content))

    async def list(self, kind: str, after: str = '', limit: int = PAGE) -> tuple[Stored, ...]:
        """Return the resources of a kind in the order of their keys.

        :param kind: the kind.
        :param after: the key after which to start.
        :param limit: how many to return at most.
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
        return _number(await self.tables.read(TABLE, 'revision'))

    async def changes(self, after: int, limit: int = PAGE) -> Delta:
        """Return the changes after a revision.

        :param after: the revision.
        :param limit: how many changes to return at most.
        :return: the changes.
        :raises ResourceError: with ``watch_too_old`` if they are compacted, or
            ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        latest = await self.revision()
        if latest <= after:
            return Delta(after, (), latest)
        rows = await self.tables.scan(CHANGES, '', change_row(after), limit)
        changes = tuple(decode_change(row.content) for row in rows)
        if not changes or changes[0].revision != after + 1:
            raise ResourceError(Code.watch_too_old, f'changes after {after} are compacted')
        return Delta(after, changes, max(latest, changes[-1].revision))

    async def snapshot(self) -> Snapshot:
        """Return all resources at one revision.

        Reads rows while operators may change them, then applies the changes that were
        accepted in the meantime.

        :return: the snapshot.
        :raises ResourceError: with ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable`` or ``store_busy``.
        """
        revision = await self.revision()
        found: dict[str, Change] = {}
        async for row in self._scan_all(RESOURCES, ''):
            found[row.key] = decode_change(row.content)
        return await self._catch_up(revision, found)

    async def compact(self, keep: int, limit: int) -> int:
        """Delete the oldest change rows.

        :param keep: how many of the newest changes to keep.
        :param limit: how many to delete at most.
        :return: how many were deleted.
        :raises ResourceError: with ``configuration_row_corrupt``.
        :raises PlatformError: with ``store_unavailable``, ``store_busy`` or
            ``store_outcome_unknown``; deleting again is harmless.
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

    async def _attempt(self, proposal: Proposal) -> Accepted | None:
        """Return the accepted change, or nothing if another change came first."""
        head = await self.tables.read(TABLE, 'revision')
        known = await self._find(proposal)
        if known is not None:
            return known
        try:
            await self._check(proposal)
        except ResourceError:
            known = await self._find(proposal)
            if known is None:
                raise
            return known
        return await self._commit(proposal, head)

    async def _commit(self, proposal: Proposal, head: Row | None) -> Accepted | None:
        revision = _number(head) + 1
        change = Change(proposal.change_id, revision, proposal.key, proposal.document)
        condition = Condition(TABLE, 'revision', ABSENT_VERSION if head is None else head.version)
        outcome = await self.tables.commit((condition,), _writes(change, proposal))
        return Accepted(revision, proposal.key) if isinstance(outcome, CommitSuccess) else None

    async def _find(self, proposal: Proposal) -> Accepted | None:
        row = await self.tables.read(CHANGE_IDS, proposal.change_id)
        if row is None:
            return None
        number, _, digest = row.content.partition(b' ')
        if digest.decode(errors='replace') != proposal.digest:
            detail = f'change id {proposal.change_id} names another change'
            raise ResourceError(Code.revision_conflict, detail)
        return Accepted(_parse_number(number), proposal.key)

    async def _check(self, proposal: Proposal) -> None:
        row = await self.tables.read(RESOURCES, proposal.key)
        found = ABSENT_VERSION if row is None else decode_change(row.content).revision
        if found != proposal.if_match:
            raise _conflict(proposal, found)
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
            rows = await self.tables.scan(table, prefix, after, PAGE)
            for row in rows:
                yield row
            if len(rows) < PAGE:
                return
            after = rows[-1].key

    async def _catch_up(self, revision: int, found: dict[str, Change]) -> Snapshot:
        delta = await self.changes(revision)
        while delta.changes:
            for change in delta.changes:
                found.pop(change.key, None)
                if change.document is not None:
                    found[change.key] = change
            revision = delta.changes[-1].revision
            delta = await self.changes(revision)
        return Snapshot(revision, tuple(found[key] for key in sorted(found)))


def check_change_id(change_id: str) -> None:
    """Check the form of a change id.

    :param change_id: what an operator sent.
    :raises ResourceError: with ``resource_invalid``.
    """
    if not CHANGE_ID.fullmatch(change_id):
        detail = f'change id: {CHANGE_ID.pattern} is expected'
        raise ResourceError(Code.resource_invalid, detail)


def change_row(revision: int) -> str:
    """Return the key of a change row; keys sort as their revisions.

    :param revision: the revision.
    :return: the key.
    """
    return f'{revision:016d}'


def _writes(change: Change, proposal: Proposal) -> tuple[Write, ...]:
    encoded = encode_change(change)
    document = None if change.document is None else encoded
    index = f'{change.revision} {proposal.digest}'.encode()
    return (
        Write(TABLE, 'revision', str(change.revision).encode()),
        Write(RESOURCES, change.key, document),
        Write(CHANGES, change_row(change.revision), encoded),
        Write(CHANGE_IDS, change.change_id, index),
    )


def _still_unclear(error: PlatformError, lost: PlatformError | None) -> PlatformError:
    """Return the lost answer that the next attempt settles; raise what cannot be settled."""
    if error.code is Code.store_outcome_unknown:
        return error
    raise lost or error


def _conflict(proposal: Proposal, found: int) -> ResourceError:
    if proposal.if_match == ABSENT_VERSION:
        return ResourceError(Code.resource_exists, f'{proposal.key} has revision {found}')
    if found == ABSENT_VERSION:
        return ResourceError(Code.resource_missing, f'{proposal.key} does not exist')
    detail = f'{proposal.key} has revision {found}, not {proposal.if_match}'
    return ResourceError(Code.revision_conflict, detail)


def _stored(change: Change) -> Stored:
    return Stored(change.revision, parse_stored(change.document or b''))


def _number(row: Row | None) -> int:
    return 0 if row is None else _parse_number(row.content)


def _parse_number(raw: bytes) -> int:
    if raw.isdigit():
        return int(raw)
    raise ResourceError(Code.configuration_row_corrupt, 'a revision is not a number')


__all__ = (
    'Accepted',
    'ConfigurationStore',
    'Stored',
    'change_row',
    'check_change_id',
)
