"""The entry process: HTTP handlers for callers and operators, and background tasks."""

from __future__ import annotations
