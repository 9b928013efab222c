"""What entries and agents share: identity, clocks, time line and metrics of a process."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.clock import SystemClock
from cassiahitch.codes import Code
from cassiahitch.metrics.names import CounterName
from cassiahitch.metrics.registry import Metrics
from cassiahitch.timeline.clock import Timestamp
from cassiahitch.timeline.events import EventKind
from cassiahitch.timeline.ring import Timeline
from cassiahitch.wire.connection import ConnectionLimits
from cassiahitch.wire.endpoint import EndpointSettings
from cassiahitch.wire.messages import Hello
from cassiahitch.wire.tasks import ProcessTasks

if TYPE_CHECKING:
    from cassiahitch.clock import Clock
    from cassiahitch.errors import WireError
    from cassiahitch.settings.models import CommonSettings
    from cassiahitch.wire.connection import Connection

INCARNATION_BITS = 62
COUNTER_BITS = 16
MS_PER_S = 1000


@dataclass(slots=True)
class Node:
    """Identity of a process and what it records."""

    settings: CommonSettings
    role: str
    clock: Clock = field(default_factory=SystemClock)
    incarnation: int = field(default_factory=lambda: secrets.randbits(INCARNATION_BITS))
    port: int = 0
    tasks: ProcessTasks = field(default_factory=ProcessTasks)
    background: set[asyncio.Task[None]] = field(default_factory=set)
    timeline: Timeline = field(init=False)
    metrics: Metrics = field(init=False)

    def __post_init__(self) -> None:
        """Create the time line and the metrics."""
        capacity = self.settings.sizes.timeline_events
        self.timeline = Timeline(self.settings.name, self.clock, capacity)
        self.metrics = Metrics(self.settings.name)

    @property
    def endpoint_settings(self) -> EndpointSettings:
        """What the connections of this process share."""
        return EndpointSettings(
            self.settings.system_key.get_secret_value(),
            ConnectionLimits(
                max_frame_bytes=self.settings.sizes.max_frame_bytes,
                heartbeat_s=self.settings.timeouts.heartbeat_s,
                silent_after_s=self.settings.timeouts.silent_after_s,
            ),
        )

    def hello(self) -> Hello:
        """Return what the process says of itself.

        :return: the message, without nonce and proof.
        """
        return Hello(
            role=self.role,
            host=self.settings.host,
            incarnation=self.incarnation,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            address=self.settings.address,
            port=self.port,
            clock_ms=self.clock_ms(),
        )

    def clock_ms(self) -> int:
        """Return the monotonic clock of this process.

        :return: milliseconds.
        """
        return int(self.clock.monotonic() * MS_PER_S)

    def next_timestamp(self) -> int:
        """Return the time of the hybrid clock for a message to send.

        :return: milliseconds and counter in one number.
        """
        now = self.timeline.clock.tick()
        return (now.physical_ms << COUNTER_BITS) + min(now.counter, (1 << COUNTER_BITS) - 1)

    def merge_timestamp(self, stamp: int) -> None:
        """Take in the time of the hybrid clock of a message that arrived.

        :param stamp: what :meth:`stamp` returned at the sender.
        """
        if stamp > 0:
            physical_ms, counter = divmod(stamp, 1 << COUNTER_BITS)
            self.timeline.clock.merge(Timestamp(physical_ms, counter))

    def record_connection_opened(self, connection: Connection) -> None:
        """Record a new connection.

        :param connection: the connection.
        """
        self.metrics.count(CounterName.connections_opened, connection.peer.role)
        self.timeline.record(EventKind.connection_opened, detail=connection.peer.host)

    def record_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Record the end of a connection.

        :param connection: the connection.
        :param reason: why it ended.
        """
        silent = reason.code is Code.connection_silent
        kind = EventKind.connection_silent if silent else EventKind.connection_closed
        if silent:
            self.metrics.count(CounterName.connections_silent, connection.peer.role)
        self.timeline.record(kind, code=reason.code, detail=connection.peer.host)


def incarnation_name(host: str, incarnation: int) -> str:
    """Return the name of one start of a process; the next one has another.

    :param host: its host.
    :param incarnation: its incarnation.
    :return: the name.
    """
    return f'{host}/{incarnation}'


__all__ = (
    'MS_PER_S',
    'Node',
    'incarnation_name',
)
