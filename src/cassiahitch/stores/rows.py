"""JSON form of rows and transactions of the table service, validated at the border."""

from __future__ import annotations

import base64
from typing import Annotated, TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, PlainSerializer, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import PlatformError
from cassiahitch.stores.api import Condition, Row, Write

ModelT = TypeVar('ModelT', bound=BaseModel)


def _from_text(content: object) -> object:
    return base64.b64decode(content, validate=True) if isinstance(content, str) else content


def _to_text(content: bytes) -> str:
    return base64.b64encode(content).decode()


Content = Annotated[bytes, BeforeValidator(_from_text), PlainSerializer(_to_text, return_type=str)]


class RowModel(BaseModel):
    """A row."""

    model_config = ConfigDict(extra='forbid')

    table: str
    key: str
    content: Content
    version: int

    @classmethod
    def of(cls, row: Row) -> RowModel:
        """Return the model of a row.

        :param row: the row.
        :return: its model.
        """
        return cls(table=row.table, key=row.key, content=row.content, version=row.version)

    def row(self) -> Row:
        """Return the row of the model.

        :return: the row.
        """
        return Row(self.table, self.key, self.content, self.version)


class ConditionModel(BaseModel):
    """A condition of a transaction."""

    table: str
    key: str
    version: int

    def condition(self) -> Condition:
        """Return the condition of the model.

        :return: the condition.
        """
        return Condition(self.table, self.key, self.version)


class WriteModel(BaseModel):
    """A write of a transaction."""

    table: str
    key: str
    content: Content | None

    def write(self) -> Write:
        """Return the write of the model.

        :return: the write.
        """
        return Write(self.table, self.key, self.content)


class TransactionModel(BaseModel):
    """A transaction."""

    conditions: tuple[ConditionModel, ...]
    writes: tuple[WriteModel, ...]


class OutcomeModel(BaseModel):
    """Outcome of a transaction: the versions of its writes, or the rows that differ."""

    versions: tuple[int, ...] | None = None
    conflicts: tuple[RowModel, ...] = ()


class RowsModel(BaseModel):
    """Rows that a read or scan found."""

    rows: tuple[RowModel, ...]


def parse_response(model: type[ModelT], body: bytes) -> ModelT:
    """Validate an answer of the table service.

    :param model: the expected form.
    :param body: JSON text.
    :return: the validated answer.
    :raises PlatformError: ``store_row_corrupt``.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        detail = f'the table service answered with {error.error_count()} faults'
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
