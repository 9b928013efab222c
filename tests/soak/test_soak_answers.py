"""Wrong answers are told from right ones."""

from __future__ import annotations

import pytest

from cassiahitch.platform import names
from cassiahitch.soak.records import RequestKind
from cassiahitch.soak.responses import (
    WorkSpec,
    expected_body,
    make_seal,
    response_error,
    stream_event,
)

WORK = WorkSpec(parts=3, pause_s=0.05, size=40)
RIGHT = {names.ATTEMPT_ID.lower(): 's1', names.RESPONSE_SEAL.lower(): make_seal('m-0', 's1')}


def test_work_survives_the_query() -> None:
    assert WorkSpec.parse(f'/draft/s1?{WORK.query()}') == WORK


def judge(headers: dict[str, str], body: bytes, *, whole: bool = True) -> str:
    expected = expected_body(RequestKind.draft, 's1', 'd', WORK)
    return response_error('s1', headers, body, expected, whole=whole)


def test_right_answer_and_its_start_are_right() -> None:
    body = expected_body(RequestKind.draft, 's1', 'd', WORK)
    assert not judge(RIGHT, body)
    assert not judge(RIGHT, body[:50], whole=False)


@pytest.mark.parametrize(
    ('changed', 'numbers'),
    [
        pytest.param({names.ATTEMPT_ID.lower(): 's2'}, (1, 2, 3), id='foreign'),
        pytest.param({names.RESPONSE_SEAL.lower(): ''}, (1, 2, 3), id='no-seal'),
        pytest.param(
            {names.RESPONSE_SEAL.lower(): make_seal('m-0', 's2')}, (1, 2, 3), id='seal-of-another'
        ),
        pytest.param({}, (1, 2), id='looks-whole'),
        pytest.param({}, (1, 3), id='event-missing'),
        pytest.param({}, (1, 2, 2, 3), id='event-twice'),
        pytest.param({}, (2, 1, 3), id='order'),
        pytest.param({}, (1, 2, 3, 4), id='too-long'),
    ],
)
def test_wrong_answer_is_seen(changed: dict[str, str], numbers: tuple[int, ...]) -> None:
    body = b''.join(stream_event('s1', number, WORK) for number in numbers)
    assert judge({**RIGHT, **changed}, body)
