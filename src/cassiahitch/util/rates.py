"""Rates of links."""

from __future__ import annotations

BITS_PER_BYTE = 8
MEGA = 1_000_000


def bytes_per_s(mbit_s: float) -> float:
    """Return a rate in bytes.

    :param mbit_s: megabits a second.
    :return: bytes a second.
    """
    return mbit_s * MEGA / BITS_PER_BYTE


__all__ = ('bytes_per_s',)
