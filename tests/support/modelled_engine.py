"""A model engine in virtual time, the requests that it runs, and how many it can begin.

The engine reads prompts in pieces between the token steps of those that write.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache

from cassiahitch.direct.placement.load import LoadReport, pass_duration_s
from cassiahitch.direct.state.catalogue import Engine, RepeatPolicy, Route, ServiceShare

#: Mean before the cut, spread of the logarithm and longest prompt, in tokens.
PROMPT = (1290, 1.0, 3880)
#: The same of answers.
ANSWER = (119, 0.9, 300)
ENGINE = Engine('m', 16, 6, 0.00673, 2.19e-5, 6.8e-9, 30_600, 6.47e-10, 1100, 110)
SHARES = (ServiceShare('drafts', 1),)
ROUTE = Route('draft', 'h', '/', RepeatPolicy.stream, 6, 0.405, 1, SHARES, 2, resumable=True)
#: Tokens that an engine reads at most in one step.
CHUNK = 2048
#: Shortest step in seconds, when nobody writes and nothing is to be read.
SHORTEST_S = 1e-4
#: Seconds from one host to another.
SAME_REGION_DELAY_S = 0.002
#: Rank in the queue of an engine of requests without one.
USUAL_RANK = 5
#: Tokens of a prompt that weigh as much as one of the answer.
ANSWER_WEIGHT = 10
#: Seconds over which the capacity of an engine is measured.
LONG_S = 100


@dataclass(eq=False)
class SimulatedRequest:
    """One request of a caller, over all its tries; times in seconds."""

    route: Route
    first: float
    prompt: int
    answer: int
    returns: int
    tries: int = 0
    looks_until: float = 0
    rank: int = USUAL_RANK
    unread: int = 0
    written: int = 0
    sent_at: float = 0
    began_at: float | None = None
    left: bool = False
    news: Callable[[], None] | None = None

    @property
    def served(self) -> bool:
        """Whether it began to be answered."""
        return self.began_at is not None

    @property
    def within_objective(self) -> bool:
        """Whether it began to be answered within its objective."""
        return self.began_at is not None and self.began_at - self.first <= self.route.objective_s

    @property
    def size(self) -> int:
        """The size by which requests are paid."""
        return self.prompt + ANSWER_WEIGHT * self.answer

    def tell(self) -> None:
        """Tell the entry of the first event or of the end."""
        if self.news is not None:
            self.news()


@dataclass
class ModelledEngine:
    """Runs passes while it has work; the most urgent of those that wait begins first."""

    engine: Engine = ENGINE
    running: list[SimulatedRequest] = field(default_factory=list)
    waiting: list[SimulatedRequest] = field(default_factory=list)
    steps_left: int = 0
    busy: bool = False

    def admit(self) -> None:
        """Give free places to those that wait."""
        self.waiting = [one for one in self.waiting if not one.left]
        self.running = [one for one in self.running if not one.left]
        # The sort is stable: among equals, the one that came first.
        self.waiting.sort(key=lambda one: one.rank)
        free = max(0, self.engine.slots - len(self.running))
        self.running += self.waiting[:free]
        self.waiting = self.waiting[free:]
        self.steps_left = self.engine.pass_steps

    def step(self) -> float:
        """Begin one step and return how long it takes."""
        if not self.steps_left:
            self.admit()
        self.steps_left -= 1
        room = CHUNK
        for one in self.running:
            piece = min(one.unread, room)
            room -= piece
            one.unread -= piece
        writing = sum(not one.unread for one in self.running)
        step_s = pass_duration_s(self.engine, writing, 1) / self.engine.pass_steps if writing else 0
        return max(step_s, (CHUNK - room) / self.engine.prefill_tokens_per_s, SHORTEST_S)

    def end_step(self, now: float) -> None:
        """End a step."""
        for one in self.running:
            if one.unread:
                continue
            one.written += 1
            # An event has the tokens of one pass.
            if one.began_at is None and one.written >= min(self.engine.pass_steps, one.answer):
                one.began_at = now + SAME_REGION_DELAY_S
                one.tell()
            if one.written >= one.answer:
                one.tell()
        self.running = [one for one in self.running if one.written < one.answer]

    def report(self) -> LoadReport:
        """Return what its agent reads."""
        reading = sum(one.unread > 0 for one in self.running)
        return LoadReport(len(self.running) - reading, len(self.waiting) + reading)


def draw_length(rng: random.Random, mean: float, spread: float, longest: int) -> int:
    """Draw a number of tokens."""
    drawn = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return max(6, min(longest, int(drawn)))


@cache
def requests_begun_per_s(engine: Engine = ENGINE) -> float:
    """Return how many requests one engine begins in a second while many wait for it."""
    rng = random.Random(1)
    model = ModelledEngine(engine)
    now: float = 0
    begun = 0
    while now < LONG_S:
        while len(model.waiting) < engine.slots:
            prompt = draw_length(rng, *PROMPT)
            answer = draw_length(rng, *ANSWER)
            model.waiting.append(SimulatedRequest(ROUTE, now, prompt, answer, 0, unread=prompt))
            begun += 1
        now += model.step()
        model.end_step(now)
    return (begun - len(model.waiting)) / now


__all__ = (
    'ANSWER',
    'SimulatedRequest',
    'ENGINE',
    'ModelledEngine',
    'PROMPT',
    'ROUTE',
    'USUAL_RANK',
    'SAME_REGION_DELAY_S',
    'requests_begun_per_s',
    'draw_length',
)
