"""Datagrams that an entry exchanges with other entries and agents."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.direct.members.gossip import PROBE_PERIOD_S, OutgoingMessage
from cassiahitch.direct.members.sentqueries import SentQueries
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.direct.state.ratelimits import observation_of
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.datagrammessages import EngineLoad, MemberNews, MemberState, PermitReply

if TYPE_CHECKING:
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.members.tablerelay import TableRelay
    from cassiahitch.direct.placement.permits import PermitClient
    from cassiahitch.direct.placement.reservation import ReservationClient
    from cassiahitch.direct.telemetry import Telemetry
    from cassiahitch.errors import WireError
    from cassiahitch.wire.datagrammessages import DatagramMessage, LimitRecord
    from cassiahitch.wire.datagrams import DatagramSocket


@dataclass(slots=True)
class EntryMessenger:
    """Sends the messages of the gossip protocol, and dispatches received datagrams.

    ``push_timer`` is the timer of the next push, while one is pending.
    """

    entry_state: EntryState
    reservations: ReservationClient
    permits: PermitClient
    telemetry: Telemetry
    rng: random.Random
    socket: DatagramSocket | None = None
    relay: TableRelay | None = None
    push_timer: asyncio.TimerHandle | None = None
    queries: SentQueries = field(default_factory=SentQueries)

    def __post_init__(self) -> None:
        """Log changes in the states of other entries, and push changes of the evidence."""
        self.entry_state.members.on_change = self.log_change
        self.entry_state.segments.on_change = self.push_evidence

    def refresh_own_state(self) -> None:
        """Update whether this entry is ready or stopping, and push a change at once."""
        entry_state = self.entry_state
        ready = entry_state.is_ready(boot_time())
        if entry_state.members.update_own_state(ready=ready, leaving=entry_state.stopping):
            self.send(entry_state.members.push(self.now()))
            self.push_soon()

    def send(self, messages: list[OutgoingMessage]) -> None:
        """Send messages to other entries.

        :param messages: the messages, with their destinations.
        """
        port = self.entry_state.settings.peer_port
        for outgoing in messages:
            if self.socket is not None:
                self.queries.record(outgoing.message, outgoing.address, boot_time())
                self.socket.send(outgoing.message, Endpoint(outgoing.address, port))

    def push_soon(self) -> None:
        """Schedule a push, which gathers the changes of a short time."""
        delay_s = self.entry_state.members.push_delay_s(self.now())
        if self.push_timer is None and delay_s is not None:
            self.push_timer = asyncio.get_running_loop().call_later(delay_s, self.push)

    def push(self) -> None:
        """Push changed states to other entries."""
        self.push_timer = None
        self.send(self.entry_state.members.push(self.now()))
        self.push_soon()

    def now(self) -> float:
        """Return the time of the event loop.

        :return: seconds.
        """
        return asyncio.get_running_loop().time()

    async def send_heartbeats(self) -> None:
        """Send the state of this entry and probe other entries periodically, until cancelled."""
        while True:
            self.refresh_own_state()
            self.send(self.entry_state.members.tick(self.now()))
            self.push_soon()
            await asyncio.sleep(PROBE_PERIOD_S * self.rng.uniform(0.9, 1.1))

    def receive(self, message: DatagramMessage, sender: Endpoint) -> None:
        """Dispatch a received message.

        :param message: the message.
        :param sender: endpoint of its sender.
        """
        now = asyncio.get_running_loop().time()
        match message:
            case MemberNews():
                self.receive_gossip(message, sender, now)
            case PermitReply():
                self.permits.handle_reply(message)
            case EngineLoad():
                self.reservations.handle_load(
                    message, self.entry_state.replicas.replicas.values(), sender
                )
            case _ if self.relay is not None:
                self.relay.receive(message, sender)

    def receive_gossip(self, message: MemberNews, sender: Endpoint, now: float) -> None:
        """Process a gossip message of another entry.

        :param message: the message.
        :param sender: endpoint of that entry.
        :param now: current time in seconds.
        """
        self.send(self.entry_state.members.receive(message, sender.address, now))
        self.push_soon()
        self.entry_state.crashes.merge_records(message.suspects, now)
        asked_at = self.queries.sent_at(message, sender)
        self.entry_state.versions.merge_records(message.versions, asked_at)
        self.receive_limits(message.limits, now)
        self.entry_state.segment_sharing.merge(message.segment_crashes, message.sound_segments, now)

    def receive_limits(self, records: tuple[LimitRecord, ...], now: float) -> None:
        """Apply rate limits of replicas that another entry has observed.

        :param records: the limits; those of replicas that are not registered are ignored.
        :param now: current time in seconds.
        """
        for record in records:
            replica = self.entry_state.replicas.replicas.get(record.replica)
            if replica is not None and replica.born_ms == record.born_ms:
                observation = observation_of(record, now)
                self.entry_state.rate_limits.observe(replica, observation, 'entry')

    def push_evidence(self, *, local: bool) -> None:
        """Push a change of the evidence on segments that crash engines, and log it.

        :param local: whether this entry made the observation itself.
        """
        self.telemetry.segments_judged(local=local)
        self.entry_state.members.request_push(local=local)
        self.push_soon()

    def log_change(self, what: str, state: MemberState) -> None:
        """Log a change in the state of an entry.

        :param what: text of the log line.
        :param state: the new state.
        """
        self.telemetry.state_changed(what, entry=state.name, incarnation=state.incarnation)

    def log_refused(self, error: WireError, sender: Endpoint) -> None:
        """Log a datagram that could not be decoded.

        :param error: the reason.
        :param sender: endpoint of its sender.
        """
        self.telemetry.state_changed('datagram refused', code=error.code.value, sender=str(sender))


__all__ = ('EntryMessenger',)
