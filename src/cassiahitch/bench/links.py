"""A small model of shared links in virtual time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: Parts of a transfer.
PARTS = 2
#: Parts of one transfer that are sent before the first has arrived.
PARTS_UNDER_WAY = 2


@dataclass(slots=True)
class Event:
    """Something that happens at a time, unless it is cancelled."""

    call: Callable[[], None]
    cancelled: bool = False


class VirtualTime:
    """A clock that jumps from one event to the next."""

    def __init__(self) -> None:
        """Create the clock at time 0."""
        self.now = float(0)
        self.events: list[tuple[float, int, Event]] = []
        self.serial = 0

    def at(self, time: float, call: Callable[[], None]) -> Event:
        """Call a function at a time.

        :param time: seconds; a time that has passed means now.
        :param call: the function.
        :return: the event, which can be cancelled.
        """
        event = Event(call)
        self.serial += 1
        heapq.heappush(self.events, (max(time, self.now), self.serial, event))
        return event

    def run(self, until: float, done: Callable[[], bool] | None = None) -> None:
        """Run events in their order.

        :param until: the time in seconds at which to stop.
        :param done: whether to stop earlier, asked after each event if given.
        """
        while self.events and self.events[0][0] <= until:
            time, _, event = heapq.heappop(self.events)
            self.now = time
            if not event.cancelled:
                event.call()
                if done is not None and done():
                    return
        self.now = max(self.now, until)


@dataclass(eq=False, slots=True)
class Link:
    """One direction of a link, which carries parts one after the other."""

    bytes_per_s: float
    free_from: float = 0
    carried: float = 0

    def carry(self, size: float, now: float) -> float:
        """Take a part that has arrived at the link.

        :param size: bytes.
        :param now: the time in seconds.
        :return: the time at which the part has passed.
        """
        self.carried += size
        self.free_from = max(self.free_from, now) + size / self.bytes_per_s
        return self.free_from

    def stall(self, until: float) -> None:
        """Carry nothing until a time.

        :param until: the time in seconds.
        """
        self.free_from = max(self.free_from, until)


@dataclass(eq=False, slots=True)
class Flow:
    """A transfer over several links, in parts of which a few are under way."""

    links: tuple[Link, ...]
    part_bytes: float
    unsent: int
    missing: int
    call: Callable[[], None]
    cancelled: bool = False


class Network:
    """Transfers over links that pass part by part."""

    def __init__(self, time: VirtualTime, parts: int = PARTS) -> None:
        """Create a network without transfers.

        :param time: the clock.
        :param parts: parts of each transfer.
        """
        self.time = time
        self.parts = parts

    def start(self, links: tuple[Link, ...], size: float, call: Callable[[], None]) -> Flow:
        """Start a transfer.

        :param links: the links that it takes, in order.
        :param size: bytes.
        :param call: called when the last byte has arrived.
        :return: the transfer, which can be cancelled.
        """
        flow = Flow(links, size / self.parts, self.parts, self.parts, call)
        for _ in range(min(PARTS_UNDER_WAY, self.parts)):
            self.send_part(flow)
        return flow

    def cancel(self, flow: Flow) -> None:
        """Stop a transfer; the parts that are under way still take their links.

        :param flow: the transfer.
        """
        flow.cancelled = True

    def send_part(self, flow: Flow) -> None:
        """Send the next part of a transfer."""
        if flow.unsent and not flow.cancelled:
            flow.unsent -= 1
            self.pass_link(flow, 0)

    def pass_link(self, flow: Flow, position: int) -> None:
        """Send a part over the link at a position, then over those after it."""
        if position == len(flow.links):
            self.take_part(flow)
            return
        time = flow.links[position].carry(flow.part_bytes, self.time.now)
        self.time.at(time, lambda: self.pass_link(flow, position + 1))

    def take_part(self, flow: Flow) -> None:
        """Count a part that has arrived."""
        flow.missing -= 1
        self.send_part(flow)
        if not flow.missing and not flow.cancelled:
            flow.call()


__all__ = (
    'Event',
    'Flow',
    'Link',
    'Network',
    'VirtualTime',
)
