"""Identity, clocks, time line and metrics of a process, as entries and agents share them."""

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
    """Identity of a process, with its clocks, tasks, time line and metrics."""

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
        """System key and limits of the connections of this process."""
        return EndpointSettings(
            self.settings.system_key.get_secret_value(),
            ConnectionLimits(
                max_frame_bytes=self.settings.sizes.max_frame_bytes,
                heartbeat_s=self.settings.timeouts.heartbeat_s,
                silent_after_s=self.settings.timeouts.silent_after_s,
            ),
        )

    def hello(self) -> Hello:
        """Return the message that identifies the process in a handshake.

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
        """Return the time of the monotonic clock.

        :return: milliseconds since an arbitrary start.
        """
        return int(self.clock.monotonic() * MS_PER_S)

    def next_timestamp(self) -> int:
        """Return a hybrid clock timestamp for the next message to send.

        :return: the milliseconds and, in the lowest 16 bits, the counter.
        """
        latest = self.timeline.clock.tick()
        return (latest.physical_ms << COUNTER_BITS) + min(latest.counter, (1 << COUNTER_BITS) - 1)

    def merge_timestamp(self, timestamp: int) -> None:
        """Advance the hybrid clock past the timestamp of a received message.

        :param timestamp: the timestamp, as :meth:`next_timestamp` returned it at the sender.
        """
        if timestamp > 0:
            physical_ms, counter = divmod(timestamp, 1 << COUNTER_BITS)
            self.timeline.clock.merge(Timestamp(physical_ms, counter))

    def record_connection_opened(self, connection: Connection) -> None:
        """Record in the metrics and the time line that a connection was opened.

        :param connection: the connection.
        """
        self.metrics.count(CounterName.connections_opened, connection.peer.role)
        self.timeline.record(EventKind.connection_opened, detail=connection.peer.host)

    def record_connection_ended(self, connection: Connection, reason: WireError) -> None:
        """Record in the metrics and the time line that a connection has ended.

        :param connection: the connection.
        :param reason: the reason why it ended.
        """
        is_silent = reason.code is Code.connection_silent
        kind = EventKind.connection_silent if is_silent else EventKind.connection_closed
        if is_silent:
            self.metrics.count(CounterName.connections_silent, connection.peer.role)
        self.timeline.record(kind, code=reason.code, detail=connection.peer.host)


def incarnation_name(host: str, incarnation: int) -> str:
    """Return the name of one run of a process; after a restart it has another name.

    :param host: host of the process.
    :param incarnation: random number that identifies the run.
    :return: the name.
    """
    return f'{host}/{incarnation}'


__all__ = (
    'MS_PER_S',
    'Node',
    'incarnation_name',
)
