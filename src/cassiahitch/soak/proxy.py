"""A TCP proxy on loopback that delays, holds, cuts and resets what it forwards."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from cassiahitch.standins.backends import reset
from cassiahitch.util.listening import bound_port, listen

if TYPE_CHECKING:
    from cassiahitch.util.endpoints import Endpoint

READ_BYTES = 65_536
#: Delay of each piece on a link that is slow, in seconds.
DELAY_S = 0.15


class LinkFault(StrEnum):
    """What happens to a link; ``reset`` also resets each new connection."""

    none = 'none'
    delay = 'delay'
    reset = 'reset'
    cut_to_server = 'cut_to_server'
    cut_to_client = 'cut_to_client'
    silence = 'silence'


@dataclass(eq=False)
class FaultyProxy:
    """Forwards connections to one address; what a cut holds back comes when it ends."""

    target: Endpoint
    port: int = 0
    harm: LinkFault = LinkFault.none
    healed: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, address: str) -> None:
        """Listen on any port.

        :param address: IP number.
        """
        own = listen(address, 0)
        self.port = bound_port(own)
        self.server = await asyncio.start_server(self.accept, sock=own)

    async def stop(self) -> None:
        """Close everything."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in tuple(self.writers):
            writer.transport.abort()

    def set_fault(self, harm: LinkFault) -> None:
        """Change what happens to the link.

        :param harm: what happens from now on.
        """
        self.harm = harm
        self.healed.set()
        self.healed = asyncio.Event()
        if harm is LinkFault.reset:
            for writer in tuple(self.writers):
                reset(writer)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward both directions of a connection.

        :param reader: bytes of the client.
        :param writer: takes bytes for the client.
        """
        try:
            there = await asyncio.open_connection(self.target.address, self.target.port)
        except OSError:
            reset(writer)
            return
        ways = (
            (reader, there[1], LinkFault.cut_to_server),
            (there[0], writer, LinkFault.cut_to_client),
        )
        self.writers |= {writer, there[1]}
        for source, sink, cut in ways:
            task = asyncio.create_task(self.forward(source, sink, cut))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, cut: LinkFault
    ) -> None:
        """Copy bytes until the source ends.

        :param source: where bytes come from.
        :param sink: where they go.
        :param cut: what holds this direction back.
        """
        with ExitStack() as stack:
            stack.callback(self.writers.discard, sink)
            with suppress(ConnectionError):
                while part := await source.read(READ_BYTES):
                    await self.pass_link(cut)
                    sink.write(part)
                    await sink.drain()
                await self.pass_link(cut)
                sink.close()
                return
            reset(sink)

    async def pass_link(self, cut: LinkFault) -> None:
        """Wait as long as the link holds bytes back.

        :param cut: what holds this direction back.
        """
        if self.harm is LinkFault.delay:
            await asyncio.sleep(DELAY_S)
        while self.harm in {cut, LinkFault.silence}:
            await self.healed.wait()
        if self.harm is LinkFault.reset:
            raise ConnectionResetError


__all__ = (
    'FaultyProxy',
    'LinkFault',
)
