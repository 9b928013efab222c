"""Registry of the connected agents: their heartbeats, health and replicas for the router."""

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
    """One incarnation of an agent.

    ``clock_offset_s`` is a lower bound of the agent's clock minus the monotonic clock of this
    process.
    """

    connection: Connection
    heartbeat: messages.Heartbeat
    clock_offset_s: float

    @property
    def is_serving(self) -> bool:
        """Whether the agent reports that it accepts requests."""
        return self.heartbeat.ready and not self.heartbeat.leaving


@dataclass(slots=True)
class AgentRegistry:
    """Registry of agents; updates the membership and the router from their heartbeats."""

    node: Node
    configuration: Configuration
    router: Router
    gate: PoisonGate
    membership: Membership = field(default_factory=Membership)
    entries: Membership = field(default_factory=Membership)
    agents: dict[str, Agent] = field(default_factory=dict)

    def receive_agent_heartbeat(
        self, connection: Connection, heartbeat: messages.Heartbeat
    ) -> None:
        """Apply a heartbeat of an agent.

        :param connection: connection that it arrived on.
        :param heartbeat: the heartbeat.
        """
        if not connection.accepts_calls:
            return
        now = self.node.clock.monotonic()
        host = connection.peer.host
        changes = self.membership.receive_heartbeat(
            member_heartbeat(connection.peer, heartbeat, Role.agent), now
        )
        member = self.membership.members.get(host)
        if member is None or member.heartbeat.incarnation != heartbeat.incarnation:
            return
        offset = heartbeat.clock_ms / MS_PER_S - now
        previous = self.agents.get(host)
        if previous is not None and previous.heartbeat.incarnation == heartbeat.incarnation:
            # Each offset is too low by the delay of the message, so the largest is the best.
            offset = max(offset, previous.clock_offset_s)
        self.agents[host] = Agent(connection, heartbeat, offset)
        self.gate.receive_heartbeat(host, heartbeat, self.service_name(heartbeat))
        self._update_router(host, now)
        for event in heartbeat.cache_events:
            self.router.apply_cache_event(
                host, CacheEvent(event.sequence, event.prefix, event.cached)
            )
        self.apply_membership_changes(changes)

    @property
    def members(self) -> tuple[Member, ...]:
        """All entries and agents, including this process."""
        return (*self.entries.members.values(), *self.membership.members.values())

    def highest_reported_revision(self) -> int:
        """Return the highest revision that any member reported as in force.

        :return: the revision, 0 without any report.
        """
        return max((member.heartbeat.revision for member in self.members), default=0)

    def receive_entry_heartbeat(self, peer: messages.Hello, heartbeat: messages.Heartbeat) -> None:
        """Apply a heartbeat of an entry.

        :param peer: handshake message of the entry.
        :param heartbeat: the heartbeat.
        """
        member = member_heartbeat(peer, heartbeat, Role.entry)
        self.entries.receive_heartbeat(member, self.node.clock.monotonic())

    def record_connection_closed(self, connection: Connection) -> None:
        """Remove the replica of an agent whose connection has closed from the router.

        :param connection: the connection.
        """
        host = connection.peer.host
        agent = self.agents.get(host)
        if agent is not None and agent.connection is connection:
            self.router.remove_replica(host)

    def check_timeouts(self) -> tuple[MembershipChange, ...]:
        """Update the health of members by the age of their last heartbeat.

        :return: the changes.
        """
        now = self.node.clock.monotonic()
        self.entries.check_timeouts(now)
        changes = self.membership.check_timeouts(now)
        self.apply_membership_changes(changes)
        return changes

    def update_routes(self) -> None:
        """Update the replicas of the router from the configuration that is now in force."""
        now = self.node.clock.monotonic()
        for host in tuple(self.agents):
            self._update_router(host, now)

    def service_name(self, heartbeat: messages.Heartbeat) -> str:
        """Return the service that an agent serves.

        :param heartbeat: heartbeat of the agent.
        :return: name of the service, or an empty string.
        """
        if heartbeat.plain_service:
            return heartbeat.plain_service
        deployment = self.configuration.resources.get(f'Deployment/{heartbeat.deployment}')
        return deployment.service if isinstance(deployment, Deployment) else ''

    def address_of(self, host: str) -> messages.PeerAddress:
        """Return the address of an agent.

        :param host: host of the agent.
        :return: the address that the agent listens on.
        :raises WireError: ``host_unknown``.
        """
        agent = self.agents.get(host)
        if agent is None:
            raise WireError(Code.host_unknown, f'no agent on {host} has sent a heartbeat')
        peer = agent.connection.peer
        return messages.PeerAddress(host, peer.address, peer.port, peer.incarnation)

    async def call(
        self, host: str, incarnation: int, message: messages.Message
    ) -> messages.Message:
        """Send a message to an agent and wait for its reply.

        :param host: host of the agent.
        :param incarnation: incarnation of the agent.
        :param message: the message.
        :return: the reply.
        :raises WireError: ``host_unknown`` if the agent is not connected in that incarnation.
        """
        return await self.connection(host, incarnation).call(message)

    def connection(self, host: str, incarnation: int) -> Connection:
        """Return the connection to an agent.

        :param host: host of the agent.
        :param incarnation: incarnation of the agent.
        :return: the connection.
        :raises WireError: ``host_unknown`` if the agent is not connected in that incarnation.
        """
        agent = self.agents.get(host)
        if agent is None or agent.heartbeat.incarnation != incarnation:
            raise WireError(Code.host_unknown, f'{host} is not connected in this incarnation')
        return agent.connection

    def _update_router(self, host: str, now: float) -> None:
        agent = self.agents[host]
        heartbeat = agent.heartbeat
        service = self.service_name(heartbeat)
        is_usable = self.membership.is_usable(host, heartbeat.incarnation) and agent.is_serving
        if not is_usable or not service or agent.connection.close_reason is not None:
            self.router.remove_replica(host)
            return
        peer = agent.connection.peer
        replica = Replica(
            host,
            heartbeat.incarnation,
            peer.region,
            peer.failure_domain,
            frozenset((service,)),
        )
        self.router.update_replica(replica, now)
        self.router.apply_report(host, _load_report(heartbeat, now), now)

    def apply_membership_changes(self, changes: tuple[MembershipChange, ...]) -> None:
        """Update the router after changes of the membership.

        :param changes: the changes.
        """
        for change in changes:
            member = self.membership.members.get(change.host)
            if member is None or not self.membership.is_usable(change.host, change.incarnation):
                self.router.remove_replica(change.host)
            if member is None:
                self.gate.remove_replica(change.host)
                self._remove_agent(change.host, change.incarnation)

    def _remove_agent(self, host: str, incarnation: int) -> None:
        agent = self.agents.get(host)
        if agent is not None and agent.heartbeat.incarnation == incarnation:
            self.agents.pop(host)


