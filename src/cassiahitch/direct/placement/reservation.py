"""Queries agents for the load of their engines and reserves slots, right before placement.

Load pattern: with many entries, load reports from all engines to all entries, and a message about
each placement to all other entries, cost more than the requests themselves. A few queries per
request cost the same in a fleet of any size, and their replies are as fresh as possible.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.load import LoadReport
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import PlaceQuery, PlaceReturn

if TYPE_CHECKING:
    from cassiahitch.direct.placement.placement import Placement
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.wire.datagrammessages import EngineLoad
    from cassiahitch.wire.datagrams import DatagramSocket

#: Seconds for which the first reply is awaited.
REPLY_TIMEOUT_S = 0.06
#: Seconds for which further replies are awaited after the first one.
FURTHER_REPLIES_WAIT_S = 0.01
PERCENT = 100


@dataclass(slots=True)
class QueryRound:
    """Queries that were sent together for one request, by query number.

    ``unanswered`` holds the replicas whose agents have not replied yet. ``reservations`` holds the
    query numbers of the reserved slots by replica key. ``reply_received`` is set on each reply.
    """

    replicas: dict[int, Replica]
    unanswered: dict[int, Replica] = field(init=False)
    reservations: dict[str, int] = field(default_factory=dict)
    reply_received: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Mark all queries as unanswered."""
        self.unanswered = self.replicas.copy()


def _ignore_stopping(_: Replica) -> None:
    """Do nothing if an engine is stopping; the default callback."""


@dataclass(slots=True)
class ReservationClient:
    """Reserves slots of engines by queries to their agents, and records the reported load.

    ``pending`` holds the rounds of unanswered queries by query number. ``on_stopping`` is called
    when an agent reports that its engine is stopping.
    """

    placement: Placement
    peer_port: int
    socket: DatagramSocket | None = None
    pending: dict[int, QueryRound] = field(default_factory=dict)
    query_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    on_stopping: Callable[[Replica], None] = _ignore_stopping

    async def reserve(self, replicas: Iterable[Replica], prompt_tokens: int) -> dict[str, int]:
        """Query the agents of some engines, each of which reserves a slot for a short time.

        :param replicas: the replicas to query.
        :param prompt_tokens: length of the prompt of the request.
        :return: the numbers of the queries that reserved a slot, by the keys of the replicas whose
            agents replied in time.
        """
        if self.socket is None:
            return {}
        query_round = QueryRound({next(self.query_numbers): replica for replica in replicas})
        for number, replica in query_round.unanswered.items():
            self.pending[number] = query_round
            self.socket.send(PlaceQuery(number, prompt_tokens), self.agent_endpoint(replica))
        try:
            await self.wait(query_round)
        except asyncio.CancelledError:
            self.cancel(query_round)
            raise
        now = asyncio.get_running_loop().time()
        for number, replica in query_round.unanswered.items():
            self.pending.pop(number)
            self.placement.engine_load(replica.key).record_no_reply(now)
        return query_round.reservations

    def cancel(self, query_round: QueryRound) -> None:
        """Cancel a round and release the slots at all its agents.

        Agents whose replies are still in transit have reserved a slot as well.

        :param query_round: the queries.
        """
        for number, replica in query_round.replicas.items():
            self.pending.pop(number, None)
            self.release(replica, number)

    async def wait(self, query_round: QueryRound) -> None:
        """Wait for the replies, but only briefly for further ones after the first.

        :param query_round: the queries.
        """
        clock = asyncio.get_running_loop().time
        deadline = clock() + REPLY_TIMEOUT_S
        while query_round.unanswered and clock() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    await query_round.reply_received.wait()
            except TimeoutError:
                return
            query_round.reply_received.clear()
            deadline = min(deadline, clock() + FURTHER_REPLIES_WAIT_S)

    def release(self, replica: Replica, number: int) -> None:
        """Release a reserved slot, since the request is placed elsewhere.

        :param replica: replica at whose agent the slot is reserved.
        :param number: number of the query that reserved it.
        """
        if self.socket is not None:
            self.socket.send(PlaceReturn(number), self.agent_endpoint(replica))

    def handle_load(self, load: EngineLoad, replicas: Iterable[Replica], sender: Endpoint) -> None:
        """Handle a load report, either the reply to a query or an unsolicited one.

        :param load: the report of an agent.
        :param replicas: all registered replicas.
        :param sender: endpoint of the agent.
        """
        query_round = self.pending.pop(load.number, None)
        if query_round is not None:
            replica = query_round.unanswered.pop(load.number)
            if self.apply_load(load, replica, sender):
                query_round.reservations[replica.key] = load.number
            query_round.reply_received.set()
        elif not load.number:
            for replica in replicas:
                self.apply_load(load, replica, sender)

    def apply_load(self, load: EngineLoad, replica: Replica, sender: Endpoint) -> bool:
        """Record a reported load for a replica if the report is about that incarnation.

        :param load: the report of an agent.
        :param replica: the replica.
        :param sender: endpoint of the agent.
        :return: whether the report is about the replica.
        """
        is_same_incarnation = replica.born_ms == load.born_ms or not load.born_ms
        if replica.endpoint.address != sender.address or not is_same_incarnation:
            return False
        if load.leaving:
            self.on_stopping(replica)
        report = LoadReport(
            running=load.running,
            waiting=load.waiting,
            slowdown=1 + load.slowness_percent / PERCENT,
            loading=load.loading,
            model=load.model,
            version=load.version,
            incarnation=load.incarnation,
        )
        self.placement.engine_load(replica.key).apply_report(
            report, asyncio.get_running_loop().time()
        )
        return True

    def agent_endpoint(self, replica: Replica) -> Endpoint:
        """Return the endpoint of the agent of a replica, which runs on the same host.

        :param replica: the replica.
        :return: the endpoint.
        """
        return Endpoint(replica.endpoint.address, self.peer_port)


__all__ = ('ReservationClient',)
