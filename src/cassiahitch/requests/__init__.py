"""Filter chain that a request passes."""

from __future__ import annotations
