"""Changes of the configuration that operators propose, and what became of them."""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import ResourceError
from cassiahitch.resources.parsing import resource_bytes
from cassiahitch.stores.api import ABSENT_VERSION

if TYPE_CHECKING:
    from cassiahitch.resources.models import Resource

#: Valid change ids.
CHANGE_ID_PATTERN = re.compile('[A-Za-z0-9._-]{1,64}')


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A committed change; ``revision`` is the global revision that it created."""

    revision: int
    key: str


@dataclass(frozen=True, slots=True)
class StoredResource:
    """A resource and the revision of the change that last wrote it."""

    revision: int
    resource: Resource


@dataclass(frozen=True, slots=True)
class ProposedChange:
    """A change that an operator requests.

    ``if_match`` is the revision that the change replaces, or ``ABSENT_VERSION`` for a new resource.
    """

    change_id: str
    key: str
    resource: Resource | None
    if_match: int

    @property
    def document(self) -> bytes | None:
        """The resource in JSON, or ``None`` for a deletion."""
        return None if self.resource is None else resource_bytes(self.resource)

    @property
    def digest(self) -> str:
        """Digest that detects the reuse of a change id for another change."""
        digest = sha256(f'{self.key}\n{self.if_match}\n'.encode())
        digest.update(self.document or b'-')
        return digest.hexdigest()


def check_change_id(change_id: str) -> None:
    """Check that a change id is valid.

    :param change_id: the change id that an operator sent.
    :raises ResourceError: with ``resource_invalid``.
    """
    if not CHANGE_ID_PATTERN.fullmatch(change_id):
        detail = f'the change id must match {CHANGE_ID_PATTERN.pattern} completely'
        raise ResourceError(Code.resource_invalid, detail)


def conflict_error(proposal: ProposedChange, current: int) -> ResourceError:
    """Return the error for a change that does not replace the current revision.

    :param proposal: the change.
    :param current: revision of the resource, ``ABSENT_VERSION`` if it does not exist.
    :return: ``resource_exists``, ``resource_missing`` or ``revision_conflict``.
    """
    if proposal.if_match == ABSENT_VERSION:
        return ResourceError(Code.resource_exists, f'{proposal.key} has revision {current}')
    if current == ABSENT_VERSION:
        return ResourceError(Code.resource_missing, f'{proposal.key} does not exist')
    detail = f'{proposal.key} has revision {current}, not {proposal.if_match}'
    return ResourceError(Code.revision_conflict, detail)


__all__ = (
    'AcceptedChange',
    'ProposedChange',
    'StoredResource',
    'check_change_id',
    'conflict_error',
)
