"""Loopback addresses for stand-in sites, distinct for each process of the machine."""

from __future__ import annotations

import os
import socket
from functools import cache

#: Each process reserves a network of 1,024 addresses in 127.0.0.0/8: a value of the second byte and
#: a block of four values of the third byte.
SECOND_BYTE_COUNT = 200
FIRST_SECOND_BYTE = 20
BLOCK_COUNT = 60
BLOCK_SIZE = 4
#: Last byte and port that a process keeps bound, so that no other process reserves its network.
LOCK_LAST_BYTE = 254
LOCK_PORT = 7699


class NoFreeNetworkError(Exception):
    """Other processes have reserved all networks."""


def reserve_network() -> tuple[int, int, socket.socket]:
    """Reserve a network for this process; the search starts at an offset derived from its id.

    :return: second byte and lowest third byte of the addresses, and the socket that holds the
        reservation.
    :raises NoFreeNetworkError: if other processes have reserved all networks.
    """
    for number in range(os.getpid(), os.getpid() + SECOND_BYTE_COUNT * BLOCK_COUNT):
        high, low = divmod(number, SECOND_BYTE_COUNT)
        second, third = FIRST_SECOND_BYTE + low, BLOCK_SIZE * (high % BLOCK_COUNT)
        lock = socket.socket()
        try:
            lock.bind((f'127.{second}.{third}.{LOCK_LAST_BYTE}', LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return second, third, lock
    raise NoFreeNetworkError


@cache
def _own_network() -> tuple[int, int, socket.socket]:
    return reserve_network()


def loopback_address(kind: int, number: int) -> str:
    """Return a loopback address that no other process uses for its site.

    :param kind: index of the /24 block in the network of this process, 0 to 3.
    :param number: index of the address in the block, from 0.
    :return: the address.
    """
    second, third, _ = _own_network()
    return f'127.{second}.{third + kind}.{number + 1}'


__all__ = (
    'NoFreeNetworkError',
    'loopback_address',
    'reserve_network',
)
