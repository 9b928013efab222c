"""Requests permits for plain replicas that are limited or cold, and passes on observed limits."""

from __future__ import annotations

import asyncio
import itertools
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.assignments import Reservation
from cassiahitch.direct.placement.limiterchoice import PERMIT_LIFETIME_S
from cassiahitch.direct.placement.reservation import ungranted_permit
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import LimitNotice, PermitQuery, PermitReply, PlaceReturn

if TYPE_CHECKING:
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.wire.datagrams import DatagramSocket

MS_PER_S = 1000
#: Seconds for which the reply of an agent is awaited.
REPLY_TIMEOUT_S = 0.06
#: Seconds for which no permit is requested again after no agent has replied.
NO_REPLY_BACKOFF_S = 0.5


@dataclass(slots=True)
class PermitClient:
    """Requests permits at the agents that limit the rates of plain replicas.

    ``pending`` holds the queries without a reply by number, ``silent_until`` the times until which
    no agent is queried for a replica after a query without a reply, by its key.
    """

    entry_state: EntryState
    query_numbers: itertools.count[int]
    socket: DatagramSocket | None = None
    pending: dict[int, asyncio.Future[PermitReply]] = field(default_factory=dict)
    silent_until: dict[str, float] = field(default_factory=dict)

    def keep_only(self, keys: frozenset[str]) -> None:
        """Drop the state of replicas that are no longer registered.

        :param keys: keys of the registered replicas.
        """
        self.silent_until = {key: at for key, at in self.silent_until.items() if key in keys}

    async def request(self, replica: Replica) -> Reservation | None:
        """Request a permit to send one request to a plain replica.

        :param replica: the replica, which names a rate limit or is cold.
        :return: the permit, or None if none is granted; the registry of limits then holds when one
            may be available.
        """
        clock = asyncio.get_running_loop().time
        rate_limits = self.entry_state.rate_limits
        agent = self.limiter(replica)
        began = clock()
        if began < self.silent_until.get(replica.key, -math.inf):
            agent = None
        queried_at = boot_time()
        reply = None if agent is None else await self.query(replica, agent)
        now = clock()
        if agent is None or reply is None:
            if agent is not None:
                self.silent_until[replica.key] = now + NO_REPLY_BACKOFF_S
            waited_s = min(now - began, REPLY_TIMEOUT_S)
            return self.use_share(replica, now, waited_s)
        rate_limits.apply_report(replica, reply.limits, now)
        if reply.refusals:
            available_s = reply.refusals[0].available_ms / MS_PER_S
            rate_limits.record_refusal(replica.key, available_s, now)
            return None
        return Reservation(reply.number, agent, queried_at + PERMIT_LIFETIME_S)

    def use_share(self, replica: Replica, now: float, waited_s: float) -> Reservation | None:
        """Use the share of this entry of the cold rate, since no agent grants permits.

        :param replica: the replica.
        :param now: current time in seconds.
        :param waited_s: seconds for which the reply of an agent was awaited.
        :return: the permit; None if the replica names a limit, or at other times than those of the
            share of this entry.
        """
        rate_limits = self.entry_state.rate_limits
        per_s = rate_limits.cold.per_s(replica.service)
        if rate_limits.is_limited(replica.key) or not per_s:
            rate_limits.record_refusal(replica.key, NO_REPLY_BACKOFF_S, now)
            return None
        if not rate_limits.shares.take(replica.key, per_s, now, waited_s):
            wait_s = rate_limits.shares.wait_s(replica.key, per_s, now)
            rate_limits.record_refusal(replica.key, wait_s, now)
            return None
        host = Endpoint(replica.endpoint.address, self.entry_state.settings.peer_port)
        return ungranted_permit(host)

    async def query(self, replica: Replica, agent: Endpoint) -> PermitReply | None:
        """Send a query and wait for the reply; a permit that is granted too late is returned.

        :param replica: the replica.
        :param agent: the agent.
        :return: the reply, or None if there was none in time.
        """
        if self.socket is None:
            return None
        number = next(self.query_numbers)
        reply: asyncio.Future[PermitReply] = asyncio.get_running_loop().create_future()
        self.pending[number] = reply
        records = self.entry_state.rate_limits.records(replica, asyncio.get_running_loop().time())
        self.socket.send(PermitQuery(number, records), agent)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await reply
        except (TimeoutError, asyncio.CancelledError) as error:
            self.socket.send(PlaceReturn(number), agent)
            if isinstance(error, asyncio.CancelledError):
                raise
            return None
        finally:
            self.pending.pop(number)

    def handle_reply(self, reply: PermitReply) -> None:
        """Handle the reply of an agent; one to a query that has ended is ignored.

        :param reply: the reply.
        """
        waiting = self.pending.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def send_notice(self, replica: Replica) -> None:
        """Send the observed limit of a replica to the agent that limits its rate.

        :param replica: the replica.
        """
        agent = self.limiter(replica)
        if agent is None or self.socket is None:
            return
        now = asyncio.get_running_loop().time()
        name = '' if self.entry_state.is_engine(replica) else replica.id
        records = self.entry_state.rate_limits.records_named(replica, name, now)
        self.socket.send(LimitNotice(records), agent)

    def limiter(self, replica: Replica) -> Endpoint | None:
        """Return the agent that limits the rate of a replica.

        :param replica: the replica.
        :return: the agent on the host of an engine, or the chosen one of a plain replica, None if
            there is none.
        """
        address = (
            replica.endpoint.address
            if self.entry_state.is_engine(replica)
            else self.entry_state.limiters.address(replica, boot_time())
        )
        return Endpoint(address, self.entry_state.settings.peer_port) if address else None


__all__ = ('PermitClient', 'REPLY_TIMEOUT_S')
