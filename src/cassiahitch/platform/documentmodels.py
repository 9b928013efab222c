"""Base of the models of the platform's JSON documents, and the types of their fields."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, TypeVar

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    alias_generators,
)

from cassiahitch.errors import PlatformError
from cassiahitch.wire.structs import MAX_INT32, MAX_INT64

if TYPE_CHECKING:
    from cassiahitch.codes import Code

ModelT = TypeVar('ModelT', bound=BaseModel)
#: Longest accepted duration, in milliseconds.
MAX_TIME_MS = 1e12


def _bounded_time(milliseconds: Any) -> Any:
    """Return a duration within bounds; anything but a number is left for the validation."""
    is_number = isinstance(milliseconds, int | float) and not isinstance(milliseconds, bool)
    return max(0, min(milliseconds, MAX_TIME_MS)) if is_number else milliseconds


NonNegativeInt64 = Annotated[int, Field(ge=0, le=MAX_INT64)]
NonNegativeInt32 = Annotated[int, Field(ge=0, le=MAX_INT32)]
BoundedTime = Annotated[float, BeforeValidator(_bounded_time)]
PositiveNumber = Annotated[float, Field(gt=0, le=MAX_TIME_MS)]
PositiveInt32 = Annotated[int, Field(ge=1, le=MAX_INT32)]
Priority = Annotated[int, Field(ge=-MAX_INT32, le=MAX_INT32)]


class CamelModel(BaseModel):
    """Base of documents with field names in camel case; unknown fields are ignored."""

    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel,
        populate_by_name=True,
        frozen=True,
        hide_input_in_errors=True,
        allow_inf_nan=False,
    )


def validated(model: type[ModelT], content: bytes, code: Code) -> ModelT:
    """Parse a document.

    :param model: the model of the document.
    :param content: the document, in JSON.
    :param code: code of the error if it is invalid.
    :return: the parsed document.
    :raises PlatformError: with that code and the first fault.
    """
    try:
        return model.model_validate_json(content)
    except ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first_error['loc'])
        raise PlatformError(code, f'{path}: {first_error["msg"]}') from error


__all__ = (
    'MAX_TIME_MS',
    'BoundedTime',
    'CamelModel',
    'NonNegativeInt32',
    'NonNegativeInt64',
    'PositiveInt32',
    'PositiveNumber',
    'Priority',
    'validated',
)
