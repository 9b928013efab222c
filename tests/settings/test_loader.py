"""Tests of reading and validating settings files."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code
from cassiahitch.errors import SettingsError
from cassiahitch.settings.loader import load_settings, parse_settings
from cassiahitch.settings.models import AgentSettings, EntrySettings, Role
from cassiahitch.util.endpoints import Endpoint

KEY = b'0123456789abcdef0123456789abcdef'
DIGEST = 'a' * 64
ENTRY = """
name: entry-1
host: host-1
region: lagos
failure_domain: lagos-a
address: 127.0.0.1
system_key_file: system.key
entries: ['127.0.0.1:7001', '[::1]:7002']
platform:
  table_service_url: http://127.0.0.1:1/table
  object_store_url: http://127.0.0.1:1/objects
  origin_url: http://127.0.0.1:1/origin
  host_list_url: http://127.0.0.1:1/hosts
"""
AGENT = f'{ENTRY}engine_url: http://127.0.0.1:9000\n'


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / 'system.key').write_bytes(KEY)
    (tmp_path / 'digests').write_text(f'{DIGEST}\n')
    (tmp_path / 'short.key').write_bytes(b'short')
    return tmp_path


def with_setting(text: str, path: tuple[str, ...], setting: object) -> bytes:
    tree = yaml.safe_load(text)
    section = tree
    for name in path[:-1]:
        section = section.setdefault(name, {})
    section[path[-1]] = setting
    return yaml.safe_dump(tree).encode()


def test_entry_settings_load_from_file(folder: Path) -> None:
    (folder / 'entry.yaml').write_text(f'{ENTRY}operator_token_digests: digests\n')
    settings = load_settings(folder / 'entry.yaml', Role.entry)
    assert isinstance(settings, EntrySettings)
    assert settings.entries == (Endpoint('127.0.0.1', 7001), Endpoint('::1', 7002))
    assert settings.operator_token_digests == (DIGEST,)
    assert settings.system_key.get_secret_value() == KEY


def test_agent_settings_load_with_defaults(folder: Path) -> None:
    settings = parse_settings(AGENT.encode(), Role.agent, folder)
    assert isinstance(settings, AgentSettings)
    assert settings.checks_fencing_numbers is False


def test_secret_is_never_printed(folder: Path) -> None:
    settings = parse_settings(AGENT.encode(), Role.agent, folder)
    assert KEY.decode() not in f'{settings!r}{settings}{settings.model_dump_json()}'


@pytest.mark.parametrize(
    ('path', 'setting', 'reported_path'),
    [
        pytest.param(('port',), 65_536, 'port', id='port-too-large'),
        pytest.param(('address',), 'example.org', 'address', id='name-instead-of-number'),
        pytest.param(('platform', 'origin_url'), 'ftp://x', 'platform.origin_url', id='nested-url'),
        pytest.param(('entries',), ['10.0.0.1:1', 'x'], 'entries.1', id='list-item'),
        pytest.param(('timeouts', 'heartbeat_s'), 3, 'timeouts', id='silent-before-heartbeats'),
        pytest.param(('sizes', 'max_body_bytes'), -1, 'sizes.max_body_bytes', id='bound'),
        pytest.param(('colour',), 'red', 'colour', id='unknown-key'),
        pytest.param(('system_key_file',), 'short.key', 'system_key_file', id='short-secret'),
        pytest.param(('system_key_file',), 'absent', 'system_key_file', id='absent-secret'),
        pytest.param(('operator_token_digests',), ['x'], 'operator_token_digests.0', id='digest'),
        pytest.param(('role',), 'agent', 'role', id='other-role'),
    ],
)
def test_error_names_the_invalid_key(
    folder: Path,
    path: tuple[str, ...],
    setting: object,
    reported_path: str,
) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(with_setting(ENTRY, path, setting), Role.entry, folder)
    assert caught.value.code is Code.settings_invalid
    assert caught.value.detail.startswith(f'{reported_path}: ')


def test_absent_key_and_file_are_reported_as_missing(folder: Path) -> None:
    with pytest.raises(SettingsError, match='6001 settings_missing: engine_url: '):
        parse_settings(ENTRY.encode(), Role.agent, folder)
    with pytest.raises(SettingsError, match='6001 settings_missing: there is no file'):
        load_settings(folder / 'absent.yaml', Role.agent)


@pytest.mark.parametrize(
    'document',
    [
        pytest.param(b'name: a\nname: b\n', id='repeated-key'),
        pytest.param(b'a: &x [1]\nb: *x\n', id='alias'),
        pytest.param(b'a: !!python/object:os.system {}\n', id='python-tag'),
        pytest.param(b'[' * 100_000, id='deep'),
        pytest.param(b'\xff\xfe\x00', id='not-utf8'),
        pytest.param(b'{[]: 1}', id='list-as-key'),
    ],
)
def test_invalid_yaml_is_refused(folder: Path, document: bytes) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(document, Role.entry, folder)
    assert caught.value.code is Code.settings_invalid


@given(st.binary(max_size=300) | st.text(max_size=300).map(str.encode))
def test_any_invalid_document_gives_settings_error(document: bytes) -> None:
    with pytest.raises(SettingsError):
        parse_settings(document, Role.entry, Path())
