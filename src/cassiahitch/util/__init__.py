"""Small pure helpers."""

from __future__ import annotations
