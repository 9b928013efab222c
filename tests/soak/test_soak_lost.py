"""Requests that a stop loses are seen, and no others."""

from __future__ import annotations

import pytest
from soak_records import STOP_REQUESTED_AT, cut_attempt, late_execution, stop_loses

from cassiahitch.soak.records import Disturbance, ProcessEnd, Promise, Record
from cassiahitch.soak.stops import check_closed_connections, count_cuts


def test_cut_of_a_request_that_was_passed_on_is_lost() -> None:
    assert stop_loses(cut_attempt(), late_execution())


@pytest.mark.parametrize('after_s', [-2.0, 3.1, 4.5])
def test_cut_is_lost_whenever_the_request_was_sent(after_s: float) -> None:
    assert stop_loses(
        cut_attempt(began=STOP_REQUESTED_AT + after_s), late_execution(ended=STOP_REQUESTED_AT + 5)
    )


def test_whole_answer_is_not_lost() -> None:
    assert not stop_loses(cut_attempt(whole=True), late_execution())


def test_caller_that_left_or_did_not_send_all_loses_nothing() -> None:
    assert not stop_loses(cut_attempt(left=True), late_execution())
    assert not stop_loses(cut_attempt(sent=None), late_execution())


def test_close_that_crosses_a_request_is_not_lost_unless_it_ran() -> None:
    crossing = cut_attempt(sent=STOP_REQUESTED_AT + 7.2, ended=STOP_REQUESTED_AT + 7.3)
    assert not stop_loses(crossing)
    assert stop_loses(crossing, late_execution())
    assert stop_loses(cut_attempt(sent=STOP_REQUESTED_AT + 7.0, ended=STOP_REQUESTED_AT + 7.3))


def test_replica_that_broke_off_excuses_the_cut() -> None:
    assert not stop_loses(cut_attempt(), late_execution(broke_off=True))


def test_early_request_may_be_cut_in_the_last_sixth_of_the_grace_period() -> None:
    assert not stop_loses(
        cut_attempt(began=STOP_REQUESTED_AT + 2.9), late_execution(ended=STOP_REQUESTED_AT + 6.7)
    )
    assert not stop_loses(cut_attempt(began=STOP_REQUESTED_AT + 2.9), late_execution(ended=None))
    assert stop_loses(
        cut_attempt(began=STOP_REQUESTED_AT + 2.9), late_execution(ended=STOP_REQUESTED_AT + 6.6)
    )
    assert stop_loses(
        cut_attempt(began=STOP_REQUESTED_AT + 3.1), late_execution(ended=STOP_REQUESTED_AT + 6.7)
    )


def test_disturbed_process_or_replica_excuses_the_cut() -> None:
    began = STOP_REQUESTED_AT + 3.5
    for target, ended in (('entry-0', began - 2.9), ('m-0', STOP_REQUESTED_AT + 5)):
        assert not stop_loses(
            cut_attempt(began=began),
            late_execution(),
            disturbance=Disturbance(target, began - 5, ended),
        )
    before = Disturbance('entry-0', began - 5, began - 3.1)
    assert stop_loses(cut_attempt(began=began), late_execution(), disturbance=before)


def test_cut_long_after_the_stop_is_not_counted_to_it() -> None:
    assert not stop_loses(cut_attempt(ended=STOP_REQUESTED_AT + 9.1), late_execution())
    assert not stop_loses(cut_attempt(deadline=STOP_REQUESTED_AT + 7), late_execution())


def closed_record(closed: int) -> Record:
    record = Record(ended=STOP_REQUESTED_AT + 60)
    for number in range(closed):
        record.attempts[f's{number}'] = cut_attempt(id=f's{number}', status=0)
        record.executions.append(late_execution(id=f's{number}'))
    return record


def test_more_than_a_few_connections_closed_without_an_answer_are_seen() -> None:
    assert not list(check_closed_connections(closed_record(3)))
    assert [one.promise for one in check_closed_connections(closed_record(4))] == [
        Promise.answered,
        Promise.answered,
        Promise.answered,
        Promise.answered,
    ]


def test_close_of_a_disturbed_host_is_excused() -> None:
    record = closed_record(4)
    record.disturbances.append(
        Disturbance('stop of entry-0', STOP_REQUESTED_AT, STOP_REQUESTED_AT + 5)
    )
    assert not list(check_closed_connections(record))


def test_cuts_are_counted_as_lost_or_allowed() -> None:
    record = Record(ended=STOP_REQUESTED_AT + 60)
    record.ends.append(ProcessEnd('entry-0', STOP_REQUESTED_AT, STOP_REQUESTED_AT + 7.5, 0))
    record.attempts['s1'] = cut_attempt()
    record.attempts['s2'] = cut_attempt(id='s2')
    record.executions.extend((late_execution(), late_execution(id='s2', broke_off=True)))
    assert count_cuts(record) == {'lost': 1, 'allowed': 1}
