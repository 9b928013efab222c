"""Models that validate the responses of the operators' API."""

from __future__ import annotations

from typing import TypeVar

from pydantic import BaseModel, ConfigDict, Field, JsonValue, ValidationError

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import CassiahitchError, RequestError
from cassiahitch.resources.models import Resource

MAX_DETAIL_LENGTH = 1024


class Response(BaseModel):
    """Base of all responses; fields that a newer entry adds are ignored."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class ErrorResponse(Response):
    """The response to a call that failed."""

    code: int
    name: str = ''
    detail: str = Field(default='', max_length=MAX_DETAIL_LENGTH)
    ran: HasRun = HasRun.unknown


class ConditionResponse(Response):
    """A condition of a resource at the revision that the system observed."""

    type: str
    status: bool
    observed_revision: int = 0
    detail: str = ''


class ResourceResponse(Response):
    """A resource; a watch reports a deleted one by its key, with no ``resource``."""

    revision: int = Field(ge=0)
    resource: Resource | None = None
    conditions: tuple[ConditionResponse, ...] = ()
    key: str = ''


class ListResponse(Response):
    """A page of the resources of a kind."""

    revision: int = Field(default=0, ge=0)
    resources: tuple[ResourceResponse, ...]


class StatusResponse(Response):
    """The status of the system as one entry sees it; all fields are shown unchanged."""

    model_config = ConfigDict(extra='allow', frozen=True)

    __pydantic_extra__: dict[str, JsonValue]


ResponseType = TypeVar('ResponseType', bound=Response)


def parse_api_response(model: type[ResponseType], body: bytes) -> ResponseType:
    """Parse and validate the body of a response.

    :param model: the model of the response.
    :param body: JSON in UTF-8.
    :return: the response.
    :raises CassiahitchError: ``answer_corrupt`` if the body does not match the model.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first_error['loc']) or '(top)'
        raise CassiahitchError(Code.answer_corrupt, f'{path}: {first_error["msg"]}') from None


def parse_error(status: int, body: bytes) -> CassiahitchError:
    """Convert the response to a failed call into an error.

    :param status: the HTTP status.
    :param body: JSON in UTF-8.
    :return: the error; ``answer_corrupt`` if the body has no valid error code.
    """
    try:
        response = ErrorResponse.model_validate_json(body)
        return RequestError(Code(response.code), response.detail, response.ran)
    except ValueError:
        detail = f'the entry responded with status {status} but without a known error code'
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
