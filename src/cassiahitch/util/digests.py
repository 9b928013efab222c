"""Written form of digests."""

from __future__ import annotations

#: Regular expression of a SHA-256 digest in hexadecimal form, without anchors.
SHA256_PATTERN = '[0-9a-f]{64}'

__all__ = ('SHA256_PATTERN',)
