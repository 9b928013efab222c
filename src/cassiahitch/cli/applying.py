"""Bringing resources to what a file declares."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from pydantic import TypeAdapter, ValidationError

from cassiahitch.cli.responses import ResourceResponse
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, ResourceError
from cassiahitch.resources.models import Resource
from cassiahitch.util.files import read_bounded
from cassiahitch.util.yamldocuments import load_yaml_documents

if TYPE_CHECKING:
    from pathlib import Path

    from cassiahitch.cli.client import OperatorClient

MAX_FILE_BYTES = 4_194_304
RESOURCE_ADAPTER: TypeAdapter[Resource] = TypeAdapter(Resource)


class Outcome(StrEnum):
    """What applying a resource did."""

    created = 'created'
    changed = 'changed'
    unchanged = 'unchanged'


@dataclass(frozen=True, slots=True)
class AppliedResource:
    """A resource that is as declared since ``revision``."""

    kind: str
    name: str
    revision: int
    outcome: Outcome


def read_resources(path: Path) -> tuple[Resource, ...]:
    """Read the resources that a YAML file declares, one in each document.

    :param path: the file.
    :return: the resources, in order.
    :raises ResourceError: ``resource_invalid``; its detail names the path of the faulty key.
    """
    try:
        documents = load_yaml_documents(read_bounded(path, MAX_FILE_BYTES))
    except ValueError as error:
        raise ResourceError(Code.resource_invalid, str(error)) from None
    given = [document for document in documents if document is not None]
    if not given:
        raise ResourceError(Code.resource_invalid, f'{path} declares nothing')
    return tuple(_parse(document, number) for number, document in enumerate(given, start=1))


async def apply_resource(client: OperatorClient, resource: Resource) -> AppliedResource:
    """Create a resource, change it, or leave it if it is as declared.

    :param client: the client.
    :param resource: what it shall be.
    :return: what was done.
    :raises CassiahitchError: ``resource_exists`` or ``revision_conflict`` if another operator
        was faster.
    """
    current = await find_resource(client, resource.kind, resource.name)
    if current is None:
        created = await client.put(resource, None)
        return _applied(resource, created.revision, Outcome.created)
    if current.resource == resource:
        return _applied(resource, current.revision, Outcome.unchanged)
    changed = await client.put(resource, current.revision)
    return _applied(resource, changed.revision, Outcome.changed)


async def find_resource(client: OperatorClient, kind: str, name: str) -> ResourceResponse | None:
    """Return a resource if it exists.

    :param client: the client.
    :param kind: its kind.
    :param name: its name.
    :return: the resource, or nothing.
    """
    try:
        return await client.get(kind, name)
    except CassiahitchError as error:
        if error.code is Code.resource_missing:
            return None
        raise


def _applied(resource: Resource, revision: int, outcome: Outcome) -> AppliedResource:
    return AppliedResource(resource.kind, resource.name, revision, outcome)


def _parse(document: object, number: int) -> Resource:
    try:
        return RESOURCE_ADAPTER.validate_python(document)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first['loc']) or '(top)'
        detail = f'document {number}: {path}: {first["msg"]}'
        raise ResourceError(Code.resource_invalid, detail) from None


__all__ = (
    'AppliedResource',
    'Outcome',
    'apply_resource',
    'find_resource',
    'read_resources',
)
