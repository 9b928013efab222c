"""Tests of the benchmark of the ledger."""

from __future__ import annotations

import pytest

from cassiahitch.bench import ledger
from cassiahitch.bench.api import BenchReport


@pytest.fixture(scope='module')
def report() -> BenchReport:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ledger, 'DURATION_S', 0.5)
        return ledger.run(1, (3,))


def figure_value(report: BenchReport, name: str) -> float:
    return next(figure.value for figure in report.figures if figure.name == name)


def test_group_commit_carries_more_claims_than_single_writes(report: BenchReport) -> None:
    single = figure_value(report, 'one write a claim, 3 agents: claims a second')
    assert single <= ledger.STORE_WRITES_PER_S
    assert figure_value(report, 'group commit, 3 agents: claims a second') > 2 * single


def test_requests_in_an_outage_meet_their_targets(report: BenchReport) -> None:
    assert figure_value(report, 'store down, 3 agents: tickets answered') > 100
    assert all(figure.met for figure in report.figures)
