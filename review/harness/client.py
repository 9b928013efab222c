"""A small HTTP/1.1 client: one request on a new connection, and what came back."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import h11

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0


@dataclass
class Answer:
    """What a client got; status 0 if there was no answer, ``whole`` if it ended as it should."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    detail: str = ''


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b'',
    timeout_s: float = 5,
) -> Answer:
    """Send a request and read its answer until it ends or the client gives up."""
    answer = Answer()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as error:
        answer.detail = f'not connected: {type(error).__name__}'
        return answer
    machine = h11.Connection(h11.CLIENT)
    lines = [*headers, ('Content-Length', str(len(body)))] if body or method != 'GET' else headers
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(machine.send(h11.Request(method=method, target=target, headers=lines)))
            if body:
                writer.write(machine.send(h11.Data(data=body)))
            writer.write(machine.send(h11.EndOfMessage()))
            await _read(machine, reader, answer)
    except TimeoutError:
        answer.detail = 'gave up at its deadline'
    except (OSError, h11.RemoteProtocolError) as error:
        answer.detail = type(error).__name__
    writer.close()
    return answer


async def _read(machine: h11.Connection, reader: asyncio.StreamReader, answer: Answer) -> None:
    while True:
        event = machine.next_event()
        if event is h11.NEED_DATA:
            machine.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {
                name.decode().lower(): value.decode('latin1') for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.whole = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            answer.detail = 'connection closed'
            return
