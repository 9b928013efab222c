"""HTTP handlers that collect the time line and metrics of all connected processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.entry.operator_handlers import OperatorHandler
from cassiahitch.errors import CassiahitchError
from cassiahitch.metrics.encoding import decode_snapshot, encode_snapshot
from cassiahitch.metrics.snapshots import merge_snapshots
from cassiahitch.timeline.encoding import decode_events, encode_events
from cassiahitch.timeline.merging import merge
from cassiahitch.wire.messages import Report, ReportPull
from cassiahitch.wire.reports import Topic, make_report

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cassiahitch.entry.agent_registry import AgentRegistry
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node

#: Seconds after which a process that does not reply is omitted.
REPORT_TIMEOUT_S = 2
#: Maximum number of processes that are queried concurrently.
MAX_CONCURRENT_PULLS = 32
#: Response header that lists the hosts that did not reply.
MISSING_HEADER = 'X-Missing-Hosts'


@dataclass(frozen=True, slots=True)
class CollectedReports:
    """Reports of this process and of others, and the hosts that did not send one."""

    documents: tuple[bytes, ...]
    missing_hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReportCollector:
    """Collects reports from the processes that this entry is connected to."""

    node: Node
    agent_registry: AgentRegistry
    entry_connections: Callable[[], Iterable[Connection]]

    async def collect(self, pull: ReportPull, *, all_processes: bool) -> CollectedReports:
        """Collect reports.

        :param pull: the query.
        :param all_processes: whether other processes are queried too.
        :return: the reports.
        """
        own_document = make_report(self.node, pull).document
        if not all_processes:
            return CollectedReports((own_document,), ())
        agents = [agent.connection for agent in self.agent_registry.agents.values()]
        slots = asyncio.Semaphore(MAX_CONCURRENT_PULLS)
        connections = (*self.entry_connections(), *agents)
        documents = await asyncio.gather(
            *(_pull(connection, pull, slots) for connection in connections)
        )
        pairs = zip(connections, documents, strict=True)
        missing_hosts = tuple(
            connection.peer.host for connection, document in pairs if document is None
        )
        return CollectedReports(
            (own_document, *(document for document in documents if document)), missing_hosts
        )


class ReportHandler(OperatorHandler):
    """Base class of the handlers; the argument ``all=1`` queries the other processes too."""

    async def collect(self, pull: ReportPull) -> tuple[bytes, ...]:
        """Collect reports, and list the hosts without a report in a response header.

        :param pull: the query.
        :return: the reports.
        """
        all_processes = self.get_query_argument('all', '') == '1'
        collected = await self.operators.reports.collect(pull, all_processes=all_processes)
        self.set_header('Content-Type', 'application/json')
        self.set_header(MISSING_HEADER, ','.join(collected.missing_hosts))
        return collected.documents


class TimelineHandler(ReportHandler):
    """Returns the merged time line."""

    async def get(self) -> None:
        """Return the events, filtered by request or rollout."""
        pull = ReportPull(
            Topic.timeline,
            self.get_query_argument('request', ''),
            self.get_query_argument('rollout', ''),
        )
        documents = await self.collect(pull)
        self.finish(encode_events(merge(decode_events(document) for document in documents)))


class MetricsHandler(ReportHandler):
    """Returns the merged metrics."""

    async def get(self) -> None:
        """Return counters, gauges and latencies, summed over the processes."""
        documents = await self.collect(ReportPull(Topic.metrics))
        merged = merge_snapshots(decode_snapshot(document) for document in documents)
        self.finish(encode_snapshot(merged))


async def _pull(
    connection: Connection,
    pull: ReportPull,
    slots: asyncio.Semaphore,
) -> bytes | None:
    try:
        async with slots, asyncio.timeout(REPORT_TIMEOUT_S):
            reply = await connection.call(pull)
    except (CassiahitchError, TimeoutError):
        return None
    return reply.document if isinstance(reply, Report) else None


__all__ = (
    'MetricsHandler',
    'ReportCollector',
    'TimelineHandler',
)
