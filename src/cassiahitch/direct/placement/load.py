"""Load of a model engine, and the predicted time to the first event of a further request.

Load pattern: many entries send to the same engines, each of which interleaves the prefill of
prompts with the decode steps of its running requests. A slot that is reported as free may be taken
by another entry within milliseconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.state.catalogue import Engine

#: Seconds after which a load report is outdated.
REPORT_EXPIRY_S = 0.7
#: Version with which engines may be started.
FIRST_VERSION = 1
#: Seconds between the sampling of a report and its arrival.
REPORT_DELAY_S = 0.004
#: Seconds for which an agent that did not reply is not queried again.
NO_REPLY_BACKOFF_S = 1.0
#: Shortest time for which a request occupies a slot, in seconds; a configuration may give none.
MIN_OCCUPANCY_S = 0.001
#: Weight of the output that requests have left against the configured mean. Expectations of single
#: requests are uncertain, and where a few very long ones run, slots become free by the short ones.
REMAINING_WEIGHT = 0.5
#: Weight of the newest lateness in the moving average.
NEWEST_WEIGHT = 0.3
#: Half-life of the lateness without new measurements, in seconds.
LATENESS_HALF_LIFE_S = 1.5


@dataclass(frozen=True, slots=True)
class OutstandingWork:
    """Work of the requests at an engine, as its agent knows it from all entries.

    ``remaining_tokens`` is the output that a request is expected to have left which keeps a further
    one waiting for its slot, 0 if that is unknown, and ``prompt_tokens`` the length of the prompts
    of all waiting requests together.
    """

    remaining_tokens: float
    prompt_tokens: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine as reported by its agent.

    ``slowdown`` is the factor by which the engine is slower than configured. ``model`` and
    ``version`` are the loaded weights, and ``incarnation`` is that of the agent. ``work`` is None
    if the agent does not know the work of most requests.
    """

    running: int
    waiting: int
    slowdown: float = 1
    loading: bool = False
    model: str = ''
    version: int = 0
    incarnation: int = 0
    work: OutstandingWork | None = None


@dataclass(frozen=True, slots=True)
class LoadChange:
    """Requests that this entry sent, or that ended, after the last report was sampled.

    ``requests`` is 1 for a sent request and -1 for an ended one.
    """

    at: float
    requests: int
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class QueueEstimate:
    """Running and waiting requests of an engine, and the prompt tokens of pending prefills.

    ``remaining_tokens`` is the output that a running request is expected to have left, 0 if only
    the configured mean is known.
    """

    requests: int
    prefill_tokens: float
    remaining_tokens: float = 0


@dataclass(slots=True)
class LoadTracker:
    """Tracks the load of one engine from reports and from this entry's own requests.

    ``proven_version`` is the version that the agent let serve in its last report, 0 if none.
    An engine may have been started with the first version, which needs no load.
    ``in_flight`` counts the requests of this entry. ``changes`` holds those that the last report
    does not include yet. ``lateness_mean_s`` is a moving average, as of ``lateness_at``, of how
    much later than predicted first events came. Times in seconds.
    """

    report: LoadReport | None = None
    reported_at: float = float('-inf')
    proven_version: int = FIRST_VERSION
    in_flight: int = 0
    changes: deque[LoadChange] = field(default_factory=deque)
    lateness_mean_s: float = 0
    lateness_at: float = 0
    no_query_until: float = float('-inf')

    def record_no_reply(self, now: float) -> None:
        """Record that the agent did not reply to a query.

        :param now: current time in seconds.
        """
        self.no_query_until = now + NO_REPLY_BACKOFF_S

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the agent recently did not reply to a query.

        :param now: current time in seconds.
        :return: whether it should not be queried yet.
        """
        return now < self.no_query_until

    def record_first_event(self, expected_s: float, took_s: float, now: float) -> None:
        """Record the time to a first event, and how much later than predicted it came.

        Load pattern: a link or host has become slow, which the reports of its engine do not show.

        :param expected_s: predicted time in seconds.
        :param took_s: actual time in seconds.
        :param now: current time in seconds.
        """
        excess_s = max(0, took_s - expected_s)
        self.lateness_mean_s = self.lateness_s(now)
        self.lateness_mean_s += NEWEST_WEIGHT * (excess_s - self.lateness_mean_s)
        self.lateness_at = now

    def lateness_s(self, now: float) -> float:
        """Return the mean lateness of first events, which decays exponentially with time.

        :param now: current time in seconds.
        :return: seconds.
        """
        return self.lateness_mean_s * math.exp2((self.lateness_at - now) / LATENESS_HALF_LIFE_S)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a report, and drop the changes that it includes.

        :param report: the report.
        :param now: current time in seconds.
        """
        self.report = report
        self.reported_at = now
        self.proven_version = 0 if report.loading else report.version
        self.no_query_until = now
        while self.changes and self.changes[0].at < now - REPORT_DELAY_S:
            self.changes.popleft()

    def record_sent(self, prompt_tokens: int, now: float) -> None:
        """Record that this entry sent a request.

        :param prompt_tokens: length of its prompt.
        :param now: current time in seconds.
        """
        self.in_flight += 1
        self.changes.append(LoadChange(now, 1, prompt_tokens))

    def record_ended(self, now: float) -> None:
        """Record that a request of this entry ended.

        :param now: current time in seconds.
        """
        self.in_flight -= 1
        self.changes.append(LoadChange(now, -1))

    def has_current_report(self, now: float) -> bool:
        """Return whether there is a report that is not outdated.

        :param now: current time in seconds.
        :return: whether the last report is recent enough.
        """
        return self.report is not None and now - self.reported_at < REPORT_EXPIRY_S

    def estimate_queue(self, engine: Engine, entries: int, now: float) -> QueueEstimate:
        """Estimate the requests and pending prefills ahead of a further request.

        :param engine: speed of the engine.
        :param entries: number of entries that are assumed to send alike if there is no report.
        :param now: current time in seconds.
        :return: the estimate.
        """
        if self.report is None or not self.has_current_report(now):
            return QueueEstimate(self.in_flight * entries, 0)
        requests = self.report.running + self.report.waiting
        requests += sum(change.requests for change in self.changes)
        work = self.report.work or OutstandingWork(
            remaining_tokens=0, prompt_tokens=self.report.waiting * engine.mean_prompt_tokens
        )
        prefill_tokens = work.prompt_tokens + sum(change.prompt_tokens for change in self.changes)
        return QueueEstimate(
            max(self.in_flight, requests, 0), prefill_tokens, work.remaining_tokens
        )

    def current_slowdown(self, now: float) -> float:
        """Return how much slower than configured the engine currently is.

        :param now: current time in seconds.
        :return: a factor, at least 1.
        """
        if self.report is None or not self.has_current_report(now):
            return 1
        return max(1, self.report.slowdown)


