"""Conversion between data classes and the generated structs of the same names."""

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
#: Largest whole numbers of the two sizes that a message can carry.
MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
#: Largest number of elements of a list in a frame.
MAX_ELEMENTS = 65_536
#: Position of the struct in the generated description of a field that holds one.
STRUCT_INDEX = 3

_PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FIELD_BYTES,
    container_length_limit=MAX_ELEMENTS,
)
_DECODE_ERRORS = (EOFError, OverflowError, TException, TypeError, ValueError)


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


class StructCodec:
    """Encodes the data classes of one module in an outer struct that holds one of them."""

    def __init__(self, generated: ModuleType, messages: ModuleType, outer: type) -> None:
        """Create the codec.

        :param generated: the module with the generated structs.
        :param messages: the module with the data classes.
        :param outer: the generated struct whose fields are the messages.
        """
        self.generated = generated
        self.outer = outer
        self.schemas = MappingProxyType(
            {
                own: _schema(own)
                for own in vars(messages).values()
                if is_dataclass(own) and isinstance(own, type)
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
            {own: name for name, own in self.type_by_field.items()}
        )

    def encode(self, message: object, **extra: int) -> bytes:
        """Encode a message.

        :param message: one of the data classes.
        :param extra: further fields of the outer struct.
        :return: bytes.
        """
        outer = self.outer(**extra)
        setattr(outer, self.field_by_type[type(message)], self.to_thrift(message))
        return bytes(serialize(outer, _PROTOCOL))

    def decode(self, body: bytes) -> tuple[Any, Any]:
        """Decode a message.

        :param body: what :meth:`encode` returned at the sender.
        :return: the outer struct and the message.
        :raises WireError: ``frame_corrupt`` or ``message_unknown``.
        """
        try:
            outer = deserialize(self.outer(), body, _PROTOCOL)
        except _DECODE_ERRORS as error:
            raise WireError(Code.frame_corrupt, f'cannot decode a frame: {error!r}') from error
        present = [name for name in self.type_by_field if getattr(outer, name) is not None]
        if len(present) != 1:
            raise WireError(Code.message_unknown, f'{len(present)} known messages in a frame')
        message = self.from_thrift(getattr(outer, present[0]), self.type_by_field[present[0]])
        return outer, message

    def to_thrift(self, message: Any) -> Any:
        """Return the generated struct of a data class.

        :param message: the data class.
        :return: the struct.
        """
        struct = getattr(self.generated, type(message).__name__)()
        for schema in self.schemas[type(message)]:
            content = getattr(message, schema.name)
            if schema.type in self.schemas:
                content = [self.to_thrift(element) for element in content]
            elif schema.repeated:
                content = list(content)
            setattr(struct, schema.name, content)
        return struct

    def from_thrift(self, struct: Any, message_type: type) -> Any:
        """Return the data class of a generated struct.

        :param struct: the struct.
        :param message_type: the data class.
        :return: its instance.
        :raises WireError: ``frame_corrupt`` if a field is missing or of a wrong type.
        """
        contents: dict[str, Any] = {}
        for schema in self.schemas[message_type]:
            content = getattr(struct, schema.name)
            if schema.repeated:
                elements = content or ()
                contents[schema.name] = tuple(self.checked(one, schema) for one in elements)
            else:
                contents[schema.name] = self.checked(content, schema)
        return message_type(**contents)

    def checked(self, content: Any, schema: FieldSchema) -> Any:
        """Return the content of a field if it is of the right type.

        :param content: what the struct holds.
        :param schema: the type.
        :return: the content of the data class.
        :raises WireError: ``frame_corrupt``.
        """
        if schema.type in self.schemas:
            return self.from_thrift(content, schema.type)
        if isinstance(content, schema.type):
            return content
        raise WireError(Code.frame_corrupt, f'field {schema.name} is missing or of a wrong type')


__all__ = (
    'MAX_ELEMENTS',
    'MAX_FIELD_BYTES',
    'MAX_INT32',
    'MAX_INT64',
    'StructCodec',
)
