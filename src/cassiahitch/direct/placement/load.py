"""How busy a model engine is, and when it would start to answer one more request.

Load pattern: many entries send to the same engines, each of which reads prompts between the
token steps of all that it writes; a place that looks free may be taken within milliseconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.state.catalogue import Engine

#: Seconds after which a report no longer tells the load.
REPORT_LIMIT_S = 0.7
#: Seconds between the sampling of a report and its arrival.
REPORT_DELAY_S = 0.004
#: Seconds for which an agent that did not answer is not asked again.
NO_REPLY_BACKOFF_S = 1.0
#: Weight of the newest lateness in the mean.
NEWEST_WEIGHT = 0.3
#: Seconds after which a lateness that is not confirmed counts half.
LATE_FADE_S = 1.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the agent of an engine says of it; ``incarnation`` is that of the agent."""

    running: int
    waiting: int
    slowdown: float = 1
    loading: bool = False
    model: str = ''
    version: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class LoadChange:
    """A request that was sent or ended after the last report was sampled."""

    at: float
    requests: int
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class QueueEstimate:
    """Requests of an engine, running and waiting, and the tokens that it has not read yet."""

    requests: int
    unread: float


@dataclass(slots=True)
class LoadTracker:
    """What one entry knows of the load of one engine."""

    report: LoadReport | None = None
    heard_at: float = float('-inf')
    in_flight: int = 0
    changes: deque[LoadChange] = field(default_factory=deque)
    late_s: float = 0
    late_at: float = 0
    silent_until: float = float('-inf')

    def record_no_reply(self, now: float) -> None:
        """Note that the agent did not answer.

        :param now: seconds.
        """
        self.silent_until = now + NO_REPLY_BACKOFF_S

    def is_unresponsive(self, now: float) -> bool:
        """Tell whether the agent did not answer a moment ago.

        :param now: seconds.
        :return: whether it is not to be asked yet.
        """
        return now < self.silent_until

    def record_first_event(self, expected_s: float, took_s: float, now: float) -> None:
        """Learn how much later than expected a first event came.

        Load pattern: a link or a host that has turned slow, which its engine does not see.

        :param expected_s: the prediction.
        :param took_s: the time that it took.
        :param now: seconds.
        """
        excess_s = max(0, took_s - expected_s)
        self.late_s = self.lateness_s(now)
        self.late_s += NEWEST_WEIGHT * (excess_s - self.late_s)
        self.late_at = now

    def lateness_s(self, now: float) -> float:
        """Return how much later than predicted first events come; it fades with time.

        :param now: seconds.
        :return: seconds.
        """
        return self.late_s * math.exp2((self.late_at - now) / LATE_FADE_S)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Take a report in.

        :param report: the report.
        :param now: seconds.
        """
        self.report = report
        self.heard_at = now
        self.silent_until = now
        while self.changes and self.changes[0].at < now - REPORT_DELAY_S:
            self.changes.popleft()

    def record_sent(self, prompt_tokens: int, now: float) -> None:
        """Count a request that was sent.

        :param prompt_tokens: length of its prompt.
        :param now: seconds.
        """
        self.in_flight += 1
        self.changes.append(LoadChange(now, 1, prompt_tokens))

    def record_ended(self, now: float) -> None:
        """Count a request that ended.

        :param now: seconds.
        """
        self.in_flight -= 1
        self.changes.append(LoadChange(now, -1))

    def has_current_report(self, now: float) -> bool:
        """Tell whether the last report still tells the load.

        :param now: seconds.
        :return: whether it does.
        """
        return self.report is not None and now - self.heard_at < REPORT_LIMIT_S

    def queue(self, engine: Engine, entries: int, now: float) -> QueueEstimate:
        """Return what the engine has to do before it begins one more request.

        :param engine: the engine.
        :param entries: entries that send to it, as far as it does not report.
        :param now: seconds.
        :return: its requests and the tokens that it has to read.
        """
        if self.report is None or not self.has_current_report(now):
            return QueueEstimate(self.in_flight * entries, 0)
        requests = self.report.running + self.report.waiting
        requests += sum(change.requests for change in self.changes)
        unread = self.report.waiting * engine.mean_prompt_tokens
        unread += sum(change.prompt_tokens for change in self.changes)
        return QueueEstimate(max(self.in_flight, requests, 0), unread)

    def slowdown(self, now: float) -> float:
        """Return how much slower than configured the engine is.

        :param now: seconds.
        :return: a factor, at least 1.
        """
        if self.report is None or not self.has_current_report(now):
            return 1
        return max(1, self.report.slowdown)


def pass_duration_s(engine: Engine, running: int, slowdown: float) -> float:
    """Return the time of one pass with a number of requests that write, without reading.

    :param engine: the engine.
    :param running: requests that write.
    :param slowdown: how much slower it is.
    :return: seconds.
    """
    context = engine.mean_prompt_tokens + engine.mean_output_tokens / 2
    step_s = engine.step_s + running * (
        engine.step_s_per_sequence + engine.step_s_per_context_token * context
    )
    return engine.pass_steps * step_s * slowdown


def prefill_s(engine: Engine, tokens: float, slowdown: float) -> float:
    """Return the time of reading a prompt.

    :param engine: the engine.
    :param tokens: its length.
    :param slowdown: how much slower the engine is.
    :return: seconds.
    """
    pairs = tokens * tokens / 2
    return (tokens / engine.prefill_tokens_per_s + pairs * engine.attention_pair_s) * slowdown


def slot_occupancy_s(engine: Engine, slowdown: float) -> float:
    """Return the mean time that a request holds its place while all places are taken.

    :param engine: the engine.
    :param slowdown: how much slower it is.
    :return: seconds.
    """
    passes = max(1, engine.mean_output_tokens / engine.pass_steps)
    writing_s = passes * pass_duration_s(engine, engine.slots, slowdown)
    # Prompts are read between the steps of those that write, so only the longer one counts.
    reading_s = engine.slots * prefill_s(engine, engine.mean_prompt_tokens, slowdown)
    return max(writing_s, reading_s) + prefill_s(engine, engine.mean_prompt_tokens, slowdown)


def first_event_s(
    engine: Engine, queue: QueueEstimate, prompt_tokens: float, slowdown: float
) -> float:
    """Predict the time until the first event of one more request.

    :param engine: the engine.
    :param queue: what it has to do.
    :param prompt_tokens: length of the prompt.
    :param slowdown: how much slower than configured it is.
    :return: seconds.
    """
    return queue_delay_s(engine, queue, slowdown) + prefill_s(engine, prompt_tokens, slowdown)


def queue_delay_s(engine: Engine, queue: QueueEstimate, slowdown: float) -> float:
    """Predict the time until the first event of one more request, without reading its prompt.

    The engine ends its pass, reads what waits and the prompt itself, and writes a first pass; if
    all places are taken, one has to become free before.

    :param engine: the engine.
    :param queue: what it has to do.
    :param slowdown: how much slower than configured it is.
    :return: seconds.
    """
    own_pass_s = pass_duration_s(engine, min(queue.requests + 1, engine.slots), slowdown)
    ending_s = own_pass_s / 2 if queue.requests else 0
    start_s = ending_s + own_pass_s
    ahead = queue.requests + 1 - engine.slots
    if ahead > 0:
        # The time for which places are held includes the reading of those that wait for them.
        return start_s + ahead * slot_occupancy_s(engine, slowdown) / engine.slots
    return start_s + queue.unread / engine.prefill_tokens_per_s * slowdown


__all__ = (
    'LoadChange',
    'LoadTracker',
    'LoadReport',
    'QueueEstimate',
    'first_event_s',
    'pass_duration_s',
    'prefill_s',
    'slot_occupancy_s',
    'queue_delay_s',
)
