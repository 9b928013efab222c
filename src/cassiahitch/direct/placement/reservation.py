"""Asks agents how busy their engines are, right before a request is placed.

Load pattern: with many entries, reports of all engines to all entries and news of each placement
to all others cost more than the requests. A few questions for each request cost the same in any
fleet, and their answers are as fresh as can be.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.placement.load import LoadReport
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.beats import PlaceQuery, PlaceReturn

if TYPE_CHECKING:
    from cassiahitch.direct.placement.placement import Placement
    from cassiahitch.direct.state.replicas import Replica
    from cassiahitch.wire.beats import EngineLoad
    from cassiahitch.wire.datagrams import DatagramSocket

#: Seconds until an answer is no longer waited for.
REPLY_TIMEOUT_S = 0.06
#: Seconds for which the others are waited for once one agent has answered.
FURTHER_REPLIES_WAIT_S = 0.01
PERCENT = 100


@dataclass(slots=True)
class QueryRound:
    """Questions that were asked together; ``open`` holds the replicas without an answer."""

    asked: dict[int, Replica]
    open: dict[int, Replica] = field(init=False)
    answered: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Begin without an answer."""
        self.open = self.asked.copy()


def _tell_nobody(_: Replica) -> None:
    """Take in that an engine leaves where nobody asks."""


@dataclass(slots=True)
class ReservationClient:
    """Sends questions to agents and takes their answers in.

    ``on_stopping`` is told of engines that leave.
    """

    placement: Placement
    peer_port: int
    socket: DatagramSocket | None = None
    pending: dict[int, QueryRound] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    on_stopping: Callable[[Replica], None] = _tell_nobody

    async def reserve(self, replicas: Iterable[Replica], prompt_tokens: int) -> dict[str, int]:
        """Ask the agents of some engines, each of which holds a place for a moment.

        :param replicas: the engines.
        :param prompt_tokens: length of the prompt that is to be placed.
        :return: the numbers of the places, by the keys of the engines whose agents answered.
        """
        if self.socket is None:
            return {}
        asked = QueryRound({next(self.numbers): replica for replica in replicas})
        for number, replica in asked.open.items():
            self.pending[number] = asked
            self.socket.send(PlaceQuery(number, prompt_tokens), self.agent(replica))
        try:
            await self.wait(asked)
        except asyncio.CancelledError:
            self.abandon(asked)
            raise
        now = asyncio.get_running_loop().time()
        for number, replica in asked.open.items():
            self.pending.pop(number)
            self.placement.engine_load(replica.key).record_no_reply(now)
        return asked.answered

    def abandon(self, asked: QueryRound) -> None:
        """Ask no more; agents whose answers are on their way hold a place as well.

        :param asked: the questions.
        """
        for number, replica in asked.asked.items():
            self.pending.pop(number, None)
            self.release(replica, number)

    async def wait(self, asked: QueryRound) -> None:
        """Wait for answers, not much longer than for the first one.

        :param asked: the questions.
        """
        clock = asyncio.get_running_loop().time
        until = clock() + REPLY_TIMEOUT_S
        while asked.open and clock() < until:
            try:
                async with asyncio.timeout_at(until):
                    await asked.changed.wait()
            except TimeoutError:
                return
            asked.changed.clear()
            until = min(until, clock() + FURTHER_REPLIES_WAIT_S)

    def release(self, replica: Replica, number: int) -> None:
        """Tell an agent that the request goes elsewhere.

        :param replica: its engine.
        :param number: the number of the place.
        """
        if self.socket is not None:
            self.socket.send(PlaceReturn(number), self.agent(replica))

    def handle_load(self, load: EngineLoad, replicas: Iterable[Replica], sender: Endpoint) -> None:
        """Take the load of an engine in.

        :param load: what its agent says.
        :param replicas: all replicas that are known.
        :param sender: the agent.
        """
        asked = self.pending.pop(load.number, None)
        if asked is not None:
            replica = asked.open.pop(load.number)
            if self.take(load, replica, sender):
                asked.answered[replica.key] = load.number
            asked.changed.set()
        elif not load.number:
            for replica in replicas:
                self.take(load, replica, sender)

    def take(self, load: EngineLoad, replica: Replica, sender: Endpoint) -> bool:
        """Take a load in if it is that of a replica.

        :param load: what the agent says.
        :param replica: the replica.
        :param sender: the agent.
        :return: whether it is.
        """
        same_start = replica.born_ms == load.born_ms or not load.born_ms
        if replica.endpoint.address != sender.address or not same_start:
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

    def agent(self, replica: Replica) -> Endpoint:
        """Return where the agent of an engine is.

        :param replica: the engine.
        :return: its address.
        """
        return Endpoint(replica.endpoint.address, self.peer_port)


__all__ = ('ReservationClient',)
