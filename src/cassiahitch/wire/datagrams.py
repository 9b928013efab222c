"""Datagrams between processes; each tells a whole state, so any may be lost."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from cassiahitch.codes import Code
from cassiahitch.errors import WireError
from cassiahitch.util.endpoints import Endpoint, is_ip_address
from cassiahitch.wire import datagrammessages
from cassiahitch.wire.gen.datagrams import ttypes
from cassiahitch.wire.structs import StructCodec

_CODEC = StructCodec(ttypes, datagrammessages, ttypes.Datagram)

Receiver = Callable[[datagrammessages.DatagramMessage, Endpoint], None]
Refused = Callable[[WireError, Endpoint], None]


def encode_datagram(message: datagrammessages.DatagramMessage) -> bytes:
    """Return the content of a datagram.

    :param message: the message.
    :return: bytes.
    """
    return _CODEC.encode(message)


def decode_datagram(content: bytes) -> datagrammessages.DatagramMessage:
    """Return the message of a datagram.

    :param content: its content.
    :return: the message.
    :raises WireError: if it cannot be read.
    """
    message: datagrammessages.DatagramMessage = _CODEC.decode(content)[1]
    return message


@dataclass(slots=True)
class DatagramSocket(asyncio.DatagramProtocol):
    """Owns the socket; messages that cannot be read are reported and dropped."""

    receive: Receiver
    refused: Refused
    transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str, port: int) -> int:
        """Bind the socket.

        :param address: IP number.
        :param port: UDP port, 0 for any.
        :return: the port.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(address, port),
            family=socket.AF_INET,
        )
        self.transport = transport
        return int(transport.get_extra_info('sockname')[1])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram in.

        :param data: its content.
        :param addr: its sender.
        """
        sender = Endpoint(*addr[:2])
        try:
            message = decode_datagram(data)
        except WireError as error:
            self.refused(error, sender)
            return
        self.receive(message, sender)

    def send(self, message: datagrammessages.DatagramMessage, receiver: Endpoint) -> None:
        """Send a message; it may be lost, and is dropped if it cannot be sent.

        :param message: the message.
        :param receiver: where it goes.
        """
        if self.transport is None or self.transport.is_closing():
            return
        try:
            content = encode_datagram(message)
        except (OverflowError, ValueError) as error:
            self.refused(WireError(Code.message_unknown, f'cannot be sent: {error}'), receiver)
            return
        # The transport ends with an address that is none, and would wait for a name.
        if is_ip_address(receiver.address):
            self.transport.sendto(content, (receiver.address, receiver.port))
            return
        self.refused(WireError(Code.message_unknown, 'its receiver has no number'), receiver)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


__all__ = (
    'DatagramSocket',
    'decode_datagram',
    'encode_datagram',
)
