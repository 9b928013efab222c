"""Tasks of an entry process."""

from __future__ import annotations
