"""Parsing and serialisation of resources."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import yaml
from pydantic import TypeAdapter, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import ResourceError
from cassiahitch.resources.models import KINDS, Resource

#: Maximum size of a resource, in bytes.
MAX_RESOURCE_BYTES = 65_536
#: Maximum number of characters of an invalid value that an error message quotes.
MAX_QUOTED_CHARS = 64

_ADAPTER: TypeAdapter[Resource] = TypeAdapter(Resource)
_KIND_ERRORS = frozenset(('union_tag_invalid', 'union_tag_not_found'))


class _Loader(yaml.SafeLoader):
    """Loader of plain YAML that refuses aliases, whose expansion is unbounded."""

    def compose_node(self, parent: yaml.Node | None, index: int) -> yaml.Node | None:
        """Compose a node unless it is an alias.

        :param parent: parent of the node.
        :param index: position in the parent.
        :return: the node.
        :raises ConstructorError: if the node is an alias.
        """
        if self.check_event(yaml.AliasEvent):
            raise yaml.constructor.ConstructorError(None, None, 'aliases are not accepted', None)
        return super().compose_node(parent, index)


def load_document(raw: bytes) -> Mapping[str, object]:
    """Load a mapping from JSON or YAML.

    :param raw: the document; at most ``MAX_RESOURCE_BYTES`` bytes.
    :return: the mapping.
    :raises ResourceError: ``resource_invalid``.
    """
    if len(raw) > MAX_RESOURCE_BYTES:
        detail = f'the resource has {len(raw)} bytes, the maximum is {MAX_RESOURCE_BYTES}'
        raise ResourceError(Code.resource_invalid, detail)
    try:
        document = yaml.load(raw, Loader=_Loader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        detail = f'the resource is neither JSON nor YAML: {type(error).__name__}'
        raise ResourceError(Code.resource_invalid, detail) from error
    if isinstance(document, dict):
        return document
    raise ResourceError(Code.resource_invalid, 'the resource is not a mapping')


def parse_resource(raw: bytes | Mapping[str, object]) -> Resource:
    """Parse and validate one resource.

    :param raw: JSON, YAML or a mapping that was loaded from either.
    :return: the resource.
    :raises ResourceError: ``unknown_kind``, or ``resource_invalid`` with the path of the invalid
        key.
    """
    document = load_document(raw) if isinstance(raw, bytes) else raw
    try:
        return _ADAPTER.validate_python(document)
    except ValidationError as error:
        raise _resource_error(error, document) from error


def parse_stored(raw: bytes) -> Resource:
    """Parse a resource that was serialised by :func:`resource_bytes`.

    :param raw: JSON.
    :return: the resource.
    :raises ResourceError: ``configuration_row_corrupt``.
    """
    try:
        return _ADAPTER.validate_json(raw)
    except ValidationError as error:
        detail = f'{error.error_count()} invalid values in a stored resource'
        raise ResourceError(Code.configuration_row_corrupt, detail) from error


def resource_bytes(resource: Resource) -> bytes:
    """Serialise a resource for storage.

    :param resource: the resource.
    :return: JSON.
    """
    return resource.model_dump_json(exclude_defaults=False).encode()


def resource_key(resource: Resource) -> str:
    """Return the key of a resource.

    :param resource: the resource.
    :return: its kind and name, joined by a slash.
    """
    return f'{resource.kind}/{resource.name}'


def _resource_error(error: ValidationError, document: Mapping[str, Any]) -> ResourceError:
    first = error.errors(include_url=False, include_input=False)[0]
    if first['type'] in _KIND_ERRORS:
        kinds = ', '.join(kind.__name__ for kind in KINDS)
        kind_name = str(document.get('kind'))[:MAX_QUOTED_CHARS]
        return ResourceError(Code.unknown_kind, f'kind: {kind_name!r} is not one of {kinds}')
    path = '.'.join(str(part) for part in first['loc'][1:])[:MAX_QUOTED_CHARS]
    return ResourceError(Code.resource_invalid, f'{path or "resource"}: {first["msg"]}')


__all__ = (
    'MAX_RESOURCE_BYTES',
    'load_document',
    'parse_resource',
    'parse_stored',
    'resource_bytes',
    'resource_key',
)
