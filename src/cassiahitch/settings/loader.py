"""Reading and validation of settings files."""

from __future__ import annotations

from pathlib import Path
from typing import Literal, TypeVar, overload

from pydantic import BaseModel, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import SettingsError
from cassiahitch.settings.models import AgentSettings, EntrySettings, Role
from cassiahitch.util.files import read_bounded
from cassiahitch.util.yamldocuments import load_yaml_documents

MAX_SETTINGS_BYTES = 256 * 1024

ModelT = TypeVar('ModelT', bound=BaseModel)

#: Type of pydantic's validation error for a key that is absent.
MISSING_KEY_ERROR = 'missing'


def parse_model(model: type[ModelT], document: bytes, folder: Path) -> ModelT:
    """Parse the text of a settings file and validate it against a model.

    :param model: the model of the settings.
    :param document: YAML in UTF-8.
    :param folder: folder that relative paths in the settings refer to.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if a key is absent, else ``settings_invalid``;
        its detail starts with the path of the invalid key.
    """
    tree = _parse_yaml(document)
    try:
        return model.model_validate(tree, context={'folder': folder})
    except ValidationError as error:
        raise _settings_error(error) from None


def parse_settings(
    document: bytes,
    role: Role,
    folder: Path,
) -> EntrySettings | AgentSettings:
    """Parse the text of a settings file and validate it for a role.

    :param document: YAML in UTF-8.
    :param role: role of the process.
    :param folder: folder that relative paths in the settings refer to.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if a key is absent, else ``settings_invalid``;
        its detail starts with the path of the invalid key.
    """
    if role is Role.entry:
        return parse_model(EntrySettings, document, folder)
    return parse_model(AgentSettings, document, folder)


@overload
def load_settings(path: Path | str, role: Literal[Role.entry]) -> EntrySettings: ...


@overload
def load_settings(path: Path | str, role: Literal[Role.agent]) -> AgentSettings: ...


def load_settings(path: Path | str, role: Role) -> EntrySettings | AgentSettings:
    """Read a settings file and validate it for a role.

    :param path: path of the file.
    :param role: role of the process.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if the file or a key is absent, else
        ``settings_invalid``; its detail starts with the path of the invalid key.
    """
    file = Path(path)
    return parse_settings(read_settings(file), role, file.parent)


def load_model(model: type[ModelT], path: Path) -> ModelT:
    """Read a settings file and validate it against a model.

    :param model: the model of the settings.
    :param path: path of the file.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if the file or a key is absent, else
        ``settings_invalid``; its detail starts with the path of the invalid key.
    """
    return parse_model(model, read_settings(path), path.parent)


def read_settings(file: Path) -> bytes:
    """Read the text of a settings file.

    :param file: path of the file.
    :return: content of the file.
    :raises SettingsError: ``settings_missing`` if there is no file, ``settings_invalid`` if it is
        too large.
    """
    if not file.is_file():
        raise SettingsError(Code.settings_missing, f'there is no file {file}')
    try:
        return read_bounded(file, MAX_SETTINGS_BYTES)
    except ValueError as error:
        raise SettingsError(Code.settings_invalid, str(error)) from None


def _parse_yaml(document: bytes) -> object:
    try:
        documents = load_yaml_documents(document)
    except ValueError as error:
        raise SettingsError(Code.settings_invalid, str(error)) from None
    if len(documents) != 1:
        raise SettingsError(
            Code.settings_invalid, 'the file must contain exactly one YAML document'
        )
    return documents[0]


def _settings_error(error: ValidationError) -> SettingsError:
    first = error.errors(include_url=False, include_input=False)[0]
    path = '.'.join(str(part) for part in first['loc']) or '(top)'
    code = Code.settings_missing if first['type'] == MISSING_KEY_ERROR else Code.settings_invalid
    return SettingsError(code, f'{path}: {first["msg"]}')


__all__ = (
    'load_model',
    'load_settings',
    'parse_model',
    'parse_settings',
)
