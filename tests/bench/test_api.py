"""Tests of the figures of benchmarks."""

from __future__ import annotations

import pytest

from cassiahitch.bench.api import Bound, Figure


@pytest.mark.parametrize(
    ('bound', 'target', 'met'),
    [
        pytest.param(Bound.at_most, 1.5, True, id='below-ceiling'),
        pytest.param(Bound.at_most, 0.5, False, id='above-ceiling'),
        pytest.param(Bound.at_least, 1.5, False, id='below-floor'),
        pytest.param(Bound.reported, 0, True, id='no-target'),
    ],
)
def test_figure_compares_with_target(bound: Bound, target: float, *, met: bool) -> None:
    assert Figure('time', 1, 's', bound, target).met is met
