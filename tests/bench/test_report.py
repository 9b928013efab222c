"""Tests of the lookup of benchmarks by name and of their reports."""

from __future__ import annotations

import io
import json
from typing import TYPE_CHECKING

import pytest
from rich.console import Console

from cassiahitch.bench.api import BenchReport, Bound, Figure, Series
from cassiahitch.bench.report import encode_report, report_table, write_plot
from cassiahitch.bench.runner import find_bench
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    from pathlib import Path

    from syrupy.assertion import SnapshotAssertion

REPORT = BenchReport(
    name='rollout',
    seed=7,
    sizes=(12, 48),
    figures=(
        Figure('origin bytes', 1.05, 'copies', Bound.at_most, 1.1),
        Figure('fairness', 0.9, '', Bound.at_least, 0.98),
        Figure('time', 12.5, 's'),
    ),
    series=(Series('trees', ((12, 1), (48, 1.5))),),
    axes=('participants', 'time / s'),
)


def test_table_names_missed_targets(snapshot: SnapshotAssertion) -> None:
    console = Console(file=io.StringIO(), width=100)
    console.print(report_table(REPORT))
    assert isinstance(console.file, io.StringIO)
    assert console.file.getvalue() == snapshot


def test_json_holds_figures_with_seed_and_sizes() -> None:
    document = json.loads(encode_report(REPORT))
    assert (document['seed'], document['sizes']) == (7, [12, 48])
    assert document['figures'][0]['bound'] == '<='


def test_plot_is_written(tmp_path: Path) -> None:
    write_plot(REPORT, tmp_path / 'plot.svg')
    assert 'svg' in (tmp_path / 'plot.svg').read_text()


@pytest.mark.parametrize('name', ['', 'nothing', '../rollout'])
def test_unknown_name_gives_numbered_error(name: str) -> None:
    with pytest.raises(CassiahitchError) as caught:
        find_bench(name)
    assert caught.value.code is Code.bench_unknown


def test_absent_module_gives_numbered_error() -> None:
    with pytest.raises(CassiahitchError, match='6004 bench_unknown: x is not there yet'):
        find_bench('x', {'x': 'cassiahitch.bench.absent'})
