"""Loopback addresses of the sites of stand-ins, apart from those of other processes."""

from __future__ import annotations

import os
import socket
from functools import cache

#: Networks of 1,024 addresses in 127.0.0.0/8 from which a process takes one: second bytes of the
#: address, and blocks of four third bytes of each.
SECOND_BYTES = 200
FIRST_SECOND_BYTE = 20
BLOCKS = 60
BLOCK_BYTES = 4
#: Last byte and port that a process holds as long as it lives, so that no other takes its network.
HELD_BYTE = 254
HELD_PORT = 7699


class NoFreeNetworkError(Exception):
    """Other processes hold all networks."""


def reserve_network() -> tuple[int, int, socket.socket]:
    """Take a network that no other process of this machine has; begins with one by the process id.

    :return: second byte and first third byte of its addresses, and the socket that holds it.
    :raises NoFreeNetworkError: if there is none.
    """
    for number in range(os.getpid(), os.getpid() + SECOND_BYTES * BLOCKS):
        high, low = divmod(number, SECOND_BYTES)
        second, third = FIRST_SECOND_BYTE + low, BLOCK_BYTES * (high % BLOCKS)
        held = socket.socket()
        try:
            held.bind((f'127.{second}.{third}.{HELD_BYTE}', HELD_PORT))
        except OSError:
            held.close()
            continue
        return second, third, held
    raise NoFreeNetworkError


@cache
def _own_network() -> tuple[int, int, socket.socket]:
    return reserve_network()


def loopback_address(kind: int, number: int) -> str:
    """Return a loopback address that no other process uses for its site.

    :param kind: which of the four parts of the network of this process.
    :param number: which address of the part, from 0.
    :return: the address.
    """
    second, third, _ = _own_network()
    return f'127.{second}.{third + kind}.{number + 1}'


__all__ = (
    'NoFreeNetworkError',
    'loopback_address',
    'reserve_network',
)
