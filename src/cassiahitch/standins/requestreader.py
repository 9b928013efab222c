"""Reads the requests that the stand-ins of backend servers receive."""

from __future__ import annotations

import asyncio

import h11

READ_BYTES = 65_536


async def read_request(
    machine: h11.Connection, reader: asyncio.StreamReader
) -> tuple[h11.Request | None, bytes]:
    """Read the next request of a connection.

    :param machine: state of the connection.
    :param reader: receives its bytes.
    :return: the request and its body; None and nothing if the connection has ended.
    """
    request: h11.Request | None = None
    parts: list[bytes] = []
    while True:
        event = machine.next_event()
        match event:
            case h11.NEED_DATA:
                machine.receive_data(await reader.read(READ_BYTES))
            case h11.Request():
                request = event
            case h11.Data(data=data):
                parts.append(bytes(data))
            case h11.EndOfMessage():
                return request, b''.join(parts)
            case _:
                return None, b''


__all__ = ('read_request',)
