"""Tests that the documentation says what the program does."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.reference import resources_page, settings_page
from cassiahitch.codes import Code
from cassiahitch.entry.statuses import http_status
from cassiahitch.metrics.names import CounterName, GaugeName, LatencyName
from cassiahitch.timeline.events import EventKind

ROOT = Path(__file__).parents[2]
DOCS = ROOT / 'docs'
LINK = re.compile(r'\]\(([^)#:\s]+)(?:#[^)]*)?\)')


def rows(page: str, columns: int) -> list[tuple[str, ...]]:
    """Return the first cells of the rows of all tables of a page."""
    text = (DOCS / page).read_text(encoding='utf-8')
    lines = [line for line in text.splitlines() if line.startswith('| ')]
    cells = [tuple(cell.strip(' `') for cell in line.split('|')[1:-1]) for line in lines]
    return [row[:columns] for row in cells]


def test_codes_table_matches_codes() -> None:
    expected = [
        (str(code.value), code.name, str(http_status(code) if code else 200)) for code in Code
    ]
    assert [row for row in rows('reference/codes.md', 3) if row[0].isdigit()] == expected


def test_exit_codes_table_matches_exit_codes() -> None:
    expected = [(str(code.value), code.name) for code in ExitCode]
    assert [row for row in rows('reference/commands.md', 2) if row[0].isdigit()] == expected


def test_metrics_tables_match_names() -> None:
    names = [*CounterName, *GaugeName, *LatencyName, *EventKind]
    listed = [row[0] for row in rows('reference/metrics.md', 1) if row[0] not in {'name', 'kind'}]
    assert listed == [name.value for name in names]


def test_generated_pages_are_current() -> None:
    assert (DOCS / 'reference/settings.md').read_text(encoding='utf-8') == settings_page()
    assert (DOCS / 'reference/resources.md').read_text(encoding='utf-8') == resources_page()


def test_every_ignored_rule_and_limit_has_its_reason() -> None:
    configuration = (ROOT / '.flake8').read_text(encoding='utf-8')
    ignored = configuration.partition('extend-ignore')[2].partition('per-file-ignores')[0]
    page = (DOCS / 'reference/style.md').read_text(encoding='utf-8')
    missing = [rule for rule in re.findall(r'\b[A-Z]+\d{3}\b', ignored) if rule not in page]
    limits = re.findall(r'^(max-[a-z-]+) = (\d+)', configuration, re.MULTILINE)
    wrong = [name for name, limit in limits if f'`{name}` {limit}' not in page]
    assert (missing, [name for name in wrong if name != 'max-line-length']) == ([], [])


def test_every_proofs_table_is_listed() -> None:
    page = (DOCS / 'explanation/proofs.md').read_text(encoding='utf-8')
    tables = (DOCS / 'explanation/proofs.d').glob('*.md')
    assert [table.name for table in tables if f'proofs.d/{table.name}' not in page] == []


@pytest.mark.parametrize(
    'page',
    [ROOT / 'README.md', *sorted(DOCS.rglob('*.md'))],
    ids=lambda page: str(page.relative_to(ROOT)),
)
def test_links_lead_somewhere(page: Path) -> None:
    links = LINK.findall(page.read_text(encoding='utf-8'))
    assert [link for link in links if not (page.parent / link).exists()] == []
