"""The estimated load of a replica is finite, however fast its responses were."""

from __future__ import annotations

import pytest

from cassiahitch.routing.api import LoadReport, Replica
from cassiahitch.routing.replicas import ReplicaState
from cassiahitch.routing.score import estimated_load, run_s, wait_s


@pytest.mark.parametrize('responses', [1, 3])
def test_response_that_took_no_time_by_the_clock_does_not_divide_by_zero(responses: int) -> None:
    state = ReplicaState(Replica('host-0', 1, 'lagos', 'lagos-1'), added_at=0)
    state.apply_report(LoadReport(running=4, queued=0, capacity=2, measured_at=10), 10)
    for _ in range(responses):
        state.record_latency(0, load=1)
    load = estimated_load(state, 10)
    assert load == pytest.approx(4)
    assert estimated_load(state, 11) == pytest.approx(state.mean_other_requests)
    assert wait_s(state, load, 1) > 0
    assert run_s(state, load, 1) > 0
