"""Outstanding work of the requests that entries announced to the agent of an engine.

Load pattern: requests that look alike keep a slot for very different times, and the report of an
engine holds only their numbers. The agent sees the queries of all entries with the expected cost of
each request, but neither its begin nor its end: it derives these from the numbers in the report.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.load import output_tokens_per_s
from cassiahitch.wire.datagrammessages import EngineWork
from cassiahitch.wire.structs import MAX_INT32

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahitch.direct.state.catalogue import Engine
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import PlaceQuery

#: Seconds after a query within which its request arrives at the engine or is released.
ARRIVAL_S = 0.05
#: Longest output of a request in multiples of its expectation, and the shortest rest of one that
#: still runs. Output lengths are skewed and the expectations uncertain, so that a request which has
#: reached its expectation is not about to end. With these, slots become free as often as predicted.
LONGEST_OUTPUT_FACTOR = 1.7
SHORTEST_REST_FACTOR = 0.9
#: Share of the requests at an engine whose work has to be known for a report on it.
MIN_KNOWN_SHARE = 0.5
#: Announced requests that are kept; more than an engine runs and queues between two reports.
MAX_REQUESTS = 1024
#: Largest prompt and output of a request that count, in tokens; more than any engine accepts.
MAX_TOKENS = 1_000_000


@dataclass(slots=True)
class AnnouncedRequest:
    """A request that an entry announced, with its expected output and that written so far."""

    prompt_tokens: int
    output_tokens: int
    announced_at: float
    written_tokens: float = 0

    @property
    def excess_tokens(self) -> float:
        """Written output beyond the expectation; the request with most has probably ended."""
        return self.written_tokens - self.output_tokens

    @property
    def rest_tokens(self) -> float:
        """Output that a request which still runs is expected to have left, above 0."""
        rest = LONGEST_OUTPUT_FACTOR * self.output_tokens - self.written_tokens
        return max(rest, SHORTEST_REST_FACTOR * self.output_tokens)


@dataclass(slots=True)
class AnnouncedRequests:
    """The announced requests by their queries, the oldest first.

    Of these, the oldest run, as many as the engine has reported, and all others wait. Times in
    seconds.
    """

    requests: dict[tuple[Endpoint, int], AnnouncedRequest] = field(default_factory=dict)
    running: int = 0
    remaining_tokens: float = 0
    reported_at: float = 0

    def announce(self, entry: Endpoint, query: PlaceQuery, now: float) -> None:
        """Add the request of a query, unless its cost is unknown.

        :param entry: the entry that sent the query.
        :param query: the query.
        :param now: current time.
        """
        if query.costs and len(self.requests) < MAX_REQUESTS:
            self.requests[entry, query.number] = AnnouncedRequest(
                min(max(0, query.prompt_tokens), MAX_TOKENS),
                min(max(1, query.costs[0].output_tokens), MAX_TOKENS),
                now,
            )

    def release(self, entry: Endpoint, number: int) -> None:
        """Remove a request that is sent to another backend server.

        :param entry: the entry that sent the query.
        :param number: the number of its query.
        """
        self.requests.pop((entry, number), None)

    def apply_report(
        self, engine: Engine | None, running: int, waiting: int, slowdown: float, now: float
    ) -> None:
        """Advance the running requests, and remove those that have ended by the engine's report.

        :param engine: speed of the engine, None if it is unknown.
        :param running: number of running requests that the engine reports.
        :param waiting: number of waiting requests that it reports.
        :param slowdown: factor by which the engine is slower than configured.
        :param now: current time.
        """
        if engine is not None and self.requests:
            per_s = output_tokens_per_s(engine, running, max(1, slowdown))
            written_tokens = per_s * max(0, now - self.reported_at)
            for request in islice(self.requests.values(), self.running):
                request.written_tokens += written_tokens
        self.reported_at = now
        self.running = running
        self.drop_ended(running + waiting, now)
        self.remaining_tokens = self.mean_rest_tokens()

    def drop_ended(self, count: int, now: float) -> None:
        """Remove the requests that have probably ended.

        :param count: number of requests that the engine reports.
        :param now: current time.
        """
        arrived = [
            query
            for query, request in self.requests.items()
            if request.announced_at < now - ARRIVAL_S
        ]
        surplus = len(arrived) - count
        if surplus > 0:
            arrived.sort(key=lambda query: self.requests[query].excess_tokens, reverse=True)
            for query in arrived[:surplus]:
                self.requests.pop(query)

    def mean_rest_tokens(self) -> float:
        """Return the output that a running request has left, as it decides when slots become free.

        Requests with little left release their slots first, whatever the others have left: their
        rests count by their reciprocals.

        :return: tokens, 0 if no running request is known.
        """
        running = islice(self.requests.values(), self.running)
        rate = mean_of(1 / request.rest_tokens for request in running)
        return 1 / rate if rate else 0

    def work(self, queued: int) -> tuple[EngineWork, ...]:
        """Return the outstanding work for a report to an entry.

        Requests without an announcement count like the others.

        :param queued: number of requests that wait at the engine or are on their way to it.
        :return: one record, or none if the work of too few requests is known.
        """
        count = self.running + queued
        known = len(self.requests)
        if not count or known < MIN_KNOWN_SHARE * count:
            return ()
        waiting = tuple(islice(reversed(self.requests.values()), queued))
        prompt_tokens = mean_of(request.prompt_tokens for request in waiting) * queued
        remaining_tokens = self.remaining_tokens
        if waiting and remaining_tokens:
            # Each slot that becomes free before that of a further request goes to a waiting one.
            share = min(1, queued / (2 * self.running))
            output_tokens = mean_of(request.output_tokens for request in waiting)
            remaining_tokens += share * (output_tokens - remaining_tokens)
        return (EngineWork(round(remaining_tokens), min(round(prompt_tokens), MAX_INT32)),)


def mean_of(lengths: Iterable[float]) -> float:
    """Return the mean of some lengths.

    :param lengths: the lengths.
    :return: the mean, 0 if there are none.
    """
    known = tuple(lengths)
    return sum(known) / max(1, len(known))


__all__ = (
    'AnnouncedRequest',
    'AnnouncedRequests',
)
