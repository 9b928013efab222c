"""Tests of rollouts and of the assignment of hosts."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahitch.controllers.assignment import ObservedNode, assign_hosts
from cassiahitch.controllers.rollout import (
    OBSERVATION_DELAY_S,
    OrderCancel,
    OrderFetch,
    OrderLoad,
    OrderRelease,
    RolloutAction,
    RolloutController,
    WritePlan,
    load_targets,
    serving_digest,
)
from cassiahitch.resources.models import Adapter, Deployment, Model, Resource
from cassiahitch.resources.parsing import resource_key

OLD = 'a' * 64
NEW = 'b' * 64
ADAPTER = 'c' * 64


def model(manifest: str) -> Model:
    return Model(name='menu', version='v1', origin='menu/v1', manifest=manifest)


def deployment(replicas: int = 6, **fields: object) -> Deployment:
    base = {'name': 'draft', 'service': 'draft', 'model': 'menu', 'replicas': replicas}
    return Deployment.model_validate({**base, **fields})


def desired(*resources: Resource) -> dict[str, Resource]:
    return {resource_key(resource): resource for resource in resources}


def hosts(count: int, **fields: object) -> tuple[ObservedNode, ...]:
    return tuple(
        ObservedNode(f'h{index}', 1, 'west', f'w{index % 3}', **fields)  # type: ignore[arg-type]
        for index in range(count)
    )


def reconcile(
    resources: dict[str, Resource],
    nodes: tuple[ObservedNode, ...],
    plans: dict[str, str],
) -> tuple[RolloutAction, ...]:
    controller = RolloutController(started_at=0)
    return controller.reconcile(resources, nodes, plans, fencing_number=4, now=100)


def test_plan_comes_before_fetches_and_fetches_before_loads() -> None:
    wanted = desired(model(NEW), deployment(3))
    nodes = hosts(3)
    planned = reconcile(wanted, nodes, {})
    assert [type(action) for action in planned] == [WritePlan]
    fetches = reconcile(wanted, nodes, {NEW: 'p'})
    assert {type(action) for action in fetches} == {OrderFetch}
    complete = hosts(3, deployment='draft', complete=frozenset((NEW,)))
    loads = reconcile(wanted, complete, {NEW: 'p'})
    assert [type(action) for action in loads] == [OrderLoad, OrderLoad, OrderLoad]
    done = hosts(3, deployment='draft', complete=frozenset((NEW,)), loaded=NEW)
    assert not reconcile(wanted, done, {NEW: 'p'})


def test_target_names_model_and_adapters() -> None:
    adapter = Adapter(name='soup', version='1', model='menu', origin='o', manifest=ADAPTER)
    wanted = desired(model(NEW), adapter, deployment(adapters=('soup',)))
    target = load_targets(wanted)['draft']
    assert target.manifests == (NEW, ADAPTER)
    assert target.digest == serving_digest((NEW, ADAPTER))
    assert target.digest not in {NEW, ADAPTER}
    assert not load_targets(desired(model(NEW), deployment(adapters=('soup',))))


def test_superseded_load_is_cancelled_and_surplus_is_released() -> None:
    wanted = desired(model(NEW), deployment(1))
    nodes = (
        ObservedNode('h0', 1, 'west', 'w0', 'draft', OLD, 'd' * 64),
        ObservedNode('h1', 1, 'west', 'w0', 'draft', OLD),
    )
    actions = reconcile(wanted, nodes, {NEW: 'p'})
    kinds = Counter(type(action) for action in actions)
    assert kinds[OrderCancel] == 1
    assert kinds[OrderRelease] == 1


def test_new_lease_holder_waits_until_earlier_orders_are_observed() -> None:
    wanted = desired(model(NEW), deployment(3))
    nodes = hosts(3, deployment='draft', complete=frozenset((NEW,)), loaded=OLD)
    controller = RolloutController(started_at=50)
    early = controller.reconcile(wanted, nodes, {NEW: 'p'}, 2, 50 + OBSERVATION_DELAY_S / 2)
    assert not early
    later = controller.reconcile(wanted, nodes, {NEW: 'p'}, 2, 50 + OBSERVATION_DELAY_S)
    assert [type(action) for action in later] == [OrderLoad]
    assert not controller.reconcile(wanted, nodes, {NEW: 'p'}, 2, 51 + OBSERVATION_DELAY_S)


def test_assignment_spreads_and_is_stable() -> None:
    nodes = hosts(12)
    first = assign_hosts((deployment(6),), nodes)['draft']
    assert Counter(node.failure_domain for node in first) == {'w0': 2, 'w1': 2, 'w2': 2}
    serving = tuple(replace(node, deployment='draft') if node in first else node for node in nodes)
    repeated = assign_hosts((deployment(6),), tuple(reversed(serving)))['draft']
    assert {node.host for node in repeated} == {node.host for node in first}
    after_loss = tuple(replace(node, ready=node.host != first[0].host) for node in serving)
    repaired = assign_hosts((deployment(6),), after_loss)['draft']
    assert len({node.host for node in repaired} & {node.host for node in first}) == 5
    assert len(repaired) == 6


def test_draining_and_foreign_hosts_are_not_chosen() -> None:
    nodes = (*hosts(3, draining=True), ObservedNode('x', 1, 'east', 'e0'))
    assert assign_hosts((deployment(failure_domains=('w0', 'w1')),), nodes) == {'draft': ()}


RARELY_TRUE = st.sampled_from([False, False, False, True])


class WaveMachine(RuleBasedStateMachine):
    """Rollout to three serving replicas while orders and heartbeats are delayed."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0
        self.wanted = desired(model(NEW), deployment(3))
        nodes = hosts(3, deployment='draft', loaded=OLD)
        self.real = {node.host: node for node in nodes}
        self.observed = dict(self.real)
        self.ordered_at: dict[str, float] = {}
        self.controller = RolloutController(started_at=-OBSERVATION_DELAY_S)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2]))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        for host, at in tuple(self.ordered_at.items()):
            if self.now >= at + 1:
                self.start(host)

    @rule(host=st.sampled_from([f'h{index}' for index in range(3)]))
    def complete(self, host: str) -> None:
        self.real[host] = replace(self.real[host], complete=frozenset((NEW,)))
        self.observed[host] = self.real[host]

    @rule(host=st.sampled_from([f'h{index}' for index in range(3)]))
    def start(self, host: str) -> None:
        if self.ordered_at.pop(host, None) is not None:
            self.real[host] = replace(self.real[host], loading=NEW, loaded='')
            self.observed[host] = self.real[host]

    @rule(host=st.sampled_from([f'h{index}' for index in range(3)]))
    def finish(self, host: str) -> None:
        if self.real[host].loading:
            self.real[host] = replace(self.real[host], loading='', loaded=NEW)
            self.observed[host] = self.real[host]

    @rule(host=st.sampled_from([f'h{index}' for index in range(3)]), new_holder=RARELY_TRUE)
    def complete_and_reconcile(self, host: str, new_holder: bool) -> None:
        self.complete(host)
        if new_holder:
            self.controller = RolloutController(self.now)
        self.reconcile()

    @rule()
    def reconcile(self) -> None:
        observed = tuple(self.observed.values())
        for order in self.controller.reconcile(self.wanted, observed, {NEW: 'p'}, 1, self.now):
            if isinstance(order, OrderLoad):
                self.ordered_at.setdefault(order.host, self.now)

    @invariant()
    def most_replicas_serve(self) -> None:
        assert sum(1 for node in self.real.values() if node.loaded) >= 2

    def teardown(self) -> None:
        for host in self.real:
            self.complete(host)
        for _ in range(40):
            self.advance(1)
            self.reconcile()
            for host in self.real:
                self.finish(host)
        assert {node.loaded for node in self.real.values()} == {NEW}


TestWaveMachine = WaveMachine.TestCase
