"""Tests of the command line without a system."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from cassiahitch.cli.applying import read_resources
from cassiahitch.cli.exit_codes import ExitCode, UnreachableError, exit_code
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, ResourceError
from cassiahitch.run import run

if TYPE_CHECKING:
    from pathlib import Path

OPTIONS = ('--entry', 'http://127.0.0.1:1', '--token-file')


@pytest.mark.parametrize(
    ('code', 'expected'),
    [
        pytest.param(Code.revision_conflict, ExitCode.conflict, id='lost-race'),
        pytest.param(Code.resource_exists, ExitCode.conflict, id='exists'),
        pytest.param(Code.settings_missing, ExitCode.usage, id='settings'),
        pytest.param(Code.bench_unknown, ExitCode.usage, id='bench'),
        pytest.param(Code.forbidden, ExitCode.refused, id='refused'),
        pytest.param(Code.store_unavailable, ExitCode.refused, id='store-down'),
    ],
)
def test_code_decides_the_exit_code(code: Code, expected: ExitCode) -> None:
    assert exit_code(CassiahitchError(code, '')) is expected
    assert exit_code(UnreachableError(code, '')) is ExitCode.unreachable


@pytest.mark.parametrize(
    ('arguments', 'expected', 'named'),
    [
        pytest.param(('bench', 'nothing'), 2, '6004 bench_unknown', id='bench'),
        pytest.param(('entry', '/absent', '--check'), 2, '6001 settings_missing', id='settings'),
        pytest.param(('get', 'Door', *OPTIONS, '/dev/null'), 1, '2006 unknown_kind', id='kind'),
        pytest.param(('status', *OPTIONS, '/absent'), 2, '--token-file', id='token-file'),
        pytest.param(('drain', 'Host 7', *OPTIONS, '/absent'), 2, '6002', id='host'),
        pytest.param(
            ('status', '--entry', 'ftp://x', '--token-file', '/dev/null'),
            2,
            '6002 usage_invalid',
            id='url',
        ),
    ],
)
def test_error_is_one_plain_line(
    arguments: tuple[str, ...],
    expected: int,
    named: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(list(arguments)) == expected
    printed = capsys.readouterr()
    assert printed.out == ''
    assert named in printed.err
    assert printed.err.count('\n') == 1


def test_faulty_command_line_exits_with_usage() -> None:
    with pytest.raises(SystemExit) as caught:
        run(['no-such-command'])
    assert caught.value.code == ExitCode.usage


@pytest.mark.parametrize(
    ('document', 'named'),
    [
        pytest.param('', 'declares nothing', id='empty'),
        pytest.param('{', 'not YAML', id='not-yaml'),
        pytest.param('kind: Door\nname: a', 'document 1', id='unknown-kind'),
        pytest.param(
            'kind: Drain\nname: a\nhost: a\n---\nkind: Drain\nname: a\nhost: A',
            'document 2: Drain.host',
            id='second-document',
        ),
    ],
)
def test_faulty_resource_file_names_the_fault(tmp_path: Path, document: str, named: str) -> None:
    path = tmp_path / 'resources.yaml'
    path.write_text(document)
    with pytest.raises(ResourceError) as caught:
        read_resources(path)
    assert caught.value.code is Code.resource_invalid
    assert named in caught.value.detail
