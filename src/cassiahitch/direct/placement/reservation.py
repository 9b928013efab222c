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

from cassiahitch.direct.placement.assignments import Reservation
from cassiahitch.direct.placement.limiterchoice import PERMIT_LIFETIME_S
from cassiahitch.direct.placement.load import LoadReport, OutstandingWork
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.ratelimits import RateLimitRegistry
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import PlaceQuery, PlaceReturn, RequestCost

if TYPE_CHECKING:
    from cassiahitch.direct.placement.placement import Placement
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.wire.datagrammessages import EngineLoad, LimitRecord
    from cassiahitch.wire.datagrams import DatagramSocket

#: Seconds for which the first reply is awaited.
REPLY_TIMEOUT_S = 0.06
#: Seconds for which further replies are awaited after the first one.
FURTHER_REPLIES_WAIT_S = 0.01
PERCENT = 100
MS_PER_S = 1000
#: Seconds for which an agent that grants no permits is not queried for a limited engine again.
NO_PERMITS_BACKOFF_S = 1.0
#: Number of a reservation that no agent has granted, since numbers of queries start at 1.
UNGRANTED = 0


@dataclass(slots=True)
class QueryRound:
    """Queries that were sent together for one request, by query number.

    ``unanswered`` holds the replicas whose agents have not replied yet. ``reservations`` holds the
    reserved slots by replica key, and ``refused`` the keys of the replicas without a permit.
    ``reply_received`` is set on each reply, ``sent_at`` is in seconds of the boot clock.
    """

    replicas: dict[int, Replica]
    sent_at: float
    unanswered: dict[int, Replica] = field(init=False)
    reservations: dict[str, Reservation] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
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
    rate_limits: RateLimitRegistry = field(default_factory=RateLimitRegistry)
    on_stopping: Callable[[Replica], None] = _ignore_stopping

    async def reserve(
        self, replicas: Iterable[Replica], prompt_tokens: int, output_tokens: float = 0
    ) -> QueryRound:
        """Query the agents of some engines, each of which reserves a slot for a short time.

        :param replicas: the replicas to query.
        :param prompt_tokens: length of the prompt of the request.
        :param output_tokens: expected output length of the request, 0 if unknown.
        :return: the queries, with the reservations of the agents that replied in time.
        """
        queried = {next(self.query_numbers): replica for replica in replicas}
        query_round = QueryRound(queried, boot_time())
        if self.socket is None:
            return query_round
        costs = (RequestCost(round(output_tokens)),) if output_tokens else ()
        for number, replica in query_round.unanswered.items():
            self.pending[number] = query_round
            query = PlaceQuery(number, prompt_tokens, self.limit_records(replica), costs)
            self.socket.send(query, self.agent_endpoint(replica))
        try:
            await self.wait(query_round)
        except asyncio.CancelledError:
            self.cancel(query_round)
            raise
        now = asyncio.get_running_loop().time()
        for number, replica in query_round.unanswered.items():
            self.pending.pop(number)
            self.placement.engine_load(replica.key).record_no_reply(now)
            self.release(Reservation(number, self.agent_endpoint(replica)))
        return query_round

    def limit_records(self, replica: Replica) -> tuple[LimitRecord, ...]:
        """Return the observed rate limit of an engine for a message to its agent.

        :param replica: the replica of the engine.
        :return: one record, or none if the engine has never named a limit and is not cold.
        """
        now = asyncio.get_running_loop().time()
        return self.rate_limits.records_named(replica, '', now)

    def cancel(self, query_round: QueryRound) -> None:
        """Cancel a round and release the slots at all its agents.

        Agents whose replies are still in transit have reserved a slot as well.

        :param query_round: the queries.
        """
        for number, replica in query_round.replicas.items():
            self.pending.pop(number, None)
            self.release(Reservation(number, self.agent_endpoint(replica)))

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

    def release(self, reservation: Reservation) -> None:
        """Release a reserved slot or a permit, since the request is not sent with it.

        :param reservation: the reservation.
        """
        if self.socket is not None and reservation.number != UNGRANTED:
            self.socket.send(PlaceReturn(reservation.number), reservation.agent)

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
                self.record_reply(load, replica, query_round)
            query_round.reply_received.set()
        elif not load.number:
            for replica in replicas:
                self.apply_load(load, replica, sender)

    def record_reply(self, load: EngineLoad, replica: Replica, query_round: QueryRound) -> None:
        """Record the reservation or the refusal in a reply.

        :param load: the reply of an agent.
        :param replica: the replica.
        :param query_round: the queries to which it belongs.
        """
        now = asyncio.get_running_loop().time()
        agent = self.agent_endpoint(replica)
        key = replica.key
        if load.refusals:
            query_round.refused.add(key)
            available_s = load.refusals[0].available_ms / MS_PER_S
            self.rate_limits.record_refusal(key, available_s, now)
        elif load.limits:
            permit_until = query_round.sent_at + PERMIT_LIFETIME_S
            query_round.reservations[key] = Reservation(load.number, agent, permit_until)
        elif self.rate_limits.needs_permit(key, now):
            # The agent runs a version that grants no permits.
            query_round.refused.add(key)
            self.rate_limits.record_refusal(key, NO_PERMITS_BACKOFF_S, now)
            self.release(Reservation(load.number, agent))
        else:
            query_round.reservations[key] = Reservation(load.number, agent)

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
        now = asyncio.get_running_loop().time()
        self.rate_limits.apply_report(replica, load.limits, now)
        if load.leaving:
            self.on_stopping(replica)
        if load.refusals:
            # The load in a refusal is not the load of the engine.
            return True
        report = LoadReport(
            running=load.running,
            waiting=load.waiting,
            slowdown=1 + load.slowness_percent / PERCENT,
            loading=load.loading,
            model=load.model,
            version=load.version,
            incarnation=load.incarnation,
            work=_outstanding_work(load),
        )
        self.placement.engine_load(replica.key).apply_report(report, now)
        return True

    def agent_endpoint(self, replica: Replica) -> Endpoint:
        """Return the endpoint of the agent of a replica, which runs on the same host.

        :param replica: the replica.
        :return: the endpoint.
        """
        return Endpoint(replica.endpoint.address, self.peer_port)


def ungranted_permit(agent: Endpoint) -> Reservation:
    """Return a permit from the share of this entry, which no agent has granted.

    :param agent: endpoint of the agent on the host of the replica.
    :return: the permit, which ends as soon as a granted one.
    """
    return Reservation(UNGRANTED, agent, boot_time() + PERMIT_LIFETIME_S)


def _outstanding_work(load: EngineLoad) -> OutstandingWork | None:
    if not load.work:
        return None
    work = load.work[0]
    return OutstandingWork(max(0, work.remaining_tokens), max(0, work.prompt_tokens))


__all__ = (
    'ReservationClient',
    'ungranted_permit',
)
