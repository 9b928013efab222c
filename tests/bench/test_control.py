from __future__ import annotations

import random

import pytest

from cassiahitch.bench.control import run
from cassiahitch.bench.heartbeats import measure_heartbeats
from cassiahitch.bench.propagation import delay_to_all, measure_propagation
from cassiahitch.bench.regression import fit
from cassiahitch.bench.revisions import measure_revisions
from cassiahitch.members.membership import Role

SIZES = (4, 8, 12, 16)
UNTIMED = ('bytes per', 'snapshot per', 'in force', 'store reads')


def test_line_goes_through_exact_points() -> None:
    line = fit([(1, 5), (2, 7), (3, 9), (4, 11)])
    assert (line.intercept, line.slope) == pytest.approx((3, 2))
    assert line.at(100) == pytest.approx(203)


def test_slope_of_too_few_sizes_is_refused() -> None:
    with pytest.raises(ValueError, match='at least 4'):
        fit([(1, 5), (2, 7), (3, 9), (3, 9)])


def test_bytes_of_heartbeats_rise_with_peers() -> None:
    small, large = (measure_heartbeats(random.Random(1), peers, Role.agent) for peers in (5, 50))
    assert large.messages == 10 * small.messages
    assert large.bytes_in == pytest.approx(10 * small.bytes_in, rel=0.1)
    assert large.memory_bytes > small.memory_bytes


def test_cost_of_a_change_does_not_depend_on_the_organisations() -> None:
    assert measure_revisions(5).change_bytes == pytest.approx(
        measure_revisions(500).change_bytes, 5
    )


def test_change_is_followed_to_every_node() -> None:
    found = measure_propagation(random.Random(2), entries=3, agents=6, changes=20)
    assert 0 < found.mean_s <= found.worst_s
    assert found.worst_s < 7


@pytest.mark.parametrize(
    ('reached', 'delay'),
    [([4, 6, 5], 3), ([4, 5], float('inf')), ([], float('inf'))],
    ids=['all', 'some', 'none'],
)
def test_change_is_in_force_only_when_all_nodes_have_it(
    reached: list[float],
    delay: float,
) -> None:
    assert delay_to_all(3, reached, 3) == delay


def test_report_names_missed_targets_and_repeats() -> None:
    first, second = (run(3, SIZES) for _ in range(2))
    untimed = [
        {figure.name: figure.value for figure in report.figures if figure.name.startswith(UNTIMED)}
        for report in (first, second)
    ]
    assert untimed[0] == untimed[1]
    assert len(untimed[0]) == 8
    missed = [figure.name for figure in first.figures if not figure.met]
    assert any('traffic' in name for name in missed)
