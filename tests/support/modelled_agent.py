"""The agent of a modelled engine: replies to the queries of entries and limits their rate."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.load import LoadReport
from cassiahitch.direct.staging.enginelimit import EngineRateLimit
from cassiahitch.direct.staging.permits import refusal_records
from cassiahitch.direct.staging.reporting import PendingRequests
from cassiahitch.direct.statelog import StateLog
from cassiahitch.wire.datagrammessages import EngineLoad

if TYPE_CHECKING:
    from modelled_engine import ModelledEngine

    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import PlaceQuery


@dataclass(repr=False)
class ModelledAgent:
    """The agent of an engine, with its last load report and the requests sent to it since."""

    model: ModelledEngine
    endpoint: Endpoint
    region: int
    pending_requests: PendingRequests = field(default_factory=PendingRequests)
    rate_limit: EngineRateLimit = field(default_factory=lambda: EngineRateLimit(StateLog()))
    report: LoadReport = field(default_factory=lambda: LoadReport(0, 0))

    def load_reply(self, query: PlaceQuery, entry: Endpoint, now: float) -> EngineLoad:
        """Return the reply to a query of an entry."""
        self.rate_limit.apply_records(query.limits, entry, now)
        limits = self.rate_limit.records(now)
        refusal = self.rate_limit.limiter.request(entry, query.number, now)
        if refusal is not None:
            refusals = refusal_records(refusal)
            return EngineLoad(number=query.number, limits=limits, refusals=refusals)
        queued_before = self.pending_requests.add(entry, query.number, now)
        return EngineLoad(
            number=query.number,
            running=self.report.running,
            waiting=self.report.waiting + queued_before,
            model='m',
            version=1,
            limits=limits,
        )

    def release(self, entry: Endpoint, number: int) -> None:
        """Release the slot and the permit of a query."""
        self.pending_requests.release(entry, number)
        self.rate_limit.limiter.release(entry, number)


__all__ = ('ModelledAgent',)
