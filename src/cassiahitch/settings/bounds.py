"""Bounds that settings give to other packages."""

from __future__ import annotations

from dataclasses import dataclass

KIB = 1024
MIB = 1_048_576


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Bounds in bytes.

    ``buffer_bytes`` is what is held of one answer before it passes on piece by piece, ``total_buffer_bytes`` that
    of all answers at a time, ``max_response_bytes`` the largest answer that is passed on.
    """

    buffer_bytes: int
    total_buffer_bytes: int
    max_response_bytes: int


__all__ = (
    'KIB',
    'MIB',
    'ResponseLimits',
)
