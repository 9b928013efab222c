"""Reads declared resources from a file and applies them."""

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
    """The result of applying a resource."""

    created = 'created'
    changed = 'changed'
    unchanged = 'unchanged'


@dataclass(frozen=True, slots=True)
class AppliedResource:
    """A resource that was applied; it has had its declared state since ``revision``."""

    kind: str
    name: str
    revision: int
    outcome: Outcome


def read_resources(path: Path) -> tuple[Resource, ...]:
    """Read the resources of a YAML file, which has one in each document.

    :param path: path of the file.
    :return: the resources, in the order of the file.
    :raises ResourceError: ``resource_invalid``; the detail names the document and the path of the
        invalid key.
    """
    try:
        documents = load_yaml_documents(read_bounded(path, MAX_FILE_BYTES))
    except ValueError as error:
        raise ResourceError(Code.resource_invalid, str(error)) from None
    non_empty = [document for document in documents if document is not None]
    if not non_empty:
        raise ResourceError(Code.resource_invalid, f'{path} declares nothing')
    return tuple(_parse(document, number) for number, document in enumerate(non_empty, start=1))


async def apply_resource(client: OperatorClient, resource: Resource) -> AppliedResource:
    """Create or change a resource, unless it is in its declared state already.

    :param client: client of the operators' API.
    :param resource: the declared resource.
    :return: the revision of the resource and whether it was created or changed.
    :raises CassiahitchError: ``resource_exists`` or ``revision_conflict`` if another operator
        changed the resource at the same time.
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

    :param client: client of the operators' API.
    :param kind: the kind of the resource.
    :param name: the name of the resource.
    :return: the resource, or ``None`` if it does not exist.
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
        first_error = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first_error['loc']) or '(top)'
        detail = f'document {number}: {path}: {first_error["msg"]}'
        raise ResourceError(Code.resource_invalid, detail) from None


__all__ = (
    'AppliedResource',
    'Outcome',
    'apply_resource',
    'find_resource',
    'read_resources',
)
