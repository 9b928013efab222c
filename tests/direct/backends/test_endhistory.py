"""What an entry remembers of the ends of responses without chunks or a length."""

from __future__ import annotations

from dataclasses import replace

from cassiahitch.direct.backends.endhistory import (
    MIN_EMPTY_RESTS,
    MIN_OBSERVATION_S,
    SUSPICION_S,
    EndHistory,
)
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint

REPLICA = Replica('r1', 'draft', Endpoint('127.0.0.1', 1), 'north-1', slots=1)
OTHER = replace(REPLICA, id='r2')


def observed(rests: int = MIN_EMPTY_RESTS) -> EndHistory:
    history = EndHistory()
    for _ in range(rests):
        history.record_empty_rest(REPLICA, 0)
    return history


def test_service_never_shows_ends_after_enough_questions_over_a_while() -> None:
    assert observed().never_shows_ends(OTHER, MIN_OBSERVATION_S)


def test_dozens_of_empty_rests_at_once_prove_nothing() -> None:
    assert not observed(rests=100).never_shows_ends(OTHER, MIN_OBSERVATION_S - 1)


def test_few_empty_rests_prove_nothing() -> None:
    assert not observed(MIN_EMPTY_RESTS - 1).never_shows_ends(OTHER, 10 * MIN_OBSERVATION_S)


def test_shown_end_and_broken_off_stream_begin_the_observation_anew() -> None:
    shown = observed()
    shown.record_shown_end(OTHER)
    broken_off = observed()
    broken_off.record_broken_off(OTHER, 1)
    for history in (shown, broken_off):
        assert not history.never_shows_ends(REPLICA, 10 * MIN_OBSERVATION_S)


def test_replica_is_suspected_for_a_while_after_it_broke_off_a_response() -> None:
    history = EndHistory()
    assert not history.is_suspected(REPLICA, 0)
    history.record_broken_off(REPLICA, 5)
    assert history.is_suspected(REPLICA, 5 + SUSPICION_S - 1)
    assert not history.is_suspected(OTHER, 5)
    assert not history.is_suspected(REPLICA, 5 + SUSPICION_S)


def test_replica_that_is_no_longer_listed_is_forgotten() -> None:
    history = EndHistory()
    history.record_broken_off(REPLICA, 0)
    history.record_broken_off(OTHER, 0)
    history.keep_only(frozenset((OTHER.key,)))
    assert set(history.broken_off_at) == {OTHER.key}
