"""Tests of rollout plans."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.resources.models import Objective
from cassiahitch.weights.plan import Participant, build_plan, parse_plan

MEMBERS = tuple(Participant(f'h{number}', 'lagos', 'l1') for number in range(3))
MEMBER = {'host': 'h', 'region': 'r', 'failure_domain': 'd'}
PLAN = build_plan('r1', 'ab' * 32, Objective.time, MEMBERS)


@given(st.permutations(MEMBERS))
def test_plan_does_not_depend_on_order(members: list[Participant]) -> None:
    plan = build_plan('r1', 'ab' * 32, Objective.time, tuple(members))
    assert plan.digest == PLAN.digest
    assert parse_plan(plan.to_json()) == PLAN


@pytest.mark.parametrize(
    'change',
    [
        pytest.param({'manifest': 'xy'}, id='bad-digest'),
        pytest.param({'objective': 'speed'}, id='unknown-objective'),
        pytest.param({'participants': []}, id='no-participants'),
        pytest.param({'participants': [{'host': 'h'}]}, id='no-region'),
        pytest.param(
            {'participants': [MEMBER, MEMBER]},
            id='host-twice',
        ),
        pytest.param({'rollout': ''}, id='no-rollout'),
        pytest.param({'more': 1}, id='unknown-field'),
    ],
)
def test_invalid_plan_is_corrupt(change: dict[str, object]) -> None:
    raw = json.dumps(json.loads(PLAN.to_json()) | change).encode()
    with pytest.raises(CassiahitchError) as caught:
        parse_plan(raw)
    assert caught.value.code is Code.plan_corrupt


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_corrupt(raw: bytes) -> None:
    with pytest.raises(CassiahitchError) as caught:
        parse_plan(raw)
    assert caught.value.code is Code.plan_corrupt
