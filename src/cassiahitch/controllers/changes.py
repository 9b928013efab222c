"""Changes of configuration and the messages that carry them."""

from __future__ import annotations

import json
from dataclasses import dataclass

from cassiahitch.codes import Code
from cassiahitch.errors import ResourceError


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change; a missing ``document`` deletes the resource ``key``."""

    change_id: str
    revision: int
    key: str
    document: bytes | None

    @property
    def size(self) -> int:
        """Bytes that the change needs in a message, without the framing."""
        return len(self.change_id) + len(self.key) + len(self.document or b'')


@dataclass(frozen=True, slots=True)
class Delta:
    """Consecutive changes after the revision ``after``; ``latest`` is the sender's revision."""

    after: int
    changes: tuple[Change, ...]
    latest: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources at a revision, each as the change that set it."""

    revision: int
    resources: tuple[Change, ...]


def encode_change(change: Change) -> bytes:
    """Serialise a change.

    :param change: the change.
    :return: JSON.
    """
    document = None if change.document is None else change.document.decode()
    fields = [change.change_id, change.revision, change.key, document]
    return json.dumps(fields, ensure_ascii=False, separators=(',', ':')).encode()


def decode_change(raw: bytes) -> Change:
    """Parse a change.

    :param raw: JSON.
    :return: the change.
    :raises ResourceError: with ``configuration_row_corrupt``.
    """
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise _corrupt('a change is not JSON') from error
    match fields:
        case [str(change_id), int(revision), str(key), str() | None as document]:
            encoded = None if document is None else document.encode(errors='replace')
            return Change(change_id, revision, key, encoded)
        case _:
            raise _corrupt('a change has other fields than expected')


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Serialise a snapshot, one line for its revision and count and one for each resource.

    :param snapshot: the snapshot.
    :return: lines of JSON.
    """
    head = json.dumps([snapshot.revision, len(snapshot.resources)]).encode()
    return b'\n'.join((head, *(encode_change(change) for change in snapshot.resources)))


def decode_snapshot(raw: bytes) -> Snapshot:
    """Parse a snapshot.

    :param raw: lines of JSON.
    :return: the snapshot.
    :raises ResourceError: with ``configuration_row_corrupt``.
    """
    head, *lines = raw.split(b'\n')
    try:
        fields = json.loads(head)
    except (ValueError, RecursionError) as error:
        raise _corrupt('the head of a snapshot is not JSON') from error
    match fields:
        case [int(revision), int(count)] if count == len(lines):
            return Snapshot(revision, tuple(decode_change(line) for line in lines))
        case _:
            raise _corrupt('a snapshot is cut short')


def _corrupt(detail: str) -> ResourceError:
    return ResourceError(Code.configuration_row_corrupt, detail)


__all__ = (
    'Change',
    'Delta',
    'Snapshot',
    'decode_change',
    'decode_snapshot',
    'encode_change',
    'encode_snapshot',
)
