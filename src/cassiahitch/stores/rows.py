"""Models of the table service's JSON messages, which validate them."""

from __future__ import annotations

import base64
from typing import Annotated, TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, PlainSerializer, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import PlatformError
from cassiahitch.stores.api import Condition, Row, Write

ModelT = TypeVar('ModelT', bound=BaseModel)


def _decode_base64(content: object) -> object:
    return base64.b64decode(content, validate=True) if isinstance(content, str) else content


def _encode_base64(content: bytes) -> str:
    return base64.b64encode(content).decode()


#: Content of a row, encoded in base64 in JSON.
Content = Annotated[
    bytes, BeforeValidator(_decode_base64), PlainSerializer(_encode_base64, return_type=str)
]


class RowModel(BaseModel):
    """JSON form of a row."""

    model_config = ConfigDict(extra='forbid')

    table: str
    key: str
    content: Content
    version: int

    @classmethod
    def from_row(cls, row: Row) -> RowModel:
        """Return the JSON form of a row.

        :param row: the row.
        :return: the model.
        """
        return cls(table=row.table, key=row.key, content=row.content, version=row.version)

    def row(self) -> Row:
        """Return the row that the model represents.

        :return: the row.
        """
        return Row(self.table, self.key, self.content, self.version)


class ConditionModel(BaseModel):
    """JSON form of a condition of a transaction."""

    table: str
    key: str
    version: int

    def condition(self) -> Condition:
        """Return the condition that the model represents.

        :return: the condition.
        """
        return Condition(self.table, self.key, self.version)


class WriteModel(BaseModel):
    """JSON form of a write of a transaction."""

    table: str
    key: str
    content: Content | None

    def write(self) -> Write:
        """Return the write that the model represents.

        :return: the write.
        """
        return Write(self.table, self.key, self.content)


class TransactionModel(BaseModel):
    """JSON form of a transaction: writes that are applied if all conditions hold."""

    conditions: tuple[ConditionModel, ...]
    writes: tuple[WriteModel, ...]


class OutcomeModel(BaseModel):
    """Response to a transaction: the versions of its writes, or the conflicting rows."""

    versions: tuple[int, ...] | None = None
    conflicts: tuple[RowModel, ...] = ()


class RowsModel(BaseModel):
    """Response to a read or a scan."""

    rows: tuple[RowModel, ...]


def parse_response(model: type[ModelT], body: bytes) -> ModelT:
    """Parse and validate a response of the table service.

    :param model: model of the response.
    :param body: JSON text.
    :return: the validated response.
    :raises PlatformError: ``store_row_corrupt``.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        detail = f'{error.error_count()} invalid values in a response of the table service'
        raise PlatformError(Code.store_row_corrupt, detail) from error


__all__ = (
    'ConditionModel',
    'OutcomeModel',
    'RowModel',
    'RowsModel',
    'TransactionModel',
    'WriteModel',
    'parse_response',
)
