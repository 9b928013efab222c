"""Time line of events over all processes."""

from __future__ import annotations
