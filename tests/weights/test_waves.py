"""Tests of the selection of replicas that load."""

from __future__ import annotations

from math import ceil

from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.weights.waves import (
    HaltLoads,
    LoadPhase,
    OrderLoad,
    ReplicaState,
    WaveLimits,
    next_wave,
)

LIMITS = WaveLimits(min_serving_share=0.6, min_domain_share=0.5, failure_limit=2)
phases = st.sampled_from(LoadPhase)
replica_spec_lists = st.lists(st.tuples(st.sampled_from('abc'), phases, st.booleans()), max_size=12)


def replicas_of(replica_specs: list[tuple[str, LoadPhase, bool]]) -> tuple[ReplicaState, ...]:
    return tuple(
        ReplicaState(f'h{number}', domain, phase, ready)
        for number, (domain, phase, ready) in enumerate(replica_specs)
    )


def serving_count(replicas: tuple[ReplicaState, ...], domain: str = '') -> int:
    return sum(
        replica.phase in {LoadPhase.old, LoadPhase.new}
        for replica in replicas
        if domain in {'', replica.failure_domain}
    )


@given(replica_spec_lists)
def test_wave_keeps_enough_replicas_serving(
    replica_specs: list[tuple[str, LoadPhase, bool]],
) -> None:
    replicas = replicas_of(replica_specs)
    orders = next_wave(replicas, 'm', 7, LIMITS)
    if any(isinstance(order, HaltLoads) for order in orders):
        assert sum(replica.phase is LoadPhase.failed for replica in replicas) >= 2
        return
    hosts = {order.host for order in orders if isinstance(order, OrderLoad)}
    selected = [replica for replica in replicas if replica.host in hosts]
    assert all(replica.ready for replica in selected)
    assert {replica.phase for replica in selected} <= {LoadPhase.empty, LoadPhase.old}
    interrupted = [replica for replica in selected if replica.phase is LoadPhase.old]
    if interrupted and len(replicas) > 1:
        min_serving = min(ceil(0.6 * len(replicas)), len(replicas) - 1)
        assert serving_count(replicas) - len(interrupted) >= min_serving
    for domain in sorted({replica.failure_domain for replica in interrupted}):
        size = sum(replica.failure_domain == domain for replica in replicas)
        interrupted_in_domain = sum(replica.failure_domain == domain for replica in interrupted)
        min_serving = min(ceil(0.5 * size), size - 1)
        assert serving_count(replicas, domain) - interrupted_in_domain >= min_serving


@given(st.lists(st.sampled_from('abc'), min_size=1, max_size=12))
def test_waves_load_every_replica_in_the_end(domains: list[str]) -> None:
    phase = dict.fromkeys(range(len(domains)), LoadPhase.old)
    for _ in domains:
        replicas = replicas_of(
            [(domain, phase[number], True) for number, domain in enumerate(domains)]
        )
        for order in next_wave(replicas, 'm', 7, LIMITS):
            assert isinstance(order, OrderLoad)
            assert order.fencing_number == 7
            phase[int(order.host[1:])] = LoadPhase.new
    assert set(phase.values()) == {LoadPhase.new}


def test_failed_loads_halt_the_rollout() -> None:
    replicas = replicas_of(
        [('a', LoadPhase.failed, True), ('a', LoadPhase.failed, True), ('b', LoadPhase.empty, True)]
    )
    assert next_wave(replicas, 'm', 7, LIMITS) == (HaltLoads('m', 2),)
