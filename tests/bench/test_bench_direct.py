"""Tests of the benchmark of the direct path."""

from __future__ import annotations

from virtual_loop import virtual_time

from cassiahitch.bench import direct


def test_callers_receive_no_wrong_and_no_duplicate_response() -> None:
    with virtual_time() as runner:
        report = direct.run_with_runner(runner, 1, (2,))
    figures = {figure.name: figure for figure in report.figures}
    assert [name for name, figure in figures.items() if not figure.met] == []
    correct_counts = [figure.value for name, figure in figures.items() if 'right' in name]
    assert len(correct_counts) == len(direct.DISTURBANCES)
    assert min(correct_counts) >= 2 * direct.STEADY_RESPONSES