def pass_duration_s(engine: Engine, running: int, slowdown: float) -> float:
    """Return the duration of one pass of decode steps, without prefills.

    :param engine: speed of the engine.
    :param running: requests in the decode phase.
    :param slowdown: factor by which the engine is slower than configured.
    :return: seconds.
    """
    context = engine.mean_prompt_tokens + engine.mean_output_tokens / 2
    step_s = engine.step_s + running * (
        engine.step_s_per_sequence + engine.step_s_per_context_token * context
    )
    return engine.pass_steps * step_s * slowdown


def prefill_s(engine: Engine, tokens: float, slowdown: float) -> float:
    """Return the duration of the prefill of a prompt.

    :param engine: speed of the engine.
    :param tokens: length of the prompt.
    :param slowdown: factor by which the engine is slower than configured.
    :return: seconds.
    """
    pairs = tokens * tokens / 2
    return (tokens / engine.prefill_tokens_per_s + pairs * engine.attention_pair_s) * slowdown


def slot_occupancy_s(engine: Engine, slowdown: float, running: int | None = None) -> float:
    """Return the mean time for which a request occupies a slot of an engine.

    :param engine: speed of the engine.
    :param slowdown: factor by which the engine is slower than configured.
    :param running: number of running requests, None if all slots are taken.
    :return: seconds.
    """
    running = engine.slots if running is None else running
    passes = max(1, engine.mean_output_tokens / engine.pass_steps)
    decode_s = passes * pass_duration_s(engine, running, slowdown)
    # Prefills are interleaved with the decode steps of other requests: the longer of both counts.
    prefills_s = running * prefill_s(engine, engine.mean_prompt_tokens, slowdown)
    return max(decode_s, prefills_s) + prefill_s(engine, engine.mean_prompt_tokens, slowdown)


def output_tokens_per_s(engine: Engine, running: int, slowdown: float) -> float:
    """Return how many tokens one request generates per second, its prefill included.

    :param engine: speed of the engine.
    :param running: number of running requests.
    :param slowdown: factor by which the engine is slower than configured.
    :return: tokens per second.
    """
    occupancy_s = max(MIN_OCCUPANCY_S, slot_occupancy_s(engine, slowdown, running))
    return max(1, engine.mean_output_tokens) / occupancy_s


def first_event_s(
    engine: Engine, queue: QueueEstimate, prompt_tokens: float, slowdown: float
) -> float:
    """Predict the time to the first event of a further request.

    :param engine: speed of the engine.
    :param queue: requests and prefills ahead of it.
    :param prompt_tokens: length of the prompt.
    :param slowdown: factor by which the engine is slower than configured.
    :return: seconds.
    """
    return queue_delay_s(engine, queue, slowdown) + prefill_s(engine, prompt_tokens, slowdown)


def queue_delay_s(engine: Engine, queue: QueueEstimate, slowdown: float) -> float:
    """Predict the time to the first event of a further request, without its own prefill.

    The engine finishes the current pass, does the pending prefills, and runs a first pass of the
    request. If all slots are occupied, one has to become free before: slots become free the sooner,
    the less output the running requests have left.

    :param engine: speed of the engine.
    :param queue: requests and prefills ahead of it.
    :param slowdown: factor by which the engine is slower than configured.
    :return: seconds.
    """
    first_pass_s = pass_duration_s(engine, min(queue.requests + 1, engine.slots), slowdown)
    current_pass_s = first_pass_s / 2 if queue.requests else 0
    start_s = current_pass_s + first_pass_s
    ahead = queue.requests + 1 - engine.slots
    if ahead > 0:
        # The slot occupancy includes the prefills of the requests that wait for a slot.
        free_slot_s = slot_occupancy_s(engine, slowdown) / engine.slots
        if queue.remaining_tokens:
            ratio = queue.remaining_tokens / max(1, engine.mean_output_tokens)
            free_slot_s *= 1 + REMAINING_WEIGHT * (ratio - 1)
        return start_s + ahead * free_slot_s
    return start_s + queue.prefill_tokens / engine.prefill_tokens_per_s * slowdown


__all__ = (
    'LoadChange',
    'LoadTracker',
    'LoadReport',
    'OutstandingWork',
    'QueueEstimate',
    'first_event_s',
    'output_tokens_per_s',
    'pass_duration_s',
    'prefill_s',
    'slot_occupancy_s',
    'queue_delay_s',
)
