"""Addresses of processes: an IP number and a port."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """An IP number and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return the text form, with brackets around IPv6.

        :return: ``address:port``.
        """
        if ':' in self.address:
            return f'[{self.address}]:{self.port}'
        return f'{self.address}:{self.port}'


def is_ip_address(address: str) -> bool:
    """Tell whether an address is an IP number; a name would have to be looked up.

    :param address: any text.
    :return: whether it is.
    """
    try:
        ip_address(address)
    except ValueError:
        return False
    return True


def parse_endpoint(text: str) -> Endpoint:
    """Read an endpoint from its text form.

    :param text: ``address:port``, with brackets around IPv6.
    :return: the endpoint.
    :raises ValueError: if it is not an IP number and a port.
    """
    address, colon, port = text.rpartition(':')
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError('expected ADDRESS:PORT')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'the port must be between 1 and {MAX_PORT}')
    bracketed = address.startswith('[') and address.endswith(']')
    parsed = ip_address(address[1:-1] if bracketed else address)
    if bracketed != (parsed.version == 6):
        raise ValueError('IPv6 numbers, and only these, stand in brackets')
    return Endpoint(str(parsed), int(port))


__all__ = (
    'Endpoint',
    'is_ip_address',
    'parse_endpoint',
)
