"""Writes the responses of stand-in backend servers, valid ones and others."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from cassiahitch.platform import names
from cassiahitch.util.sockets import reset_on_close


@dataclass(slots=True)
class ResponseWriter:
    """Writes responses to one connection; ``default_headers`` are headers of each of them."""

    machine: h11.Connection
    writer: asyncio.StreamWriter
    default_headers: dict[str, str] = field(default_factory=dict)

    async def send_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Write a complete response."""
        self.send_head(status, {**headers, 'Content-Length': str(len(body))})
        if body:
            self.send_data(body)
        self.send_end()
        await self.drain()

    def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Write the status line and the headers."""
        lines = [*headers.items(), *self.default_headers.items()]
        encoded = [(name.encode(), text.encode('latin1', 'replace')) for name, text in lines]
        head = h11.Response(status_code=int(status), headers=encoded)
        self.writer.write(self.machine.send(head))

    def send_data(self, data: bytes) -> None:
        """Write a part of the body."""
        self.writer.write(self.machine.send(h11.Data(data)))

    def send_end(self) -> None:
        """Write the end of the response."""
        self.writer.write(self.machine.send(h11.EndOfMessage()))

    def write_raw(self, *parts: bytes) -> None:
        """Write bytes past the state machine, valid or not."""
        self.writer.write(b''.join(parts))

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)

    async def drain(self) -> None:
        """Wait until the send buffer has room."""
        await self.writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; bytes that the peer has not read are lost.

    :param writer: the connection.
    """
    own = writer.get_extra_info('socket')
    if own is not None and own.fileno() >= 0:
        reset_on_close(own)
    writer.transport.abort()


def refusal_headers(attempt: str, pause_s: float | None = None) -> dict[str, str]:
    """Return the headers of a response which says that the request was not executed.

    :param attempt: id of the attempt.
    :param pause_s: seconds for the Retry-After header, None to leave it out.
    :return: headers.
    """
    pause = {} if pause_s is None else {'Retry-After': str(pause_s)}
    return {names.ATTEMPT_ID: attempt, names.NOT_EXECUTED: '1', **pause}


def encode_head(status: HTTPStatus, headers: dict[str, str]) -> bytes:
    """Encode the head of a response without a state machine, so that it can be out of order.

    :param status: status of the response.
    :param headers: headers of the response.
    :return: the encoded head.
    """
    lines: Iterable[str] = (f'{name}: {text}' for name, text in headers.items())
    start = f'HTTP/1.1 {status.value} {status.phrase}'
    return '\r\n'.join((start, *lines, '', '')).encode()


__all__ = (
    'ResponseWriter',
    'encode_head',
    'refusal_headers',
    'reset',
)
