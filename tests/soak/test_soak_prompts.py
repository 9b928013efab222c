"""Prompts of the soak share segments, and the last segment is that of the request."""

from __future__ import annotations

import pytest

from cassiahitch.soak.prompts import (
    CRASHING_SEGMENT,
    FIRST_SEGMENTS,
    Prompt,
    PromptChoice,
    draw_prompt,
)

ATTEMPTS = tuple(f's{number}' for number in range(60))


@pytest.mark.parametrize('choice', list(PromptChoice))
def test_no_two_prompts_are_alike_and_each_is_decoded_as_it_was_encoded(
    choice: PromptChoice,
) -> None:
    prompts = [draw_prompt(attempt, choice) for attempt in ATTEMPTS]
    assert len({prompt.segments[-1] for prompt in prompts}) == len(ATTEMPTS)
    assert [Prompt.parse(prompt.encode(300)) for prompt in prompts] == prompts
    assert {prompt.crashes for prompt in prompts} == {choice is PromptChoice.crashing}


def test_crashing_segment_is_never_the_last_and_its_prompts_share_the_common_first_segment() -> (
    None
):
    prompts = [draw_prompt(attempt, PromptChoice.crashing) for attempt in ATTEMPTS]
    places = {prompt.segments.index(CRASHING_SEGMENT) for prompt in prompts}
    assert places == {1, 2}
    assert {len(prompt.segments) for prompt in prompts} == {4}
    common = [draw_prompt(attempt, PromptChoice.common) for attempt in ATTEMPTS]
    assert {prompt.first for prompt in (*prompts, *common)} == {FIRST_SEGMENTS[0]}


def test_prompt_whose_own_segment_has_the_id_does_not_crash() -> None:
    assert not Prompt(('f0', CRASHING_SEGMENT)).crashes
    assert not Prompt.parse('').crashes
