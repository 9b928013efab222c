"""Tests of parsing log lines and of selecting those that explain a request."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from cassiahitch.cli.commands import main
from cassiahitch.timeline.loglines import parse_line, select_explaining_lines


def make_line(second: float, message: str, **fields: object) -> str:
    document = {'time': f'2026-12-04 05:00:{second:06.3f}'.replace('.', ','), 'message': message}
    return json.dumps({**document, **fields})


@pytest.fixture
def logs(tmp_path: Path) -> tuple[str, ...]:
    texts_by_process = {
        'entry-1': (
            make_line(1, 'weights declared', model='m', weights=3),
            make_line(10, 'replica listed', replica='i-2', service='drafts'),
            make_line(11, 'request sent', request='aa', replica='i-1', version=2),
            make_line(11.5, 'request sent', request='bb', replica='i-1', version=2),
            make_line(12, 'request failed', request='aa', code=1008, name_of_code='no_replica'),
            'Traceback (most recent call last):',
        ),
        'agent-1': (
            make_line(10.5, 'load ordered', model='m', weights=2),
            make_line(10.6, 'load ordered', model='m', weights=9),
        ),
        'entry-2': (make_line(11.2, 'backend server crashed', replica='i-1'),),
    }
    for name, texts in texts_by_process.items():
        (tmp_path / f'{name}.log').write_text('\n'.join(texts))
    return tuple(str(tmp_path / f'{name}.log') for name in texts_by_process)


def test_request_is_explained_by_its_lines_and_by_what_changed_before(
    logs: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(['explain', 'aa', *logs, '--output', 'json']) == 0
    shown = [json.loads(text) for text in capsys.readouterr().out.splitlines()]
    assert [(shown_line['process'], shown_line['message']) for shown_line in shown] == [
        ('entry-1', 'replica listed'),
        ('agent-1', 'load ordered'),
        ('entry-1', 'request sent'),
        ('entry-2', 'backend server crashed'),
        ('entry-1', 'request failed'),
    ]


def test_table_names_code_and_details_in_words(
    logs: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    main(['explain', 'aa', *logs])
    shown = capsys.readouterr().out
    assert '1008 no_replica' in shown
    assert 'replica i-1, version 2' in shown


def test_unknown_request_and_unreadable_file_are_usage_errors(logs: tuple[str, ...]) -> None:
    for arguments in (['explain', 'cc', *logs], ['explain', 'aa', 'missing.log']):
        with pytest.raises(SystemExit, match='usage_invalid'):
            main(arguments)


def test_line_may_begin_with_a_time_and_its_process() -> None:
    parsed = parse_line('file', f'  12.5 edge-1 {make_line(1, "started")}')
    assert parsed is not None
    assert (parsed.process, parsed.message) == ('edge-1', 'started')


@pytest.mark.parametrize('text', ['', 'x', '{', '[]', '{"time": 1, "message": "x"}', '12 {}'])
def test_line_that_is_no_log_line_is_ignored(text: str) -> None:
    assert parse_line('file', text) is None


def test_nothing_explains_a_request_without_a_line_of_its_own() -> None:
    parsed = parse_line('file', make_line(1, 'started'))
    assert parsed is not None
    assert not select_explaining_lines([parsed], 'aa', 3)
