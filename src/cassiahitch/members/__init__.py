"""Live and leaving hosts."""

from __future__ import annotations
