"""Tests of the load on the direct path."""

from __future__ import annotations

from cassiahitch.bench import direct


def test_load_finds_no_wrong_and_no_doubled_answer() -> None:
    report = direct.run(1, (2,))
    figures = {figure.name: figure for figure in report.figures}
    assert [name for name, figure in figures.items() if not figure.met] == []
    least = 2 * direct.STEADY_ANSWERS
    assert all(figure.value >= least for name, figure in figures.items() if 'right' in name)
