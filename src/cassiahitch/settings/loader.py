"""Reading of settings files."""

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

#: Pydantic's name of an error for a key that is absent.
MISSING = 'missing'


def parse_as(model: type[ModelT], document: bytes, folder: Path) -> ModelT:
    """Validate the text of a settings file by a model.

    :param document: YAML in UTF-8.
    :param model: the model of the settings.
    :param folder: where the paths in it start.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if a key is absent, else ``settings_invalid``;
        its detail names the path of the faulty key.
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
    """Validate the text of a settings file.

    :param document: YAML in UTF-8.
    :param role: the role that the settings are for.
    :param folder: where the paths in it start.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if a key is absent, else ``settings_invalid``;
        its detail names the path of the faulty key.
    """
    if role is Role.entry:
        return parse_as(EntrySettings, document, folder)
    return parse_as(AgentSettings, document, folder)


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
    return parse_settings(read_settings(file), role, file.parent)


def load_as(model: type[ModelT], path: Path) -> ModelT:
    """Read a settings file and validate it by a model.

    :param model: the model of the settings.
    :param path: the file.
    :return: the settings.
    :raises SettingsError: ``settings_missing`` if the file or a key is absent, else
        ``settings_invalid``; its detail names the path of the faulty key.
    """
    return parse_as(model, read_settings(path), path.parent)


def read_settings(file: Path) -> bytes:
    """Read the text of a settings file.

    :param file: the file.
    :return: its content.
    :raises SettingsError: ``settings_missing`` or ``settings_invalid``.
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
        raise SettingsError(Code.settings_invalid, 'not one YAML document')
    return documents[0]


def _settings_error(error: ValidationError) -> SettingsError:
    first = error.errors(include_url=False, include_input=False)[0]
    path = '.'.join(str(part) for part in first['loc']) or '(top)'
    code = Code.settings_missing if first['type'] == MISSING else Code.settings_invalid
    return SettingsError(code, f'{path}: {first["msg"]}')


__all__ = (
    'load_as',
    'load_settings',
    'parse_as',
    'parse_settings',
)
