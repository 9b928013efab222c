"""Records what attempts cost: in the load of the backend server, and for later requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.backends.outcomes import is_success
from cassiahitch.metrics.names import CounterName, LatencyName

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.backends.outcomes import Outcome
    from cassiahitch.direct.backends.streamstate import StreamState
    from cassiahitch.direct.placement.assignments import Assignment
    from cassiahitch.direct.placement.placement import Placement
    from cassiahitch.direct.state.catalogue import Engine
    from cassiahitch.direct.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class CostRecorder:
    """Counts requests in the load of their backend servers, and learns what they cost."""

    placement: Placement
    telemetry: Telemetry

    @contextmanager
    def count_in_flight(self, call: Call, assignment: Assignment) -> Iterator[None]:
        """Count a request as in flight in the load of its backend server.

        :param call: the request.
        :param assignment: its assignment.
        :yield: while it is in flight.
        """
        clock = asyncio.get_running_loop().time
        started_at = clock()
        key = assignment.candidate.replica.key
        call.attempt_count += 1
        if assignment.rank is None:
            plain = self.placement.plain_load(key)
            plain.record_sent(assignment.cost_s)
            try:
                yield
            finally:
                self.record_plain_ended(call, assignment, started_at)
            return
        load = self.placement.engine_load(key)
        generation = call.request.generation
        prompt_tokens = generation.prompt_tokens if generation else 0
        load.record_sent(prompt_tokens, started_at)
        try:
            yield
        finally:
            load.record_ended(clock())

    def record_plain_ended(self, call: Call, assignment: Assignment, started_at: float) -> None:
        """Record the end of a request in the load of its plain replica.

        :param call: the request.
        :param assignment: its assignment.
        :param started_at: when it was sent, in seconds of the event loop's clock.
        """
        now = asyncio.get_running_loop().time()
        service_s = self.placement.costs.service_s(call.require_route().name, now)
        plain = self.placement.plain_load(assignment.candidate.replica.key)
        plain.record_ended(assignment.cost_s, (now - started_at) / service_s, now)

    def learn(
        self,
        call: Call,
        assignment: Assignment,
        stream: StreamState,
        outcome: Outcome,
        started_at: float,
    ) -> None:
        """Learn what a completed request has cost.

        :param call: the request.
        :param assignment: its assignment.
        :param stream: what the caller has received of a stream.
        :param outcome: how the attempt ended; only complete responses tell the cost.
        :param started_at: when it was sent, in seconds of the event loop's clock.
        """
        if not self.placement.costs.learns or not is_success(outcome):
            return
        if assignment.rank is None:
            self.learn_service(call, assignment, started_at)
            return
        engine = self.engine(call)
        # A caller that resumes a stream receives only the rest of its events.
        if engine is None or call.request.last_event_id or stream.first_event_at is None:
            return
        self.learn_output(call, assignment, engine, stream.splitter.event_count)
        if call.attempt_count == 1:
            error_s = abs(stream.first_event_at - started_at - assignment.expected_s)
            self.record_error(call, error_s)

    def learn_service(self, call: Call, assignment: Assignment, started_at: float) -> None:
        """Learn the service time of a plain request that has just ended.

        :param call: the request.
        :param assignment: its assignment.
        :param started_at: when it was sent, in seconds of the event loop's clock.
        """
        now = asyncio.get_running_loop().time()
        self.placement.costs.record_service(call.require_route().name, now - started_at, now)
        self.record_error(call, abs(now - started_at - assignment.expected_s))

    def learn_output(
        self, call: Call, assignment: Assignment, engine: Engine, event_count: int
    ) -> None:
        """Learn the output length of a completed stream.

        :param call: the request.
        :param assignment: its assignment.
        :param engine: speed of the engine; an event holds the tokens of a pass.
        :param event_count: number of its events, over all attempts.
        """
        # The last event holds the rest, on average half of a pass.
        tokens = max(1, event_count * engine.pass_steps - (engine.pass_steps - 1) / 2)
        route = call.require_route().name
        now = asyncio.get_running_loop().time()
        self.placement.costs.record_output(route, call.request.generation, engine, tokens, now)
        metrics = self.telemetry.metrics
        off_tokens = abs(tokens - assignment.output_tokens)
        metrics.count(CounterName.output_tokens_counted, route, round(tokens))
        metrics.count(CounterName.output_tokens_expected, route, round(assignment.output_tokens))
        metrics.count(CounterName.output_tokens_off, route, round(off_tokens))

    def record_error(self, call: Call, error_s: float) -> None:
        """Record by how much a predicted time differs from the actual one.

        :param call: the request.
        :param error_s: the difference in seconds, at least 0.
        """
        self.telemetry.metrics.latency(
            LatencyName.prediction_error, error_s, call.require_route().name
        )

    def engine(self, call: Call) -> Engine | None:
        """Return the speed of the engines of the service of a request.

        :param call: the request.
        :return: the speed, None if the configuration does not contain it any more.
        """
        catalogue = self.telemetry.entry_state.catalogue
        service = catalogue.services.get(call.service) if catalogue else None
        return service.engine if service else None


__all__ = ('CostRecorder',)
