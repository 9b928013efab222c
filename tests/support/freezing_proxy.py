"""A TCP proxy whose open connections can stall while new ones work."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack, closing, suppress

READ_BYTES = 65_536
LOOPBACK = '127.0.0.1'


class FreezingProxy:
    """Forwards bytes between its clients and one port."""

    def __init__(self, port: int) -> None:
        self.target_port = port
        self.port = 0
        self.generation = 0

    async def start(self) -> asyncio.Server:
        """Listen on a free port."""
        server = await asyncio.start_server(self.accept, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def freeze(self) -> None:
        """Forward nothing more on the connections that are open now, without closing them."""
        self.generation += 1

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward both directions of a connection."""
        with ExitStack() as stack:
            stack.enter_context(closing(writer))
            target_reader, target_writer = await asyncio.open_connection(LOOPBACK, self.target_port)
            stack.enter_context(closing(target_writer))
            generation = self.generation
            await asyncio.gather(
                self.forward(reader, target_writer, generation),
                self.forward(target_reader, writer, generation),
            )

    async def forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        """Copy bytes until the source ends; discard them once the connection is frozen."""
        with suppress(ConnectionError):
            while part := await source.read(READ_BYTES):
                if generation == self.generation:
                    sink.write(part)
                    await sink.drain()
        if generation == self.generation:
            sink.close()
