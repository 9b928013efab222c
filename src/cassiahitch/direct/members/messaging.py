"""Messages that an entry sends to other entries and gets from them and from agents."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.members.gossip import PROBE_PERIOD_S, OutgoingMessage
from cassiahitch.direct.state.freshness import boot_time
from cassiahitch.util.endpoints import Endpoint
from cassiahitch.wire.beats import EngineLoad, MemberNews, MemberState

if TYPE_CHECKING:
    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.members.tablerelay import TableRelay
    from cassiahitch.direct.placement.reservation import ReservationClient
    from cassiahitch.direct.telemetry import Telemetry
    from cassiahitch.errors import WireError
    from cassiahitch.wire.beats import Beat
    from cassiahitch.wire.datagrams import DatagramSocket


@dataclass(slots=True)
class EntryMessenger:
    """Tells other entries the own state, and takes theirs in."""

    entry_state: EntryState
    reservations: ReservationClient
    telemetry: Telemetry
    rng: random.Random
    socket: DatagramSocket | None = None
    relay: TableRelay | None = None
    pushes: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        """Log what is believed of other entries."""
        self.entry_state.members.on_change = self.log_change

    def refresh_own_state(self) -> None:
        """Take in whether this entry is ready or leaves, and tell others at once if it does."""
        entry_state = self.entry_state
        ready = entry_state.is_ready(boot_time())
        if entry_state.members.update_own_state(ready=ready, leaving=entry_state.stopping):
            self.send(entry_state.members.push(self.now()))
            self.push_soon()

    def send(self, sends: list[OutgoingMessage]) -> None:
        """Send messages to other entries.

        :param sends: messages and addresses.
        """
        port = self.entry_state.settings.peer_port
        for one in sends:
            if self.socket is not None:
                self.socket.send(one.message, Endpoint(one.address, port))

    def push_soon(self) -> None:
        """Pass news on, together with what else comes within a moment."""
        due_s = self.entry_state.members.push_delay_s(self.now())
        if self.pushes is None and due_s is not None:
            self.pushes = asyncio.get_running_loop().call_later(due_s, self.push)

    def push(self) -> None:
        """Pass news on."""
        self.pushes = None
        self.send(self.entry_state.members.push(self.now()))
        self.push_soon()

    def now(self) -> float:
        """Return the time of the loop.

        :return: seconds.
        """
        return asyncio.get_running_loop().time()

    async def send_heartbeats(self) -> None:
        """Tell other entries of this one, and look whether they live, until cancelled."""
        while True:
            self.refresh_own_state()
            self.send(self.entry_state.members.tick(self.now()))
            self.push_soon()
            await asyncio.sleep(PROBE_PERIOD_S * self.rng.uniform(0.9, 1.1))

    def receive(self, message: Beat, sender: Endpoint) -> None:
        """Take a datagram in.

        :param message: the message.
        :param sender: where it came from.
        """
        now = asyncio.get_running_loop().time()
        match message:
            case MemberNews():
                self.receive_gossip(message, sender, now)
            case EngineLoad():
                self.reservations.handle_load(
                    message, self.entry_state.replicas.replicas.values(), sender
                )
            case _ if self.relay is not None:
                self.relay.receive(message, sender)

    def receive_gossip(self, news: MemberNews, sender: Endpoint, now: float) -> None:
        """Take what another entry tells in.

        :param news: its message.
        :param sender: the entry.
        :param now: seconds.
        """
        self.send(self.entry_state.members.receive(news, sender.address, now))
        self.push_soon()
        self.entry_state.crashes.merge_records(news.suspects, now)
        self.entry_state.versions.heard(news.versions, now)

    def log_change(self, what: str, state: MemberState) -> None:
        """Log a change of what is believed of another entry.

        :param what: the change.
        :param state: the entry.
        """
        self.telemetry.state_changed(what, entry=state.name, incarnation=state.incarnation)

    def log_refused(self, error: WireError, sender: Endpoint) -> None:
        """Note a datagram that cannot be read.

        :param error: why.
        :param sender: where it came from.
        """
        self.telemetry.state_changed('datagram refused', code=error.code.value, sender=str(sender))


__all__ = ('EntryMessenger',)
