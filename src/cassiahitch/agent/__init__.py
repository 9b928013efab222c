"""Tasks of an agent process."""

from __future__ import annotations
