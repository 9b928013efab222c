"""A TCP proxy on loopback that delays, blocks or resets the connections that it forwards."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.standins.responses import reset
from cassiahitch.util.listening import bound_port, listen

if TYPE_CHECKING:
    from cassiahitch.util.endpoints import Endpoint

READ_BYTES = 65_536
#: Seconds by which ``LinkFault.delay`` delays each chunk.
CHUNK_DELAY_S = 0.15


class LinkFault(StrEnum):
    """Faults of a link.

    ``reset`` resets open and new connections, ``cut_to_server`` and ``cut_to_client`` block one
    direction, and ``silence`` blocks both.
    """

    none = 'none'
    delay = 'delay'
    reset = 'reset'
    cut_to_server = 'cut_to_server'
    cut_to_client = 'cut_to_client'
    silence = 'silence'


@dataclass(eq=False)
class FaultyProxy:
    """Forwards connections to one address; blocked bytes are delivered once the fault ends."""

    target: Endpoint
    port: int = 0
    fault: LinkFault = LinkFault.none
    fault_changed: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, address: str) -> None:
        """Listen on a free port.

        :param address: IP address to listen on.
        """
        listener = listen(address, 0)
        self.port = bound_port(listener)
        self.server = await asyncio.start_server(self.accept, sock=listener)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        # A cancelled task removes its connection from the open ones.
        open_writers = tuple(self.writers)
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in open_writers:
            writer.transport.abort()

    def set_fault(self, fault: LinkFault) -> None:
        """Replace the fault of the link and wake up the directions that were blocked.

        :param fault: the new fault, or ``LinkFault.none``.
        """
        self.fault = fault
        self.fault_changed.set()
        self.fault_changed = asyncio.Event()
        if fault is LinkFault.reset:
            for writer in tuple(self.writers):
                reset(writer)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect to the target and forward both directions of a connection.

        :param reader: reads from the client.
        :param writer: writes to the client.
        """
        try:
            upstream = await asyncio.open_connection(self.target.address, self.target.port)
        except OSError:
            reset(writer)
            return
        directions = (
            (reader, upstream[1], LinkFault.cut_to_server),
            (upstream[0], writer, LinkFault.cut_to_client),
        )
        self.writers |= {writer, upstream[1]}
        for source, destination, cut in directions:
            task = asyncio.create_task(self.forward(source, destination, cut))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def forward(
        self, source: asyncio.StreamReader, destination: asyncio.StreamWriter, cut: LinkFault
    ) -> None:
        """Copy bytes until the source is closed.

        :param source: reads from one side.
        :param destination: writes to the other side.
        :param cut: the fault that blocks this direction.
        """
        with ExitStack() as stack:
            stack.callback(self.writers.discard, destination)
            with suppress(ConnectionError):
                while chunk := await source.read(READ_BYTES):
                    await self.apply_fault(cut)
                    destination.write(chunk)
                    await destination.drain()
                await self.apply_fault(cut)
                destination.close()
                return
            reset(destination)

    async def apply_fault(self, cut: LinkFault) -> None:
        """Delay or block one direction as the current fault demands.

        :param cut: the fault that blocks this direction.
        :raises ConnectionResetError: if the link is reset.
        """
        if self.fault is LinkFault.delay:
            await asyncio.sleep(CHUNK_DELAY_S)
        while self.fault in {cut, LinkFault.silence}:
            await self.fault_changed.wait()
        if self.fault is LinkFault.reset:
            raise ConnectionResetError


__all__ = (
    'FaultyProxy',
    'LinkFault',
)
