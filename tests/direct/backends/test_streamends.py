"""The verdict on the end of a stream: only a shown end, or a service without any, completes one."""

from __future__ import annotations

from dataclasses import replace
from itertools import product

import pytest

from cassiahitch.direct.backends.streamends import EndEvidence, StreamEnd, Verdict, judge_end

AFTER_EVENT = StreamEnd(is_shown=False, is_inside_event=False, has_events=True, is_rest=False)
SHOWN = replace(AFTER_EVENT, is_shown=True)
EMPTY_REST = replace(AFTER_EVENT, has_events=False, is_rest=True)
NOTHING_KNOWN = EndEvidence(
    never_shown=False, is_suspected=False, may_resume=True, is_mirrored=False
)
ALL_EVIDENCE = [EndEvidence(*flags) for flags in product((True, False), repeat=4)]


@pytest.mark.parametrize('evidence', ALL_EVIDENCE)
def test_shown_end_is_complete_whatever_else_is_known(evidence: EndEvidence) -> None:
    assert judge_end(SHOWN, evidence) is Verdict.complete


@pytest.mark.parametrize('evidence', ALL_EVIDENCE)
def test_end_inside_or_before_an_event_is_broken_off_whatever_else_is_known(
    evidence: EndEvidence,
) -> None:
    inside = replace(SHOWN, is_inside_event=True)
    before = replace(AFTER_EVENT, has_events=False)
    assert judge_end(inside, evidence) is Verdict.broken_off
    assert judge_end(before, evidence) is Verdict.broken_off


@pytest.mark.parametrize('end', [AFTER_EVENT, EMPTY_REST])
def test_end_of_a_connection_is_uncertain(end: StreamEnd) -> None:
    assert judge_end(end, NOTHING_KNOWN) is Verdict.uncertain
    assert judge_end(end, replace(NOTHING_KNOWN, may_resume=False)) is Verdict.uncertain


def test_chunks_towards_the_caller_are_never_ended_for_a_service_that_shows_no_ends() -> None:
    evidence = replace(NOTHING_KNOWN, never_shown=True)
    assert judge_end(AFTER_EVENT, evidence) is Verdict.uncertain
    assert judge_end(EMPTY_REST, evidence) is Verdict.complete


def test_mirrored_end_of_such_a_service_is_complete() -> None:
    evidence = replace(NOTHING_KNOWN, never_shown=True, is_mirrored=True)
    assert judge_end(AFTER_EVENT, evidence) is Verdict.complete


@pytest.mark.parametrize(
    ('is_suspected', 'verdict'), [(False, Verdict.complete), (True, Verdict.broken_off)]
)
def test_mirrored_stream_that_may_not_be_resumed_ends_unless_its_replica_is_suspected(
    verdict: Verdict, *, is_suspected: bool
) -> None:
    evidence = replace(NOTHING_KNOWN, may_resume=False, is_mirrored=True, is_suspected=is_suspected)
    assert judge_end(AFTER_EVENT, evidence) is verdict
