"""Tests of the distribution trees."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.resources.models import Objective
from cassiahitch.weights.plan import Participant, RolloutPlan, build_plan
from cassiahitch.weights.tree import TREES, Trees, ancestors

objectives = st.sampled_from(Objective)
trees = st.integers(0, TREES - 1)


def make_plan(sizes: list[int], objective: Objective) -> RolloutPlan:
    """Create a plan with one region per size, each with two failure domains."""
    members = tuple(
        Participant(f'h{region}-{number}', f'r{region}', f'd{number % 2}')
        for region, size in enumerate(sizes)
        for number in range(size)
    )
    return build_plan('r1', 'ab' * 32, objective, members)


plans = st.builds(make_plan, st.lists(st.integers(1, 7), min_size=1, max_size=6), objectives)


def parent_hosts(plan: RolloutPlan, index: int, lost: frozenset[str]) -> dict[Participant, str]:
    tree_set = Trees(plan)
    live = [member for member in plan.participants if member.host not in lost]
    return {member: tree_set.ancestors(index, member, lost)[0].host for member in live}


@given(plans, trees, st.sets(st.integers(0, 20)))
def test_every_live_host_reaches_the_origin_over_live_hosts(
    plan: RolloutPlan, index: int, numbers: set[int]
) -> None:
    lost = frozenset(
        member.host for number, member in enumerate(plan.participants) if number in numbers
    )
    parent_by_host = {
        member.host: parent for member, parent in parent_hosts(plan, index, lost).items()
    }
    for start in parent_by_host:
        path = [start]
        while path[-1]:
            path.append(parent_by_host[path[-1]])
            assert len(path) <= len(parent_by_host) + 1


@given(plans, trees)
def test_each_region_receives_a_chunk_once(plan: RolloutPlan, index: int) -> None:
    region_by_host = {member.host: member.region for member in plan.participants}
    entry_counts: Counter[str] = Counter()
    for member, parent in parent_hosts(plan, index, frozenset()).items():
        entry_counts[member.region] += region_by_host.get(parent) != member.region
    assert set(entry_counts.values()) == {1}


@given(plans, trees)
def test_origin_sends_no_more_copies_than_the_objective_allows(
    plan: RolloutPlan, index: int
) -> None:
    roots = [host for host in parent_hosts(plan, index, frozenset()).values() if not host]
    assert len(roots) <= {Objective.time: 3, Objective.origin_bytes: 1}[plan.objective]


@given(plans, trees)
def test_a_failure_domain_receives_a_chunk_once(plan: RolloutPlan, index: int) -> None:
    domain_by_host = {
        member.host: (member.region, member.failure_domain) for member in plan.participants
    }
    entry_counts: Counter[tuple[str, str]] = Counter()
    for member, parent in parent_hosts(plan, index, frozenset()).items():
        domain = (member.region, member.failure_domain)
        entry_counts[domain] += domain_by_host.get(parent) != domain
    assert set(entry_counts.values()) == {1}


@given(objectives)
def test_all_hosts_send_about_one_copy(objective: Objective) -> None:
    plan = make_plan([24, 24, 24], objective)
    sent: Counter[str] = Counter()
    for index in range(TREES):
        sent.update(parent_hosts(plan, index, frozenset()).values())
    sent.pop('')
    assert max(sent.values()) <= TREES * 1.3
    assert min(sent.values()) >= TREES * 0.7


@given(plans, trees, st.integers(0, 5))
def test_a_joiner_is_a_leaf(plan: RolloutPlan, index: int, region: int) -> None:
    before = parent_hosts(plan, index, frozenset())
    joiner = Participant('joiner', f'r{region}', 'd0')
    sources = ancestors(plan, index, joiner)
    assert not any(source.is_origin for source in sources)
    assert parent_hosts(plan, index, frozenset()) == before


@given(plans, trees)
def test_hosts_behind_suspects_turn_to_the_origin_one_by_one(plan: RolloutPlan, index: int) -> None:
    tree_set = Trees(plan)
    all_hosts = frozenset(member.host for member in plan.participants)
    stagger_counts = Counter(
        (member.region, source.stagger)
        for member in plan.participants
        for source in tree_set.ancestors(index, member, suspects=all_hosts - {member.host})
        if source.is_origin
    )
    assert sum(stagger_counts.values()) == len(all_hosts)
    assert set(stagger_counts.values()) == {1}
    if plan.objective is Objective.origin_bytes:
        assert sorted(stagger for _, stagger in stagger_counts) == list(range(len(all_hosts)))
