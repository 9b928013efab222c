"""Tickets: keys that bind a request to one agent in one incarnation."""

from __future__ import annotations

import binascii
import hashlib
import hmac
import struct
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import RequestError

#: Format version, agent incarnation, entry incarnation, serial, expiry.
HEADER = struct.Struct('>BQQQI')
FORMAT_VERSION = 1
MAC_BYTES = 16
MAX_AGENT_BYTES = 64
MAX_TEXT_LENGTH = 160
BASE64_GROUP = 4


@dataclass(frozen=True, slots=True)
class Ticket:
    """What a ticket states; ``expiry`` is in whole seconds since the Unix epoch."""

    agent: str
    agent_incarnation: int
    entry_incarnation: int
    serial: int
    expiry: int


class TicketOffice:
    """Mints tickets and verifies those of all entries."""

    def __init__(self, secrets: tuple[bytes, ...], incarnation: int, lifetime_s: int) -> None:
        """Create the office of an entry.

        :param secrets: keys of the MAC; the first one mints, each verifies.
        :param incarnation: the random number that this entry drew at its start.
        :param lifetime_s: seconds until a ticket expires.
        """
        self.secrets = secrets
        self.incarnation = incarnation
        self.lifetime_s = lifetime_s
        self.serial = 0

    def mint(self, agent: str, agent_incarnation: int, wall: float) -> str:
        """Return a ticket that was never given out before.

        :param agent: the host that may run it.
        :param agent_incarnation: the incarnation of its agent.
        :param wall: seconds since the Unix epoch.
        :return: URL-safe text.
        """
        self.serial += 1
        expiry = int(wall) + self.lifetime_s
        ticket = Ticket(agent, agent_incarnation, self.incarnation, self.serial, expiry)
        return encode(ticket, self.secrets[0])

    def verify(self, text: str, wall: float) -> Ticket:
        """Return what a ticket states, if an entry minted it and it still holds.

        :param text: the ticket as the caller sent it.
        :param wall: seconds since the Unix epoch.
        :return: the ticket.
        :raises RequestError: ``ticket_invalid``, or ``key_expired`` with ``ran: unknown``.
        """
        raw = decode(text)
        if not any(hmac.compare_digest(raw[-MAC_BYTES:], sign(raw, key)) for key in self.secrets):
            raise invalid()
        ticket = parse(raw)
        if wall > ticket.expiry:
            raise RequestError(Code.key_expired, 'the ticket has expired', HasRun.unknown)
        return ticket


def encode(ticket: Ticket, secret: bytes) -> str:
    """Return the text of a ticket.

    :param ticket: the ticket.
    :param secret: key of the MAC.
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
    """Return the bytes of a ticket's text.

    Only the one text that ``encode`` gives for the bytes is accepted, since the text is the
    ledger's key: a second spelling of a ticket would be a second key.

    :param text: the ticket as the caller sent it.
    :return: header, agent and MAC.
    :raises RequestError: ``ticket_invalid``.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise invalid()
    padding = '=' * (-len(text) % BASE64_GROUP)
    try:
        raw = urlsafe_b64decode(text + padding)
    except (binascii.Error, ValueError) as error:
        raise invalid() from error
    canonical = urlsafe_b64encode(raw).rstrip(b'=').decode()
    if canonical != text or len(raw) <= HEADER.size + MAC_BYTES:
        raise invalid()
    return raw


def parse(raw: bytes) -> Ticket:
    """Return what the bytes of a ticket state.

    :param raw: header, agent and MAC, as ``decode`` returns them.
    :return: the ticket.
    :raises RequestError: ``ticket_invalid``.
    """
    version, agent_incarnation, entry_incarnation, serial, expiry = HEADER.unpack_from(raw)
    name = raw[HEADER.size : -MAC_BYTES]
    if version != FORMAT_VERSION or len(name) > MAX_AGENT_BYTES:
        raise invalid()
    try:
        agent = name.decode()
    except UnicodeDecodeError as error:
        raise invalid() from error
    return Ticket(agent, agent_incarnation, entry_incarnation, serial, expiry)


def sign(raw: bytes, secret: bytes) -> bytes:
    """Return the MAC of a ticket's bytes.

    :param raw: header, agent and MAC; the MAC is not signed.
    :param secret: key of the MAC.
    :return: HMAC-SHA256, truncated.
    """
    return hmac.new(secret, raw[:-MAC_BYTES], hashlib.sha256).digest()[:MAC_BYTES]


def invalid() -> RequestError:
    """Return the refusal of a text that is no ticket.

    :return: the error.
    """
    return RequestError(Code.ticket_invalid, 'the ticket is not valid', HasRun.no)


__all__ = (
    'Ticket',
    'TicketOffice',
)
