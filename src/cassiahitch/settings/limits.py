"""Limits that the settings set for other packages."""

from __future__ import annotations

from dataclasses import dataclass

#: Bytes of a kibibyte.
KIB = 1024
#: Bytes of a mebibyte.
MIB = 1_048_576


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of the responses that an entry forwards, in bytes.

    ``buffer_bytes`` is the maximum that is buffered of one response before it is forwarded in
    parts, ``total_buffer_bytes`` the maximum that is buffered of all responses together.
    ``max_response_bytes`` is the size of the largest response that is forwarded.
    """

    buffer_bytes: int
    total_buffer_bytes: int
    max_response_bytes: int


__all__ = (
    'KIB',
    'MIB',
    'ResponseLimits',
)
