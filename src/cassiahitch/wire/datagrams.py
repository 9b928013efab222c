"""Datagrams between processes; each holds a complete state, so that any of them may be lost."""

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

#: Handles a received message and the address of its sender.
Receiver = Callable[[datagrammessages.DatagramMessage, Endpoint], None]
#: Handles the error of a datagram that was dropped and the address of its peer.
ErrorHandler = Callable[[WireError, Endpoint], None]


def encode_datagram(message: datagrammessages.DatagramMessage) -> bytes:
    """Encode a message as the content of a datagram.

    :param message: the message.
    :return: the content.
    """
    return _CODEC.encode(message)


def decode_datagram(content: bytes) -> datagrammessages.DatagramMessage:
    """Decode the message of a datagram.

    :param content: content of the datagram.
    :return: the message.
    :raises WireError: if the content is not a valid message.
    """
    message: datagrammessages.DatagramMessage = _CODEC.decode(content)[1]
    return message


@dataclass(slots=True)
class DatagramSocket(asyncio.DatagramProtocol):
    """Owns a UDP socket.

    ``receive`` handles each message; ``report_error`` handles the error of each datagram that is
    dropped because it cannot be decoded or sent.
    """

    receive: Receiver
    report_error: ErrorHandler
    transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str, port: int) -> int:
        """Bind the socket.

        :param address: local IP address.
        :param port: UDP port, 0 for any free one.
        :return: the bound port.
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
        """Decode a received datagram and pass its message to ``receive``.

        :param data: content of the datagram.
        :param addr: address of the sender.
        """
        sender = Endpoint(*addr[:2])
        try:
            message = decode_datagram(data)
        except WireError as error:
            self.report_error(error, sender)
            return
        self.receive(message, sender)

    def send(self, message: datagrammessages.DatagramMessage, receiver: Endpoint) -> None:
        """Send a message once; it is dropped if it cannot be sent.

        :param message: the message.
        :param receiver: address of the receiver.
        """
        if self.transport is None or self.transport.is_closing():
            return
        try:
            content = encode_datagram(message)
        except (OverflowError, ValueError) as error:
            self.report_error(
                WireError(Code.message_unknown, f'cannot encode a message: {error}'), receiver
            )
            return
        # An invalid address would close the transport, a host name would block on its lookup.
        if is_ip_address(receiver.address):
            self.transport.sendto(content, (receiver.address, receiver.port))
            return
        self.report_error(
            WireError(Code.message_unknown, 'the address of the receiver is not an IP address'),
            receiver,
        )

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


__all__ = (
    'DatagramSocket',
    'decode_datagram',
    'encode_datagram',
)