def _load_report(heartbeat: messages.Heartbeat, now: float) -> LoadReport:
    return LoadReport(
        heartbeat.running,
        heartbeat.queued,
        heartbeat.capacity,
        now,
        heartbeat.loaded_digest,
        heartbeat.load_epoch,
    )


def member_heartbeat(peer: messages.Hello, heartbeat: messages.Heartbeat, role: Role) -> Heartbeat:
    """Convert a heartbeat message for the membership.

    :param peer: handshake message of the process.
    :param heartbeat: heartbeat of the process.
    :param role: role of the process.
    :return: the heartbeat for the membership.
    """
    info = MemberInfo(
        role,
        f'{peer.address}:{peer.port}',
        peer.region,
        peer.failure_domain,
    )
    weights = Weights(
        heartbeat.deployment,
        heartbeat.loaded_digest,
        heartbeat.load_epoch,
        heartbeat.loading_digest,
        heartbeat.complete_digests,
    )
    return Heartbeat(
        peer.host,
        heartbeat.incarnation,
        heartbeat.sequence,
        info,
        heartbeat.uptime_ms / MS_PER_S,
        heartbeat.revision,
        heartbeat.leaving,
        Load(heartbeat.running, heartbeat.queued),
        weights,
    )


__all__ = (
    'Agent',
    'AgentRegistry',
    'member_heartbeat',
)
