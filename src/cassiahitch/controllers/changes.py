"""Configuration changes, the messages that carry them and their JSON encoding."""

from __future__ import annotations

import json
from dataclasses import dataclass

from cassiahitch.codes import Code
from cassiahitch.errors import ResourceError


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted change of one resource; ``document`` is ``None`` for a deletion."""

    change_id: str
    revision: int
    key: str
    document: bytes | None

    @property
    def size(self) -> int:
        """Size in bytes in a message, without the framing."""
        return len(self.change_id) + len(self.key) + len(self.document or b'')


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes that follow revision ``after``; ``latest`` is the sender's revision."""

    after: int
    changes: tuple[Change, ...]
    latest: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources at one revision, each as the change that last wrote it."""

    revision: int
    resources: tuple[Change, ...]


def encode_change(change: Change) -> bytes:
    """Serialise a change.

    :param change: the change.
    :return: a JSON array.
    """
    document = None if change.document is None else change.document.decode()
    fields = [change.change_id, change.revision, change.key, document]
    return json.dumps(fields, ensure_ascii=False, separators=(',', ':')).encode()


def decode_change(raw: bytes) -> Change:
    """Parse a change.

    :param raw: output of :func:`encode_change`.
    :return: the change.
    :raises ResourceError: with ``configuration_row_corrupt``.
    """
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise _corrupt('the change is not valid JSON') from error
    match fields:
        case [str(change_id), int(revision), str(key), str() | None as document]:
            encoded = None if document is None else document.encode(errors='replace')
            return Change(change_id, revision, key, encoded)
        case _:
            raise _corrupt('the change does not have the expected four fields')


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Serialise a snapshot: a header line with revision and count, then a line per resource.

    :param snapshot: the snapshot.
    :return: lines of JSON.
    """
    head = json.dumps([snapshot.revision, len(snapshot.resources)]).encode()
    return b'\n'.join((head, *(encode_change(change) for change in snapshot.resources)))


def decode_snapshot(raw: bytes) -> Snapshot:
    """Parse a snapshot.

    :param raw: output of :func:`encode_snapshot`.
    :return: the snapshot.
    :raises ResourceError: with ``configuration_row_corrupt``.
    """
    head, *lines = raw.split(b'\n')
    try:
        fields = json.loads(head)
    except (ValueError, RecursionError) as error:
        raise _corrupt('the header line of the snapshot is not valid JSON') from error
    match fields:
        case [int(revision), int(count)] if count == len(lines):
            return Snapshot(revision, tuple(decode_change(line) for line in lines))
        case _:
            raise _corrupt('the snapshot header is invalid or its resource count does not match')


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
