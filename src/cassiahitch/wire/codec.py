"""Encoding of messages as Thrift frames."""

from __future__ import annotations

from dataclasses import dataclass, fields, is_dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, get_args, get_origin, get_type_hints

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.wire import messages as catalogue
from cassiahitch.wire.gen.messages import ttypes

if TYPE_CHECKING:
    from cassiahitch.wire.messages import Message

#: Largest string or binary field of a frame, in bytes.
MAX_FIELD_BYTES = 16 * 1024 * 1024
#: Largest number of elements of a list in a frame.
MAX_ELEMENTS = 65_536

_PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FIELD_BYTES,
    container_length_limit=MAX_ELEMENTS,
)
_DECODE_ERRORS = (EOFError, OverflowError, TException, TypeError, ValueError)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its number, the number that it replies to, and the sender's clock."""

    id: int
    reply_to: int
    clock: int
    message: Message


@dataclass(frozen=True, slots=True)
class FieldSchema:
    """Type of a field: that of its elements if it is repeated."""

    name: str
    type: type
    repeated: bool


def _field_schema(name: str, hint: Any) -> FieldSchema:
    if get_origin(hint) is tuple:
        return FieldSchema(name, get_args(hint)[0], repeated=True)
    return FieldSchema(name, hint, repeated=False)


def _schema(message_type: type) -> tuple[FieldSchema, ...]:
    hints = get_type_hints(message_type)
    return tuple(_field_schema(field.name, hints[field.name]) for field in fields(message_type))


def _frame_fields() -> dict[str, type]:
    specs = [spec for spec in ttypes.Frame.thrift_spec if spec is not None]
    return {
        spec[2]: getattr(catalogue, spec[3][0].__name__)
        for spec in specs
        if spec[3] and spec[0] > 3
    }


def _schemas() -> dict[type, tuple[FieldSchema, ...]]:
    return {
        message_type: _schema(message_type)
        for message_type in vars(catalogue).values()
        if is_dataclass(message_type) and isinstance(message_type, type)
    }


_TYPE_BY_FIELD = MappingProxyType(_frame_fields())
_FIELD_BY_TYPE = MappingProxyType({own: name for name, own in _TYPE_BY_FIELD.items()})
_SCHEMAS = MappingProxyType(_schemas())


def _to_thrift(message: Any) -> Any:
    struct = getattr(ttypes, type(message).__name__)()
    for schema in _SCHEMAS[type(message)]:
        content = getattr(message, schema.name)
        if schema.type in _SCHEMAS:
            content = [_to_thrift(element) for element in content]
        elif schema.repeated:
            content = list(content)
        setattr(struct, schema.name, content)
    return struct


def _checked(content: Any, schema: FieldSchema) -> Any:
    if schema.type in _SCHEMAS:
        return _from_thrift(content, schema.type)
    if isinstance(content, schema.type):
        return content
    raise WireError(Code.frame_corrupt, f'field {schema.name} is missing or of a wrong type')


def _from_thrift(struct: Any, message_type: type) -> Any:
    contents: dict[str, Any] = {}
    for schema in _SCHEMAS[message_type]:
        content = getattr(struct, schema.name)
        if schema.repeated:
            contents[schema.name] = tuple(_checked(element, schema) for element in content or ())
        else:
            contents[schema.name] = _checked(content, schema)
    return message_type(**contents)


def encode(envelope: Envelope) -> bytes:
    """Encode a message.

    :param envelope: the message with its numbers.
    :return: the body of a frame.
    """
    frame = ttypes.Frame(id=envelope.id, reply_to=envelope.reply_to, clock=envelope.clock)
    setattr(frame, _FIELD_BY_TYPE[type(envelope.message)], _to_thrift(envelope.message))
    return bytes(serialize(frame, _PROTOCOL))


def decode(body: bytes) -> Envelope:
    """Decode the body of a frame.

    :param body: what :func:`encode` returned at the sender.
    :return: the message with its numbers.
    :raises WireError: ``frame_corrupt`` or ``message_unknown``.
    """
    try:
        frame = deserialize(ttypes.Frame(), body, _PROTOCOL)
    except _DECODE_ERRORS as error:
        raise WireError(Code.frame_corrupt, f'cannot decode a frame: {error!r}') from error
    present = [name for name in _TYPE_BY_FIELD if getattr(frame, name) is not None]
    if len(present) != 1:
        raise WireError(Code.message_unknown, f'{len(present)} known messages in a frame')
    numbers = (frame.id, frame.reply_to, frame.clock)
    if not all(isinstance(number, int) for number in numbers):
        raise WireError(Code.frame_corrupt, 'a frame without its numbers')
    message = _from_thrift(getattr(frame, present[0]), _TYPE_BY_FIELD[present[0]])
    return Envelope(*numbers, message)


__all__ = (
    'MAX_ELEMENTS',
    'MAX_FIELD_BYTES',
    'Envelope',
    'decode',
    'encode',
)
