"""A simulated model engine, its requests, and the rate at which it can begin requests.

The engine processes prompts in chunks between the decoding steps of running requests.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache

from cassiahitch.direct.placement.load import LoadReport, pass_duration_s
from cassiahitch.direct.state.catalogue import Engine, RepeatPolicy, Route, ServiceShare

#: Prompt lengths in tokens: mean before the cut, standard deviation of the logarithm, maximum.
PROMPT = (1290, 1.0, 3880)
#: Response lengths in tokens, in the same form.
ANSWER = (119, 0.9, 300)
ENGINE = Engine('m', 16, 6, 0.00673, 2.19e-5, 6.8e-9, 30_600, 6.47e-10, 1100, 110)
SHARES = (ServiceShare('drafts', 1),)
ROUTE = Route('draft', 'h', '/', RepeatPolicy.stream, 6, 0.405, 1, SHARES, 2, resumable=True)
#: Maximum number of prompt tokens that an engine processes in one step.
PREFILL_CHUNK_TOKENS = 2048
#: Duration in seconds of a step without any work, so that time advances.
MIN_STEP_S = 1e-4
#: Network delay in seconds between two hosts of one region.
SAME_REGION_DELAY_S = 0.002
#: Rank in the queue of an engine for requests that have none; lower ranks begin first.
DEFAULT_RANK = 5
#: Prompt tokens that cost as much as one token of the response.
ANSWER_WEIGHT = 10
#: Seconds of virtual time over which the capacity of an engine is measured.
MEASUREMENT_S = 100


@dataclass(eq=False)
class SimulatedRequest:
    """One request of a caller over all its attempts; times in seconds.

    ``first`` is the time of the first attempt, ``search_until`` ends the search for a place,
    ``unread`` counts the prompt tokens to process and ``written`` the generated ones. After a
    refusal, the caller repeats the request ``retries_left`` times at most.
    """

    route: Route
    first: float
    prompt: int
    answer: int
    retries_left: int
    organisation: str = ''
    attempts: int = 0
    search_until: float = 0
    asked_at: float = 0
    rank: int = DEFAULT_RANK
    unread: int = 0
    written: int = 0
    sent_at: float = 0
    began_at: float | None = None
    abandoned: bool = False
    on_progress: Callable[[], None] | None = None

    @property
    def served(self) -> bool:
        """Whether the response began."""
        return self.began_at is not None

    @property
    def within_objective(self) -> bool:
        """Whether the response began within the latency objective of the route."""
        return self.began_at is not None and self.began_at - self.first <= self.route.objective_s

    @property
    def attempt_s(self) -> float:
        """Time from the last attempt of the caller to the begin of the response, in seconds."""
        return (self.began_at or 0) - self.asked_at

    @property
    def size(self) -> int:
        """The cost of the request in prompt tokens."""
        return self.prompt + ANSWER_WEIGHT * self.answer

    def notify(self) -> None:
        """Notify the entry of the first event or of the end."""
        if self.on_progress is not None:
            self.on_progress()


@dataclass
class ModelledEngine:
    """Executes passes while it has work; the waiting request with the lowest rank begins first."""

    engine: Engine = ENGINE
    running: list[SimulatedRequest] = field(default_factory=list)
    waiting: list[SimulatedRequest] = field(default_factory=list)
    steps_left: int = 0
    busy: bool = False

    def admit(self) -> None:
        """Begin waiting requests in the free slots."""
        self.waiting = [request for request in self.waiting if not request.abandoned]
        self.running = [request for request in self.running if not request.abandoned]
        # The sort is stable: requests of one rank begin in order of arrival.
        self.waiting.sort(key=lambda request: request.rank)
        free = max(0, self.engine.slots - len(self.running))
        self.running += self.waiting[:free]
        self.waiting = self.waiting[free:]
        self.steps_left = self.engine.pass_steps

    def step(self) -> float:
        """Begin one step and return its duration in seconds."""
        if not self.steps_left:
            self.admit()
        self.steps_left -= 1
        room = PREFILL_CHUNK_TOKENS
        for request in self.running:
            chunk_tokens = min(request.unread, room)
            room -= chunk_tokens
            request.unread -= chunk_tokens
        decoding = sum(not request.unread for request in self.running)
        step_s = (
            pass_duration_s(self.engine, decoding, 1) / self.engine.pass_steps if decoding else 0
        )
        return max(
            step_s, (PREFILL_CHUNK_TOKENS - room) / self.engine.prefill_tokens_per_s, MIN_STEP_S
        )

    def end_step(self, now: float) -> None:
        """Apply the results of one step."""
        for request in self.running:
            if request.unread:
                continue
            request.written += 1
            # An event carries the tokens of one pass.
            if request.began_at is None and request.written >= min(
                self.engine.pass_steps, request.answer
            ):
                request.began_at = now + SAME_REGION_DELAY_S
                request.notify()
            if request.written >= request.answer:
                request.notify()
        self.running = [request for request in self.running if request.written < request.answer]

    def report(self) -> LoadReport:
        """Return the load report that the agent reads."""
        prefilling = sum(request.unread > 0 for request in self.running)
        return LoadReport(len(self.running) - prefilling, len(self.waiting) + prefilling)


def draw_length(rng: random.Random, mean: float, spread: float, longest: int) -> int:
    """Draw a number of tokens from a truncated log-normal distribution."""
    drawn = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return max(6, min(longest, int(drawn)))


@cache
def requests_begun_per_s(engine: Engine = ENGINE) -> float:
    """Return how many requests an engine begins per second while its queue never empties."""
    rng = random.Random(1)
    model = ModelledEngine(engine)
    now: float = 0
    begun = 0
    while now < MEASUREMENT_S:
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
    'DEFAULT_RANK',
    'SAME_REGION_DELAY_S',
    'requests_begun_per_s',
    'draw_length',
)
