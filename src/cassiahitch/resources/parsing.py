"""Parsing of resources in JSON or YAML."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import yaml
from pydantic import TypeAdapter, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import ResourceError
from cassiahitch.resources.models import KINDS, Resource

#: Bytes of the largest resource that is accepted.
MAX_RESOURCE_BYTES = 65_536
#: Characters of a faulty value that an error repeats.
MAX_ECHO = 64

_ADAPTER: TypeAdapter[Resource] = TypeAdapter(Resource)
_KIND_ERRORS = frozenset(('union_tag_invalid', 'union_tag_not_found'))


class _Loader(yaml.SafeLoader):
    """Loads plain YAML without aliases, whose expansion has no bound."""

    def compose_node(self, parent: yaml.Node | None, index: int) -> yaml.Node | None:
        """Compose one node.

        :param parent: the node that holds it.
        :param index: its position.
        :return: the node.
        :raises ConstructorError: if it is an alias.
        """
        if self.check_event(yaml.AliasEvent):
            raise yaml.constructor.ConstructorError(None, None, 'aliases are not accepted', None)
        return super().compose_node(parent, index)


def load_document(raw: bytes) -> Mapping[str, object]:
    """Load a mapping from JSON or YAML.

    :param raw: the document; at most ``MAX_RESOURCE_BYTES`` bytes.
    :return: the mapping.
    :raises ResourceError: with ``resource_invalid``.
    """
    if len(raw) > MAX_RESOURCE_BYTES:
        detail = f'{len(raw)} bytes, at most {MAX_RESOURCE_BYTES} are accepted'
        raise ResourceError(Code.resource_invalid, detail)
    try:
        document = yaml.load(raw, Loader=_Loader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        detail = f'neither JSON nor YAML: {type(error).__name__}'
        raise ResourceError(Code.resource_invalid, detail) from error
    if isinstance(document, dict):
        return document
    raise ResourceError(Code.resource_invalid, 'not a mapping')


def parse_resource(raw: bytes | Mapping[str, object]) -> Resource:
    """Parse and validate one resource.

    :param raw: JSON, YAML or a mapping that was loaded from them.
    :return: the resource.
    :raises ResourceError: with ``unknown_kind``, or ``resource_invalid`` and the path of the
        faulty key.
    """
    document = load_document(raw) if isinstance(raw, bytes) else raw
    try:
        return _ADAPTER.validate_python(document)
    except ValidationError as error:
        raise _refusal(error, document) from error


def parse_stored(raw: bytes) -> Resource:
    """Parse a resource as :func:`resource_bytes` wrote it.

    :param raw: JSON.
    :return: the resource.
    :raises ResourceError: with ``configuration_row_corrupt``.
    """
    try:
        return _ADAPTER.validate_json(raw)
    except ValidationError as error:
        detail = f'{error.error_count()} faults in a stored resource'
        raise ResourceError(Code.configuration_row_corrupt, detail) from error


def resource_bytes(resource: Resource) -> bytes:
    """Serialise a resource.

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


def _refusal(error: ValidationError, document: Mapping[str, Any]) -> ResourceError:
    first = error.errors(include_url=False, include_input=False)[0]
    if first['type'] in _KIND_ERRORS:
        kinds = ', '.join(kind.__name__ for kind in KINDS)
        named = str(document.get('kind'))[:MAX_ECHO]
        return ResourceError(Code.unknown_kind, f'kind: {named!r} is none of {kinds}')
    path = '.'.join(str(step) for step in first['loc'][1:])[:MAX_ECHO]
    return ResourceError(Code.resource_invalid, f'{path or "resource"}: {first["msg"]}')


__all__ = (
    'MAX_RESOURCE_BYTES',
    'load_document',
    'parse_resource',
    'parse_stored',
    'resource_bytes',
    'resource_key',
)
