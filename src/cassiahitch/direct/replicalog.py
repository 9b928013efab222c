"""Log lines and metrics for what an entry learns of backend servers."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from cassiahitch.direct.statelog import StateLog
from cassiahitch.metrics.names import CounterName

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call
    from cassiahitch.direct.backends.streamends import EndEvidence, Verdict
    from cassiahitch.direct.backends.streamstate import StreamState
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.placement.availability import ExpiredAnnouncement
    from cassiahitch.direct.state.ratelimits import LimitObservation
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.metrics.registry import Metrics

#: Prompt segments of requests that had not begun at a crash that its log line contains.
MAX_LOGGED_SEGMENTS = 16


@dataclass(slots=True)
class ReplicaLog(StateLog):
    """Logs each signal and each failure of a backend server, and counts it."""

    entry_state: EntryState
    metrics: Metrics

    def replica_stopping(self, replica: Replica, source: str) -> None:
        """Record that a backend server has announced its shutdown.

        :param replica: the backend server.
        :param source: how it was announced, such as by a response or by its agent.
        """
        self.metrics.count(CounterName.replicas_leaving, replica.service)
        fields = {'replica': replica.id, 'born_ms': replica.born_ms, 'source': source}
        self.state_changed('replica says that it leaves', service=replica.service, **fields)

    def replica_paused(self, replica: Replica, seconds: float) -> None:
        """Record that a backend server has asked for a pause without new requests.

        :param replica: the backend server.
        :param seconds: length of the pause.
        """
        self.metrics.count(CounterName.replica_pauses, replica.service)
        fields = {'replica': replica.id, 'born_ms': replica.born_ms, 'pause_s': seconds}
        self.state_changed('replica asks for a pause', service=replica.service, **fields)

    def announcement_expired(self, expired: ExpiredAnnouncement) -> None:
        """Record that the announcement of a shutdown or of a pause has expired.

        :param expired: the announcement.
        """
        message = (
            'replica that leaves is forgotten' if expired.stopping else 'pause of a replica is over'
        )
        self.state_changed(message, replica=expired.key, after_s=expired.after_s)

    def rate_limit_changed(self, replica: Replica, before: LimitObservation, source: str) -> None:
        """Record that a backend server has named a rate limit, or names none any more.

        :param replica: the backend server.
        :param before: the limit that applied before.
        :param source: where it was observed, such as in a response or by the agent.
        """
        fields: dict[str, Any] = {
            'replica': replica.id,
            'born_ms': replica.born_ms,
            'service': replica.service,
            'before_per_s': before.per_s,
            'source': source,
        }
        current = self.entry_state.rate_limits.tracker(replica.key).current
        if current.per_s == math.inf:
            fields['named_s_ago'] = asyncio.get_running_loop().time() - before.received_at
            self.state_changed('rate limit of a replica is over', **fields)
            return
        self.metrics.count(CounterName.rate_limits_named, replica.service)
        self.state_changed('replica names a rate limit', per_s=current.per_s, **fields)

    def replica_cold(self, replica: Replica, left_s: float, source: str) -> None:
        """Record that a backend server has become cold, so that each request needs a permit.

        :param replica: the backend server.
        :param left_s: seconds for which it stays cold.
        :param source: where it was observed, such as in its row or by its agent.
        """
        self.metrics.count(CounterName.replicas_cold, replica.service)
        self.state_changed(
            'replica is cold',
            replica=replica.id,
            born_ms=replica.born_ms,
            service=replica.service,
            cold_s=left_s,
            per_s=self.entry_state.rate_limits.cold.per_s(replica.service),
            entries=self.entry_state.rate_limits.shares.counts.highest(),
            source=source,
        )

    def header_ignored(self, replica: Replica, name: str) -> None:
        """Record that an invalid header of a response was ignored.

        :param replica: the backend server that sent it.
        :param name: name of the header.
        """
        self.metrics.count(CounterName.headers_unreadable, name)
        self.state_changed('header ignored', replica=replica.id, header=name)

    def response_end_checked(self, replica: Replica, evidence: str, took_s: float) -> None:
        """Record why a response that ended with its connection counts as complete or not.

        :param replica: the backend server.
        :param evidence: what is known about the backend server.
        :param took_s: how long it took to find out, in seconds.
        """
        fields = {'replica': replica.id, 'born_ms': replica.born_ms, 'evidence': evidence}
        self.state_changed(
            'response ended with its connection', service=replica.service, took_s=took_s, **fields
        )

    def stream_end_judged(
        self, stream: StreamState, replica: Replica, verdict: Verdict, evidence: EndEvidence
    ) -> None:
        """Record what was made of a stream that ended with its connection.

        :param stream: what the caller has received.
        :param replica: the backend server that ended it.
        :param verdict: whether the stream counts as complete.
        :param evidence: what is known beside the response.
        """
        self.state_changed(
            'end of a stream judged',
            request=stream.caller.progress.id,
            replica=replica.id,
            events=stream.splitter.event_count,
            last_event_id=stream.splitter.last_event_id,
            asked=stream.asks_rest,
            verdict=verdict.value,
            **asdict(evidence),
        )

    def replica_crashed(self, replica: Replica, calls: list[Call]) -> None:
        """Record the crash of a backend server.

        :param replica: the backend server.
        :param calls: requests that this entry had in flight there.
        """
        self.metrics.count(CounterName.suspects_marked, by=len(calls))
        waiting = [call for call in calls if not call.has_begun]
        segments = Counter(segment for call in waiting for segment in call.shared_segments)
        fields = {
            'replica': replica.id,
            'service': replica.service,
            'in_flight': len(calls),
            'not_begun': len(waiting),
            'segments': [segment for segment, _ in segments.most_common(MAX_LOGGED_SEGMENTS)],
        }
        self.state_changed('backend server crashed', **fields)

    def segments_judged(self, *, local: bool) -> None:
        """Record a change of the evidence on prompt segments that crash engines.

        :param local: whether this entry made the observation itself.
        """
        evidence = self.entry_state.segments.evidence
        for service in sorted({crash.service for crash in evidence.crashes.values()}):
            conclusion = evidence.conclude(service)
            fields = {
                'service': service,
                'local': local,
                'suspects': len(conclusion.suspects),
                'refused': [sorted(group.segments) for group in conclusion.groups],
                'crashes': [group.crashes for group in conclusion.groups],
            }
            self.state_changed('prompt segments judged', **fields)


__all__ = ('ReplicaLog',)
