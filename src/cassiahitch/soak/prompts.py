"""Prompts of the soak's requests, as the segments that a header of the request names."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

#: Segment that crashes every engine that would begin to write a response to a prompt with it.
CRASHING_SEGMENT = 'c4a5b1d0'
#: Segments that prompts share: the first ones, of which each prompt has one, and the second ones.
FIRST_SEGMENTS = ('f0', 'f1', 'f2')
SECOND_SEGMENTS = tuple(f'5e{number}' for number in range(8))
HEX_DIGITS = 8
BITS_PER_DIGIT = 4


class PromptChoice(StrEnum):
    """The prompts of a caller: ``common`` ones are sound, but share key and first segment with
    those that crash engines.
    """

    drawn = 'drawn'
    common = 'common'
    crashing = 'crashing'


@dataclass(frozen=True, slots=True)
class Prompt:
    """The ids of the segments of a prompt, in their order; the last one is that of the request."""

    segments: tuple[str, ...] = ()

    @property
    def first(self) -> str:
        """The first segment; empty if the prompt has none."""
        return self.segments[0] if self.segments else ''

    @property
    def crashes(self) -> bool:
        """Whether the prompt crashes engines."""
        return CRASHING_SEGMENT in self.segments[:-1]

    @classmethod
    def parse(cls, text: str) -> Prompt:
        """Decode the value of the header.

        :param text: value of the header, empty if the request has none.
        :return: the prompt.
        """
        parts = text.split(',') if text else []
        return cls(tuple(part.partition(':')[0] for part in parts))

    def encode(self, tokens: int) -> str:
        """Encode the value of the header.

        :param tokens: length of the prompt in tokens, which its segments share evenly.
        :return: value of the header.
        """
        share = max(1, tokens // max(1, len(self.segments)))
        return ','.join(f'{segment}:{share}' for segment in self.segments)


def draw_prompt(attempt: str, choice: PromptChoice) -> Prompt:
    """Draw the segments of a prompt; the id of the attempt seeds the choice.

    :param attempt: id of the attempt.
    :param choice: the prompts of the caller.
    :return: the prompt.
    """
    rng = random.Random(f'prompt {attempt}')
    own = f'{rng.getrandbits(HEX_DIGITS * BITS_PER_DIGIT):0{HEX_DIGITS}x}'
    is_drawn = choice is PromptChoice.drawn
    first = rng.choice(FIRST_SEGMENTS) if is_drawn else FIRST_SEGMENTS[0]
    shared = [first, rng.choice(SECOND_SEGMENTS)]
    if choice is PromptChoice.crashing:
        shared.insert(rng.randint(1, len(shared)), CRASHING_SEGMENT)
    return Prompt((*shared, own))


__all__ = (
    'CRASHING_SEGMENT',
    'FIRST_SEGMENTS',
    'Prompt',
    'PromptChoice',
    'draw_prompt',
)
