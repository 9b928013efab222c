"""Conversion between data classes and the Thrift structs of the same names."""

from __future__ import annotations

from dataclasses import dataclass, fields, is_dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, get_args, get_origin, get_type_hints

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from cassiahitch.codes import Code
from cassiahitch.errors import WireError

if TYPE_CHECKING:
    from types import ModuleType

#: Largest string or binary field of a frame, in bytes.
MAX_FIELD_BYTES = 16 * 1024 * 1024
#: Largest integers of 32 and 64 bits that a message can carry.
MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
#: Largest number of elements of a list in a frame.
MAX_ELEMENTS = 65_536
#: Position of the struct class in the generated spec of a field that holds a struct.
STRUCT_INDEX = 3

_PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FIELD_BYTES,
    container_length_limit=MAX_ELEMENTS,
)
_DECODE_ERRORS = (EOFError, OverflowError, TException, TypeError, ValueError)


@dataclass(frozen=True, slots=True)
class FieldSchema:
    """Name and type of a field; the type of its elements if the field is ``repeated``."""

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


class StructCodec:
    """Encodes each data class of a module as the only message field of an outer struct."""

    def __init__(self, generated: ModuleType, messages: ModuleType, outer: type) -> None:
        """Create the codec.

        :param generated: module of the generated structs.
        :param messages: module of the data classes.
        :param outer: generated struct with one field for each message, of which one is set.
        """
        self.generated = generated
        self.outer = outer
        self.schemas = MappingProxyType(
            {
                member: _schema(member)
                for member in vars(messages).values()
                if is_dataclass(member) and isinstance(member, type)
            }
        )
        specs = [spec for spec in vars(outer)['thrift_spec'] if spec is not None]
        self.type_by_field: MappingProxyType[str, type] = MappingProxyType(
            {
                spec[2]: getattr(messages, spec[STRUCT_INDEX][0].__name__)
                for spec in specs
                if spec[STRUCT_INDEX] and hasattr(spec[STRUCT_INDEX][0], '__name__')
            }
        )
        self.field_by_type = MappingProxyType(
            {message_type: name for name, message_type in self.type_by_field.items()}
        )

    def encode(self, message: object, **extra: int) -> bytes:
        """Encode a message.

        :param message: instance of one of the data classes.
        :param extra: further fields of the outer struct.
        :return: the encoded outer struct.
        """
        outer = self.outer(**extra)
        setattr(outer, self.field_by_type[type(message)], self.to_thrift(message))
        return bytes(serialize(outer, _PROTOCOL))

    def decode(self, body: bytes) -> tuple[Any, Any]:
        """Decode a message.

        :param body: the encoded outer struct, as :meth:`encode` returned it at the sender.
        :return: the outer struct and the message.
        :raises WireError: ``frame_corrupt`` or ``message_unknown``.
        """
        try:
            outer = deserialize(self.outer(), body, _PROTOCOL)
        except _DECODE_ERRORS as error:
            raise WireError(Code.frame_corrupt, f'cannot decode a frame: {error!r}') from error
        present = [name for name in self.type_by_field if getattr(outer, name) is not None]
        if len(present) != 1:
            raise WireError(
                Code.message_unknown, f'{len(present)} known messages in a frame instead of one'
            )
        message = self.from_thrift(getattr(outer, present[0]), self.type_by_field[present[0]])
        return outer, message

    def to_thrift(self, message: Any) -> Any:
        """Convert a data class to its generated struct.

        :param message: instance of a data class.
        :return: the struct.
        """
        struct = getattr(self.generated, type(message).__name__)()
        for schema in self.schemas[type(message)]:
            content = getattr(message, schema.name)
            if schema.type in self.schemas:
                content = [self.to_thrift(element) for element in content]
            elif schema.repeated:
                content = list(content)
            if schema.repeated and not content:
                # An empty list is left out, which the receiver reads as one.
                continue
            setattr(struct, schema.name, content)
        return struct

    def from_thrift(self, struct: Any, message_type: type) -> Any:
        """Convert a generated struct to its data class.

        :param struct: the struct.
        :param message_type: the data class.
        :return: an instance of the data class.
        :raises WireError: ``frame_corrupt`` if a field is missing or has the wrong type.
        """
        contents: dict[str, Any] = {}
        for schema in self.schemas[message_type]:
            content = getattr(struct, schema.name)
            if schema.repeated:
                elements = content or ()
                contents[schema.name] = tuple(
                    self.convert_field(element, schema) for element in elements
                )
            else:
                contents[schema.name] = self.convert_field(content, schema)
        return message_type(**contents)

    def convert_field(self, content: Any, schema: FieldSchema) -> Any:
        """Check the type of a field's content and convert nested structs.

        :param content: content of the field, or of one of its elements, in the struct.
        :param schema: name and type of the field.
        :return: the content for the data class.
        :raises WireError: ``frame_corrupt`` if the content is missing or has the wrong type.
        """
        if schema.type in self.schemas:
            return self.from_thrift(content, schema.type)
        if isinstance(content, schema.type):
            return content
        raise WireError(Code.frame_corrupt, f'field {schema.name} is missing or has the wrong type')


__all__ = (
    'MAX_ELEMENTS',
    'MAX_FIELD_BYTES',
    'MAX_INT32',
    'MAX_INT64',
    'StructCodec',
)
