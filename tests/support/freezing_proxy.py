"""A TCP proxy whose open connections can stall while new ones work."""

from __future__ import annotations

import asyncio
from contextlib import suppress

READ_BYTES = 65_536
LOOPBACK = '127.0.0.1'


class FreezingProxy:
    """Forwards bytes between its clients and one port."""

    def __init__(self, port: int) -> None:
        self.target_port = port
        self.port = 0
        self.generation = 0
        self.tasks: set[asyncio.Task[None]] = set()

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
        target_reader, target_writer = await asyncio.open_connection(LOOPBACK, self.target_port)
        generation = self.generation
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self.forward(source, sink, generation))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

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
