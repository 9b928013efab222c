"""Answers of the operators' API, validated."""

from __future__ import annotations

from typing import TypeVar

from pydantic import BaseModel, ConfigDict, Field, JsonValue, ValidationError

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import CassiahitchError, RequestError
from cassiahitch.resources.models import Resource

MAX_DETAIL_LENGTH = 1024


class Response(BaseModel):
    """Base of all answers; members that a newer entry adds are ignored."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class ErrorResponse(Response):
    """An answer that is not a success."""

    code: int
    name: str = ''
    detail: str = Field(default='', max_length=MAX_DETAIL_LENGTH)
    ran: HasRun = HasRun.unknown


class ConditionResponse(Response):
    """A condition of a resource, as of the revision that was observed."""

    type: str
    status: bool
    observed_revision: int = 0
    detail: str = ''


class ResourceResponse(Response):
    """A resource, or what is left of it in a watch after it was deleted."""

    revision: int = Field(ge=0)
    resource: Resource | None = None
    conditions: tuple[ConditionResponse, ...] = ()
    key: str = ''


class ListResponse(Response):
    """All resources of a kind."""

    revision: int = Field(default=0, ge=0)
    resources: tuple[ResourceResponse, ...]


class StatusResponse(Response):
    """What an entry knows of the system; its members are shown as they come."""

    model_config = ConfigDict(extra='allow', frozen=True)

    __pydantic_extra__: dict[str, JsonValue]


ResponseType = TypeVar('ResponseType', bound=Response)


def parse_api_response(model: type[ResponseType], body: bytes) -> ResponseType:
    """Validate the body of an answer.

    :param model: what it must be.
    :param body: JSON in UTF-8.
    :return: the answer.
    :raises CassiahitchError: ``answer_corrupt`` if it is something else.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first['loc']) or '(top)'
        raise CassiahitchError(Code.answer_corrupt, f'{path}: {first["msg"]}') from None


def parse_error(status: int, body: bytes) -> CassiahitchError:
    """Turn the answer to a failed call into an error.

    :param status: the HTTP status.
    :param body: JSON in UTF-8.
    :return: the error; ``answer_corrupt`` if the body does not say what went wrong.
    """
    try:
        answer = ErrorResponse.model_validate_json(body)
        return RequestError(Code(answer.code), answer.detail, answer.ran)
    except ValueError:
        detail = f'the entry answered status {status} without a known code'
        return RequestError(Code.answer_corrupt, detail, HasRun.unknown)


__all__ = (
    'Response',
    'ConditionResponse',
    'ListResponse',
    'ResourceResponse',
    'StatusResponse',
    'parse_api_response',
    'parse_error',
)
