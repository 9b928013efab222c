"""Agents as an entry knows them: connections, heartbeats and replicas to route to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.engine.api import CacheEvent
from cassiahitch.errors import WireError
from cassiahitch.members.membership import Heartbeat, Load, MemberInfo, Membership, Role, Weights
from cassiahitch.resources.models import Deployment
from cassiahitch.routing.api import LoadReport, Replica
from cassiahitch.wire import messages
from cassiahitch.wire.node import MS_PER_S

if TYPE_CHECKING:
    from cassiahitch.controllers.configuration import Configuration
    from cassiahitch.members.membership import Member, MembershipChange
    from cassiahitch.requests.poison import PoisonGate
    from cassiahitch.routing.router import Router
    from cassiahitch.wire.connection import Connection
    from cassiahitch.wire.node import Node


@dataclass(slots=True)
class Agent:
    """An agent in one incarnation; ``clock_offset_s`` leads from this clock to its clock."""

    connection: Connection
    heartbeat: messages.Heartbeat
    clock_offset_s: float

    @property
    def serves(self) -> bool:
        """Whether it says that it takes work."""
        return self.heartbeat.ready and not self.heartbeat.leaving


@dataclass(slots=True)
class Directory:
    """Joins connections and heartbeats of agents with the membership and the router."""

    node: Node
    configuration: Configuration
    router: Router
    gate: PoisonGate
    membership: Membership = field(default_factory=Membership)
    entries: Membership = field(default_factory=Membership)
    agents: dict[str, Agent] = field(default_factory=dict)

    def heard(self, connection: Connection, beat: messages.Heartbeat) -> None:
        """Take a heartbeat of an agent.

        :param connection: where it arrived.
        :param beat: the heartbeat.
        """
        if not connection.accepts_calls:
            return
        now = self.node.clock.monotonic()
        host = connection.peer.host
        actions = self.membership.receive_heartbeat(
            member_heartbeat(connection.peer, beat, Role.agent), now
        )
        member = self.membership.members.get(host)
        if member is None or member.heartbeat.incarnation != beat.incarnation:
            return
        offset = beat.clock_ms / MS_PER_S - now
        known = self.agents.get(host)
        if known is not None and known.heartbeat.incarnation == beat.incarnation:
            # A message takes time, so the largest offset seen is still a lower bound.
            offset = max(offset, known.clock_offset_s)
        self.agents[host] = Agent(connection, beat, offset)
        self.gate.receive_heartbeat(host, beat, self.service_of(beat))
        self._update_router(host, now)
        for event in beat.cache_events:
            self.router.cache_event(host, CacheEvent(event.sequence, event.prefix, event.cached))
        self.act(actions)

    @property
    def members(self) -> tuple[Member, ...]:
        """Entries and agents, this process among them."""
        return (*self.entries.members.values(), *self.membership.members.values())

    def highest_heard(self) -> int:
        """Return the highest revision that a node was heard to have in force.

        :return: the revision, 0 if none was heard.
        """
        return max((member.heartbeat.revision for member in self.members), default=0)

    def heard_entry(self, peer: messages.Hello, beat: messages.Heartbeat) -> None:
        """Take a heartbeat of an entry.

        :param peer: what the entry says of itself.
        :param beat: the heartbeat.
        """
        heartbeat = member_heartbeat(peer, beat, Role.entry)
        self.entries.receive_heartbeat(heartbeat, self.node.clock.monotonic())

    def ended(self, connection: Connection) -> None:
        """Take note that a connection ended.

        :param connection: the connection.
        """
        host = connection.peer.host
        agent = self.agents.get(host)
        if agent is not None and agent.connection is connection:
            self.router.remove_replica(host)

    def poll(self) -> tuple[MembershipChange, ...]:
        """Note the agents that have been silent.

        :return: what changed.
        """
        now = self.node.clock.monotonic()
        self.entries.check_timeouts(now)
        actions = self.membership.check_timeouts(now)
        self.act(actions)
        return actions

    def refresh(self) -> None:
        """Route by the configuration that is in force now."""
        now = self.node.clock.monotonic()
        for host in tuple(self.agents):
            self._update_router(host, now)

    def service_of(self, beat: messages.Heartbeat) -> str:
        """Return the service that an agent answers.

        :param beat: its heartbeat.
        :return: the name of the service, or nothing.
        """
        if beat.plain_service:
            return beat.plain_service
        deployment = self.configuration.resources.get(f'Deployment/{beat.deployment}')
        return deployment.service if isinstance(deployment, Deployment) else ''

    def locate(self, host: str) -> messages.PeerAddress:
        """Return where a host accepts connections.

        :param host: the host.
        :return: its address.
        :raises WireError: ``host_unknown``.
        """
        agent = self.agents.get(host)
        if agent is None:
            raise WireError(Code.host_unknown, f'{host} was not heard')
        peer = agent.connection.peer
        return messages.PeerAddress(host, peer.address, peer.port, peer.incarnation)

    async def call(
        self, host: str, incarnation: int, message: messages.Message
    ) -> messages.Message:
        """Send a message to an agent and wait for its reply.

        :param host: its host.
        :param incarnation: its incarnation.
        :param message: the message.
        :return: the reply.
        :raises WireError: ``host_unknown`` if it is not connected in that incarnation.
        """
        return await self.connection(host, incarnation).call(message)

    def connection(self, host: str, incarnation: int) -> Connection:
        """Return the connection to an agent.

        :param host: its host.
        :param incarnation: its incarnation.
        :return: the connection.
        :raises WireError: ``host_unknown`` if it is not connected in that incarnation.
        """
        agent = self.agents.get(host)
        if agent is None or agent.heartbeat.incarnation != incarnation:
            raise WireError(Code.host_unknown, f'{host} is not connected')
        return agent.connection

    def _update_router(self, host: str, now: float) -> None:
        agent = self.agents[host]
        beat = agent.heartbeat
        service = self.service_of(beat)
        usable = self.membership.usable(host, beat.incarnation) and agent.serves
        if not usable or not service or agent.connection.close_reason is not None:
            self.router.remove_replica(host)
            return
        peer = agent.connection.peer
        replica = Replica(
            host,
            beat.incarnation,
            peer.region,
            peer.failure_domain,
            frozenset((service,)),
        )
        self.router.update_replica(replica, now)
        self.router.report(host, _load_report(beat, now), now)

    def act(self, actions: tuple[MembershipChange, ...]) -> None:
        """Route by what changed in the membership.

        :param actions: the changes.
        """
        for action in actions:
            member = self.membership.members.get(action.host)
            if member is None or not self.membership.usable(action.host, action.incarnation):
                self.router.remove_replica(action.host)
            if member is None:
                self.gate.remove_replica(action.host)
                self._forget(action.host, action.incarnation)

    def _forget(self, host: str, incarnation: int) -> None:
        agent = self.agents.get(host)
        if agent is not None and agent.heartbeat.incarnation == incarnation:
            self.agents.pop(host)


def _load_report(beat: messages.Heartbeat, now: float) -> LoadReport:
    return LoadReport(
        beat.running,
        beat.queued,
        beat.capacity,
        now,
        beat.loaded_digest,
        beat.load_epoch,
    )


def member_heartbeat(peer: messages.Hello, beat: messages.Heartbeat, role: Role) -> Heartbeat:
    """Translate a heartbeat from the wire.

    :param peer: what the process says of itself.
    :param beat: its heartbeat.
    :param role: what the process does.
    :return: the heartbeat for the membership.
    """
    place = MemberInfo(
        role,
        f'{peer.address}:{peer.port}',
        peer.region,
        peer.failure_domain,
    )
    weights = Weights(
        beat.deployment,
        beat.loaded_digest,
        beat.load_epoch,
        beat.loading_digest,
        beat.complete_digests,
    )
    return Heartbeat(
        peer.host,
        beat.incarnation,
        beat.sequence,
        place,
        beat.uptime_ms / MS_PER_S,
        beat.revision,
        beat.leaving,
        Load(beat.running, beat.queued),
        weights,
    )


__all__ = (
    'Agent',
    'Directory',
    'member_heartbeat',
)
