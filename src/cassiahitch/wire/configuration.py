"""Conversion between configuration changes and ``ConfigurationUpdate`` messages."""

from __future__ import annotations

from cassiahitch.controllers.changes import (
    Delta,
    Snapshot,
    decode_change,
    decode_snapshot,
    encode_change,
    encode_snapshot,
)
from cassiahitch.wire.messages import ConfigurationUpdate


def encode_update(content: Delta | Snapshot) -> ConfigurationUpdate:
    """Encode changes or a snapshot as a message.

    :param content: the changes or the snapshot.
    :return: the message.
    """
    match content:
        case Snapshot(revision=revision):
            document = encode_snapshot(content)
            return ConfigurationUpdate(0, revision, snapshot=True, document=document)
        case Delta(after=after, changes=changes, latest=latest):
            lines = b'\n'.join(encode_change(change) for change in changes)
            return ConfigurationUpdate(after, latest, snapshot=False, document=lines)


def decode_update(update: ConfigurationUpdate) -> Delta | Snapshot:
    """Decode the changes or the snapshot in a message.

    :param update: the message.
    :return: the changes or the snapshot.
    :raises ResourceError: ``configuration_row_corrupt`` if the document is invalid.
    """
    if update.snapshot:
        return decode_snapshot(update.document)
    lines = update.document.split(b'\n') if update.document else []
    changes = tuple(decode_change(line) for line in lines)
    return Delta(update.base_revision, changes, update.revision)


__all__ = (
    'decode_update',
    'encode_update',
)
