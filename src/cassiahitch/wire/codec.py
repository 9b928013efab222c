"""Encoding of messages as Thrift frames."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.wire import messages as catalogue
from cassiahitch.wire.gen.messages import ttypes
from cassiahitch.wire.structs import MAX_ELEMENTS, MAX_FIELD_BYTES, StructCodec

if TYPE_CHECKING:
    from cassiahitch.wire.messages import Message

_CODEC = StructCodec(ttypes, catalogue, ttypes.Frame)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its number, the number of the call it replies to, and the sender's clock."""

    id: int
    reply_to: int
    clock: int
    message: Message


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as the body of a frame.

    :param envelope: the message with its numbers and timestamp.
    :return: the body.
    """
    return _CODEC.encode(
        envelope.message,
        id=envelope.id,
        reply_to=envelope.reply_to,
        clock=envelope.clock,
    )


def decode(body: bytes) -> Envelope:
    """Decode the body of a frame.

    :param body: the body, as :func:`encode` returned it at the sender.
    :return: the message with its numbers and timestamp.
    :raises WireError: ``frame_corrupt`` or ``message_unknown``.
    """
    frame, message = _CODEC.decode(body)
    numbers = (frame.id, frame.reply_to, frame.clock)
    if not all(isinstance(number, int) for number in numbers):
        raise WireError(Code.frame_corrupt, 'a frame lacks its number, reply number or clock')
    return Envelope(*numbers, message)


__all__ = (
    'MAX_ELEMENTS',
    'MAX_FIELD_BYTES',
    'Envelope',
    'decode',
    'encode',
)
