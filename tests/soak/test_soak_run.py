"""A short soak of real processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.run import run

if TYPE_CHECKING:
    from pathlib import Path

#: Draws a replica that drains, and a backend server that loses answers.
SEED = '1'
AREAS = ('changes', 'backends')


def test_short_soak_breaks_no_promise(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv('TMPDIR', str(tmp_path))
    report = tmp_path / 'soak.json'
    arguments = ('--seed', SEED, '--seconds', '6', '--entries', '2', '--agents', '1')
    code = run(['soak', *arguments, '--areas', *AREAS, '--json', str(report)])
    found = json.loads(report.read_text())
    assert (found['violations'], code) == ([], ExitCode.fine)
    assert len(found['counts']['stops_s']) == 3
    assert found['counts']['attempts']['order 200'] > 0


@pytest.mark.parametrize(
    'arguments',
    [
        pytest.param(('--seconds', '0'), id='too-short'),
        pytest.param(('--entries', '0'), id='no-entry'),
        pytest.param(('--agents', '60'), id='too-many-processes'),
        pytest.param(('--areas', 'weather'), id='no-such-area'),
    ],
)
def test_bad_input_has_its_code(
    arguments: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(['soak', '--seed', '1', *arguments]) == ExitCode.usage
    assert '6002 usage_invalid' in capsys.readouterr().err
