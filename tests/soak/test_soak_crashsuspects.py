"""The checks of prompts that crash engines report late requests and sound ones that suffer."""

from __future__ import annotations

import pytest
from soak_records import cut_attempt, late_execution

from cassiahitch.soak.crashsuspects import (
    DECISIVE_CRASH,
    MAX_LATE_REQUESTS,
    MIN_SOUND_REQUESTS,
    check_crash_suspects,
    check_sound_prompts,
)
from cassiahitch.soak.prompts import PromptChoice, draw_prompt
from cassiahitch.soak.records import SOAK, STORE, Disturbance, Promise, Record

#: Times of the first prompt that crashes engines, of the decisive crash, and of their end.
CRASHING_FROM = 20.0
DECISIVE_CRASH_AT = 24.0
CRASHING_UNTIL = 60.0
#: Start of the sound requests before and after the crashes.
BEFORE = 10.0
AFTER = DECISIVE_CRASH_AT + 6


class CrashRecord:
    """A record with the decisive number of crashes at one engine, and requests beside them."""

    def __init__(self, crashes: int = DECISIVE_CRASH) -> None:
        self.record = Record(began=0, ended=70)
        self.record.crashing = Disturbance('crashing prompts', CRASHING_FROM, CRASHING_UNTIL)
        for number in range(crashes):
            arrived = DECISIVE_CRASH_AT - 0.1 * (DECISIVE_CRASH - 1 - number)
            self.add(PromptChoice.crashing, arrived, crashed=True)

    def add(
        self,
        prompts: PromptChoice,
        at: float,
        *,
        crashed: bool = False,
        begins: bool = False,
        reaches: bool = True,
        request: int | None = None,
        key: str = 'key-0',
    ) -> None:
        number = len(self.record.attempts)
        prompt = draw_prompt(f's{number}', prompts).encode(300)
        attempt = cut_attempt(
            id=f's{number}',
            request=number if request is None else request,
            entry=f'entry-{number % 2}',
            began=at,
            ended=at + 0.1,
            prompt=prompt,
            key=key,
        )
        self.record.attempts[attempt.id] = attempt
        if reaches:
            run = late_execution(
                id=attempt.id,
                arrived=at,
                began=at if begins else None,
                ended=at,
                crashed=crashed,
                prompt=prompt,
            )
            self.record.executions.append(run)

    def add_late(self, count: int) -> None:
        for number in range(count):
            self.add(PromptChoice.crashing, DECISIVE_CRASH_AT + 3.01 + number / 100)

    def add_sound(self, since: float, count: int, begun: int, key: str = 'key-0') -> None:
        for number in range(count):
            at = since + number / 100
            self.add(PromptChoice.common, at, begins=number < begun, key=key)

    def promises(self) -> list[Promise]:
        checks = (check_crash_suspects, check_sound_prompts)
        return [violation.promise for check in checks for violation in check(self.record)]


def test_requests_that_crash_engines_are_counted_over_all_entries_after_the_fifth_crash() -> None:
    run = CrashRecord()
    run.add_late(MAX_LATE_REQUESTS)
    assert not run.promises()
    run.add_late(1)
    assert run.promises() == [Promise.crash_suspects]


def test_requests_just_after_the_fifth_crash_or_after_fewer_crashes_do_not_count() -> None:
    run = CrashRecord()
    for _ in range(MAX_LATE_REQUESTS + 1):
        run.add(PromptChoice.crashing, DECISIVE_CRASH_AT + 3)
    assert not run.promises()
    few = CrashRecord(DECISIVE_CRASH - 1)
    few.add_late(MAX_LATE_REQUESTS + 1)
    assert not few.promises()


def test_refused_request_that_crashes_engines_has_reached_one() -> None:
    run = CrashRecord()
    run.add_late(MAX_LATE_REQUESTS + 1)
    run.record.executions[-1].refused = True
    assert run.promises() == [Promise.crash_suspects]


@pytest.mark.parametrize('target', [SOAK, STORE])
def test_disturbed_core_is_not_checked(target: str) -> None:
    run = CrashRecord()
    run.add_late(MAX_LATE_REQUESTS + 1)
    run.record.disturbances.append(Disturbance(target, 1, DECISIVE_CRASH_AT + 0.1))
    assert not run.promises()


def test_crashed_engine_is_no_excuse_for_its_entries() -> None:
    run = CrashRecord()
    run.add_late(MAX_LATE_REQUESTS + 1)
    run.record.crashes.append(Disturbance('m-0', DECISIVE_CRASH_AT, DECISIVE_CRASH_AT + 9))
    assert run.promises() == [Promise.crash_suspects]


@pytest.mark.parametrize(
    ('begun', 'expected'),
    [
        pytest.param(MIN_SOUND_REQUESTS // 2, [], id='half'),
        pytest.param(MIN_SOUND_REQUESTS // 2 - 1, [Promise.sound_prompts], id='less-than-half'),
    ],
)
def test_sound_requests_must_begin_half_as_often_as_before(
    begun: int, expected: list[Promise]
) -> None:
    run = CrashRecord()
    run.add_sound(BEFORE, MIN_SOUND_REQUESTS, MIN_SOUND_REQUESTS)
    run.add_sound(AFTER, MIN_SOUND_REQUESTS, begun)
    assert run.promises() == expected


def test_sound_request_that_begins_only_when_it_is_retried_has_not_begun() -> None:
    run = CrashRecord()
    run.add_sound(BEFORE, MIN_SOUND_REQUESTS, MIN_SOUND_REQUESTS)
    for number in range(MIN_SOUND_REQUESTS):
        request = 1000 + number
        run.add(PromptChoice.common, AFTER, reaches=False, request=request)
        run.add(PromptChoice.common, AFTER + 1, begins=True, request=request)
    assert run.promises() == [Promise.sound_prompts]


def test_sound_requests_count_by_first_segment_or_key_alone() -> None:
    by_segment = CrashRecord()
    by_segment.add_sound(BEFORE, MIN_SOUND_REQUESTS, MIN_SOUND_REQUESTS)
    by_segment.add_sound(AFTER, MIN_SOUND_REQUESTS, 0, key='key-1')
    assert by_segment.promises() == [Promise.sound_prompts]
    unrelated = CrashRecord()
    unrelated.add_sound(BEFORE, MIN_SOUND_REQUESTS, MIN_SOUND_REQUESTS)
    unrelated.add_sound(AFTER, MIN_SOUND_REQUESTS, 0, key='key-1')
    for attempt in unrelated.record.attempts.values():
        if attempt.key == 'key-1':
            attempt.prompt = 'f1:100,5e0:100,1:100'
    assert not unrelated.promises()


@pytest.mark.parametrize('since', [AFTER - 1, CRASHING_UNTIL])
def test_sound_requests_count_only_while_crashing_prompts_come(since: float) -> None:
    run = CrashRecord()
    run.add_sound(BEFORE, MIN_SOUND_REQUESTS, MIN_SOUND_REQUESTS)
    run.add_sound(since, MIN_SOUND_REQUESTS, 0)
    assert not run.promises()


def test_few_sound_requests_and_those_beside_other_events_are_not_judged() -> None:
    few = CrashRecord()
    few.add_sound(BEFORE, MIN_SOUND_REQUESTS, MIN_SOUND_REQUESTS)
    few.add_sound(AFTER, MIN_SOUND_REQUESTS - 1, 0)
    assert not few.promises()
    few.add_sound(AFTER, 1, 0)
    assert few.promises() == [Promise.sound_prompts]
    few.record.events.append(Disturbance('FailBackend', 1, AFTER - 3))
    assert not few.promises()
