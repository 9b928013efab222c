"""Settings files and their validation."""

from __future__ import annotations
