"""The configuration that one node has applied."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.controllers.changes import Change, Delta, Snapshot
from cassiahitch.errors import ResourceError
from cassiahitch.resources.parsing import parse_stored, resource_key

if TYPE_CHECKING:
    from cassiahitch.resources.models import Resource

#: Most bytes of recent changes that a node keeps to send as deltas to its peers.
MAX_RECENT_BYTES = 1_048_576
#: Most recent changes that a node keeps to send as deltas to its peers.
MAX_RECENT_CHANGES = 4096


@dataclass(frozen=True, slots=True)
class RevisionApplied:
    """A higher revision was applied at the monotonic time ``at`` in seconds.

    ``keys`` are the keys of the changed resources.
    """

    revision: int
    keys: tuple[str, ...]
    at: float


@dataclass(frozen=True, slots=True)
class PullChanges:
    """Changes after revision ``after`` are missing; pull them from the sender."""

    after: int


@dataclass(frozen=True, slots=True)
class UpdateRejected:
    """A snapshot or delta was invalid and none of it was applied."""

    code: Code
    detail: str


ConfigurationAction = RevisionApplied | PullChanges | UpdateRejected


class Configuration:
    """The resources at the revision in force; snapshots and deltas only ever raise it."""

    def __init__(self, max_recent_bytes: int = MAX_RECENT_BYTES) -> None:
        """Create an empty configuration.

        :param max_recent_bytes: most bytes of recent changes to keep for peers.
        """
        self.max_recent_bytes = max_recent_bytes
        self.revision = 0
        self.ready = False
        self.in_force_since: float = 0
        self.resources: dict[str, Resource] = {}
        self.documents: dict[str, Change] = {}
        self.recent: deque[Change] = deque()
        self.recent_bytes = 0

    def apply(self, message: Snapshot | Delta, now: float) -> tuple[ConfigurationAction, ...]:
        """Apply a snapshot or the new part of a delta; older revisions are ignored.

        :param message: update from the table service, a peer or the archive.
        :param now: monotonic time in seconds.
        :return: the applied revision, the changes to pull, or the rejection.
        """
        try:
            match message:
                case Snapshot():
                    return self._apply_snapshot(message, now)
                case Delta():
                    return self._apply_delta(message, now)
        except ResourceError as error:
            return (UpdateRejected(error.code, error.detail),)

    def update_since(self, revision: int, max_bytes: int) -> Delta | Snapshot:
        """Return the update for a peer that has applied a revision.

        :param revision: the revision of the peer.
        :param max_bytes: most bytes of changes in a delta, which holds at least one change.
        :return: a delta, or a snapshot if the changes that the peer needs are not kept.
        """
        if revision >= self.revision:
            return Delta(revision, (), self.revision)
        first = self.recent[0].revision if self.recent else self.revision + 1
        if revision + 1 < first:
            return self.snapshot()
        return Delta(revision, self._recent_from(revision - first + 1, max_bytes), self.revision)

    def snapshot(self) -> Snapshot:
        """Return all resources at the current revision.

        :return: the snapshot.
        """
        return Snapshot(self.revision, tuple(self.documents.values()))

    def _apply_snapshot(self, message: Snapshot, now: float) -> tuple[ConfigurationAction, ...]:
        if self.ready and message.revision <= self.revision:
            return ()
        parsed = {change.key: _parse(change) for change in message.resources}
        _check_resource_revisions(message)
        changed = _changed_keys(self.documents, message.resources)
        self.resources = {key: resource for key, resource in parsed.items() if resource}
        self.documents = {change.key: change for change in message.resources}
        self.recent.clear()
        self.recent_bytes = 0
        return (self._advance_revision(message.revision, changed, now),)

    def _apply_delta(self, message: Delta, now: float) -> tuple[ConfigurationAction, ...]:
        if message.latest > self.revision and message.after > self.revision:
            return (PullChanges(self.revision),)
        _check_consecutive(message)
        new_changes = tuple(change for change in message.changes if change.revision > self.revision)
        parsed = tuple(_parse(change) for change in new_changes)
        for accepted, resource in zip(new_changes, parsed, strict=True):
            self._apply_change(accepted, resource)
        actions: list[ConfigurationAction] = []
        if new_changes:
            keys = tuple(sorted({change.key for change in new_changes}))
            actions.append(self._advance_revision(new_changes[-1].revision, keys, now))
        if message.latest > self.revision:
            actions.append(PullChanges(self.revision))
        return tuple(actions)

    def _advance_revision(
        self, revision: int, keys: tuple[str, ...], now: float
    ) -> RevisionApplied:
        self.revision = revision
        self.ready = True
        self.in_force_since = now
        return RevisionApplied(revision, keys, now)

    def _apply_change(self, change: Change, resource: Resource | None) -> None:
        self.resources.pop(change.key, None)
        self.documents.pop(change.key, None)
        if resource is not None:
            self.resources[change.key] = resource
            self.documents[change.key] = change
        self.recent.append(change)
        self.recent_bytes += change.size
        while self.recent_bytes > self.max_recent_bytes or len(self.recent) > MAX_RECENT_CHANGES:
            self.recent_bytes -= self.recent.popleft().size

    def _recent_from(self, start: int, max_bytes: int) -> tuple[Change, ...]:
        chosen: list[Change] = []
        size = 0
        for change in islice(self.recent, start, None):
            size += change.size
            if chosen and size > max_bytes:
                break
            chosen.append(change)
        return tuple(chosen)


def _check_resource_revisions(message: Snapshot) -> None:
    if max((change.revision for change in message.resources), default=0) > message.revision:
        detail = 'a resource has a higher revision than its snapshot'
        raise ResourceError(Code.configuration_row_corrupt, detail)


def _check_consecutive(message: Delta) -> None:
    first = message.after + 1
    expected = range(first, first + len(message.changes))
    if tuple(expected) != tuple(change.revision for change in message.changes):
        detail = f'the changes after {message.after} are not consecutive'
        raise ResourceError(Code.configuration_row_corrupt, detail)


def _parse(change: Change) -> Resource | None:
    if change.document is None:
        return None
    resource = parse_stored(change.document)
    if resource_key(resource) != change.key:
        detail = f'{change.key} has the document of {resource_key(resource)}'
        raise ResourceError(Code.configuration_row_corrupt, detail)
    return resource


def _changed_keys(before: dict[str, Change], after: tuple[Change, ...]) -> tuple[str, ...]:
    new = {change.key: change.revision for change in after}
    old = {key: change.revision for key, change in before.items()}
    return tuple(sorted(key for key in new.keys() | old.keys() if new.get(key) != old.get(key)))


__all__ = (
    'MAX_RECENT_BYTES',
    'PullChanges',
    'Configuration',
    'ConfigurationAction',
    'RevisionApplied',
    'UpdateRejected',
)
