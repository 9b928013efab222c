"""Conversion of link rates."""

from __future__ import annotations

BITS_PER_BYTE = 8
MEGA = 1_000_000


def bytes_per_s(mbit_s: float) -> float:
    """Convert a rate to bytes per second.

    :param mbit_s: rate in megabits per second.
    :return: rate in bytes per second.
    """
    return mbit_s * MEGA / BITS_PER_BYTE


__all__ = ('bytes_per_s',)
