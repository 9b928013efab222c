"""Simulates transfers over shared links in virtual time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: Number of parts of a transfer.
PARTS = 2
#: Parts of one transfer that are in flight at the same time.
PARTS_IN_FLIGHT = 2


@dataclass(slots=True)
class Event:
    """A scheduled callback, which can be cancelled."""

    callback: Callable[[], None]
    cancelled: bool = False


class VirtualTime:
    """A clock that jumps from one event to the next."""

    def __init__(self) -> None:
        """Create the clock at time 0."""
        self.now = float(0)
        self.events: list[tuple[float, int, Event]] = []
        self.serial = 0

    def schedule(self, time: float, callback: Callable[[], None]) -> Event:
        """Schedule a callback.

        :param time: virtual time in seconds; a time in the past means now.
        :param callback: the function.
        :return: the event, which can be cancelled.
        """
        event = Event(callback)
        self.serial += 1
        heapq.heappush(self.events, (max(time, self.now), self.serial, event))
        return event

    def run(self, until: float, is_done: Callable[[], bool] | None = None) -> None:
        """Run the events in order of time.

        :param until: the time in seconds at which to stop.
        :param is_done: called after each event; the run stops early if it returns true.
        """
        while self.events and self.events[0][0] <= until:
            time, _, event = heapq.heappop(self.events)
            self.now = time
            if not event.cancelled:
                event.callback()
                if is_done is not None and is_done():
                    return
        self.now = max(self.now, until)


@dataclass(eq=False, slots=True)
class Link:
    """One direction of a link, which transmits parts one after the other."""

    bytes_per_s: float
    free_at: float = 0
    carried_bytes: float = 0

    def transmit(self, size: float, now: float) -> float:
        """Transmit a part after those that are queued.

        :param size: size of the part in bytes.
        :param now: the current time in seconds.
        :return: the time in seconds at which the part is transmitted.
        """
        self.carried_bytes += size
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        return self.free_at

    def stall(self, until: float) -> None:
        """Transmit nothing until a time.

        :param until: the time in seconds.
        """
        self.free_at = max(self.free_at, until)


@dataclass(eq=False, slots=True)
class Flow:
    """A transfer over several links, with a few of its parts in flight."""

    links: tuple[Link, ...]
    part_bytes: float
    unsent_parts: int
    pending_parts: int
    callback: Callable[[], None]
    cancelled: bool = False


class Network:
    """Sends transfers over links, part by part."""

    def __init__(self, time: VirtualTime, parts: int = PARTS) -> None:
        """Create a network without transfers.

        :param time: the clock.
        :param parts: number of parts of each transfer.
        """
        self.time = time
        self.parts = parts

    def start(self, links: tuple[Link, ...], size: float, callback: Callable[[], None]) -> Flow:
        """Start a transfer.

        :param links: the links of the route, in order.
        :param size: size of the transfer in bytes.
        :param callback: called when the last part has arrived.
        :return: the transfer, which can be cancelled.
        """
        flow = Flow(links, size / self.parts, self.parts, self.parts, callback)
        for _ in range(min(PARTS_IN_FLIGHT, self.parts)):
            self.send_part(flow)
        return flow

    def cancel(self, flow: Flow) -> None:
        """Cancel a transfer; its parts in flight still occupy their links.

        :param flow: the transfer.
        """
        flow.cancelled = True

    def send_part(self, flow: Flow) -> None:
        """Send the next part of a transfer."""
        if flow.unsent_parts and not flow.cancelled:
            flow.unsent_parts -= 1
            self.send_over_link(flow, 0)

    def send_over_link(self, flow: Flow, position: int) -> None:
        """Send a part over the link at a position of the route, then over the following ones."""
        if position == len(flow.links):
            self.receive_part(flow)
            return
        time = flow.links[position].transmit(flow.part_bytes, self.time.now)
        self.time.schedule(time, lambda: self.send_over_link(flow, position + 1))

    def receive_part(self, flow: Flow) -> None:
        """Record the arrival of a part and send the next one."""
        flow.pending_parts -= 1
        self.send_part(flow)
        if not flow.pending_parts and not flow.cancelled:
            flow.callback()


__all__ = (
    'Event',
    'Flow',
    'Link',
    'Network',
    'VirtualTime',
)
