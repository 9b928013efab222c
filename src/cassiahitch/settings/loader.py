"""Reading of settings files."""

from __future__ import annotations

from pathlib import Path
from typing import Literal, overload

import yaml
from pydantic import ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import SettingsError
from cassiahitch.settings.fields import read_bounded
from cassiahitch.settings.models import AgentSettings, EntrySettings, Role

MAX_SETTINGS_BYTES = 256 * 1024

#: Pydantic's name of an error for a key that is absent.
MISSING = 'missing'


class UniqueKeyLoader(yaml.SafeLoader):
    """A loader of YAML that refuses aliases and a key that stands twice."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[object, object]:
        """Return a mapping without merged or repeated keys.

        :param node: the node of the mapping.
        :param deep: whether nested nodes are built at once.
        :return: the mapping.
        :raises ConstructorError: if a key stands twice.
        """
        names = [str(key_node.value) for key_node, _ in node.value]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise yaml.constructor.ConstructorError(
                None,
                None,
                f'the key {repeated[0]} stands twice',
                node.start_mark,
            )
        return super().construct_mapping(node, deep=deep)

    def compose_node(self, parent: yaml.Node | None, index: int) -> yaml.Node | None:
        """Return the next node, which must not be an alias.

        :param parent: the node that holds it.
        :param index: its place there.
        :return: the node.
        :raises ComposerError: if it is an alias, which could grow without bound.
        """
        if self.check_event(yaml.events.AliasEvent):
            raise yaml.composer.ComposerError(None, None, 'aliases are not allowed')
        return super().compose_node(parent, index)


def parse_settings(
    document: bytes,
    role: Role,
    folder: Path,
) -> EntrySettings | AgentSettings:
    """Validate the text of a settings file.

    :param document: YAML in UTF-8.
    :param role: the role that the settings are for.
    :param folder: where the paths in it start.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if a key is absent, else ``settings_invalid``;
        its detail names the path of the faulty key.
    """
    tree = _parse_yaml(document)
    model = EntrySettings if role is Role.entry else AgentSettings
    try:
        return model.model_validate(tree, context={'folder': folder})
    except ValidationError as error:
        raise _settings_error(error) from None


@overload
def load_settings(path: Path | str, role: Literal[Role.entry]) -> EntrySettings: ...


@overload
def load_settings(path: Path | str, role: Literal[Role.agent]) -> AgentSettings: ...


def load_settings(path: Path | str, role: Role) -> EntrySettings | AgentSettings:
    """Read and validate a settings file.

    :param path: the file.
    :param role: the role that the settings are for.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if the file or a key is absent, else
        ``settings_invalid``; its detail names the path of the faulty key.
    """
    file = Path(path)
    if not file.is_file():
        raise SettingsError(Code.settings_missing, f'there is no file {file}')
    try:
        document = read_bounded(file, MAX_SETTINGS_BYTES)
    except ValueError as error:
        raise SettingsError(Code.settings_invalid, str(error)) from None
    return parse_settings(document, role, file.parent)


def _parse_yaml(document: bytes) -> object:
    try:
        return yaml.load(document, UniqueKeyLoader)  # noqa: S506 (derives from the safe loader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        detail = ' '.join(str(error).split())
        raise SettingsError(Code.settings_invalid, f'not YAML: {detail}') from None


def _settings_error(error: ValidationError) -> SettingsError:
    first = error.errors(include_url=False, include_input=False)[0]
    path = '.'.join(str(part) for part in first['loc']) or '(top)'
    code = Code.settings_missing if first['type'] == MISSING else Code.settings_invalid
    return SettingsError(code, f'{path}: {first["msg"]}')


__all__ = (
    'load_settings',
    'parse_settings',
)
