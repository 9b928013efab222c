"""Tickets: signed keys that bind a request to one agent in one incarnation."""

from __future__ import annotations

import binascii
import hashlib
import hmac
import struct
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError

#: Format version, agent incarnation, entry incarnation, serial number, expiry.
HEADER = struct.Struct('>BQQQI')
FORMAT_VERSION = 1
MAC_BYTES = 16
MAX_AGENT_BYTES = 64
MAX_TEXT_LENGTH = 160
BASE64_GROUP = 4


@dataclass(frozen=True, slots=True)
class Ticket:
    """Content of a ticket; ``expiry`` is in whole seconds since the Unix epoch."""

    agent: str
    agent_incarnation: int
    entry_incarnation: int
    serial: int
    expiry: int


class TicketIssuer:
    """Issues tickets and verifies those of all entries."""

    def __init__(self, secrets: tuple[bytes, ...], incarnation: int, lifetime_s: int) -> None:
        """Create the ticket issuer of an entry.

        :param secrets: MAC keys; the first one signs, all of them verify.
        :param incarnation: the random number that this entry drew at its start.
        :param lifetime_s: seconds until a ticket expires.
        """
        self.secrets = secrets
        self.incarnation = incarnation
        self.lifetime_s = lifetime_s
        self.serial = 0

    def issue(self, agent: str, agent_incarnation: int, wall_s: float) -> str:
        """Return a new ticket, unique by the serial number and this entry's incarnation.

        :param agent: the host that may run the request.
        :param agent_incarnation: the incarnation of its agent.
        :param wall_s: seconds since the Unix epoch.
        :return: URL-safe text.
        """
        self.serial += 1
        expiry = int(wall_s) + self.lifetime_s
        ticket = Ticket(agent, agent_incarnation, self.incarnation, self.serial, expiry)
        return encode(ticket, self.secrets[0])

    def verify(self, text: str, wall_s: float) -> Ticket:
        """Return the content of a ticket that was issued by an entry and has not expired.

        :param text: the ticket as the caller sent it.
        :param wall_s: seconds since the Unix epoch.
        :return: the ticket.
        :raises RequestError: ``ticket_invalid``, or ``key_expired`` with ``ran: unknown``.
        """
        raw = decode(text)
        if not any(hmac.compare_digest(raw[-MAC_BYTES:], sign(raw, key)) for key in self.secrets):
            raise invalid_ticket_error()
        ticket = parse(raw)
        if wall_s > ticket.expiry:
            raise RequestError(Code.key_expired, 'the ticket has expired', HasRun.unknown)
        return ticket


def encode(ticket: Ticket, secret: bytes) -> str:
    """Sign and encode a ticket.

    :param ticket: the ticket.
    :param secret: the MAC key.
    :return: URL-safe text.
    """
    header = HEADER.pack(
        FORMAT_VERSION,
        ticket.agent_incarnation,
        ticket.entry_incarnation,
        ticket.serial,
        ticket.expiry,
    )
    signed = header + ticket.agent.encode()
    mac = sign(signed + bytes(MAC_BYTES), secret)
    return urlsafe_b64encode(signed + mac).rstrip(b'=').decode()


def decode(text: str) -> bytes:
    """Decode the text of a ticket.

    Only the canonical text that ``encode`` returns is accepted. The text is the key in the
    ledger, so another spelling of the same ticket would be another key that could run.

    :param text: the ticket as the caller sent it.
    :return: header, agent and MAC.
    :raises RequestError: ``ticket_invalid``.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise invalid_ticket_error()
    padding = '=' * (-len(text) % BASE64_GROUP)
    try:
        raw = urlsafe_b64decode(text + padding)
    except (binascii.Error, ValueError) as error:
        raise invalid_ticket_error() from error
    canonical = urlsafe_b64encode(raw).rstrip(b'=').decode()
    if canonical != text or len(raw) <= HEADER.size + MAC_BYTES:
        raise invalid_ticket_error()
    return raw


def parse(raw: bytes) -> Ticket:
    """Parse the bytes of a ticket.

    :param raw: header, agent and MAC, as ``decode`` returns them.
    :return: the ticket.
    :raises RequestError: ``ticket_invalid``.
    """
    version, agent_incarnation, entry_incarnation, serial, expiry = HEADER.unpack_from(raw)
    name = raw[HEADER.size : -MAC_BYTES]
    if version != FORMAT_VERSION or len(name) > MAX_AGENT_BYTES:
        raise invalid_ticket_error()
    try:
        agent = name.decode()
    except UnicodeDecodeError as error:
        raise invalid_ticket_error() from error
    return Ticket(agent, agent_incarnation, entry_incarnation, serial, expiry)


def sign(raw: bytes, secret: bytes) -> bytes:
    """Return the MAC of a ticket's bytes.

    :param raw: header, agent and MAC; the MAC itself is not signed.
    :param secret: the MAC key.
    :return: HMAC-SHA256, truncated.
    """
    return hmac.new(secret, raw[:-MAC_BYTES], hashlib.sha256).digest()[:MAC_BYTES]


def invalid_ticket_error() -> RequestError:
    """Return the error for a text that is not a valid ticket.

    :return: the error.
    """
    return RequestError(Code.ticket_invalid, 'the ticket is not valid', HasRun.no)


__all__ = (
    'Ticket',
    'TicketIssuer',
)
