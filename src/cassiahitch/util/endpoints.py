"""Endpoints of processes: an IP address and a port."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """An IP address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return the endpoint as text, with an IPv6 address in brackets.

        :return: ``address:port``.
        """
        if ':' in self.address:
            return f'[{self.address}]:{self.port}'
        return f'{self.address}:{self.port}'


def is_ip_address(address: str) -> bool:
    """Return whether a text is an IP address and not, for example, a host name.

    :param address: any text.
    :return: whether it is an IP address.
    """
    try:
        ip_address(address)
    except ValueError:
        return False
    return True


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint.

    :param text: ``address:port``, with an IPv6 address in brackets.
    :return: the endpoint.
    :raises ValueError: if the text is not an IP address and a port.
    """
    address, colon, port = text.rpartition(':')
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError('expected ADDRESS:PORT')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'the port must be between 1 and {MAX_PORT}')
    bracketed = address.startswith('[') and address.endswith(']')
    parsed = ip_address(address[1:-1] if bracketed else address)
    if bracketed != (parsed.version == 6):
        raise ValueError('an IPv6 address, and only that, must be in brackets')
    return Endpoint(str(parsed), int(port))


__all__ = (
    'Endpoint',
    'is_ip_address',
    'parse_endpoint',
)
