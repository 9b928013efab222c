"""Checks, places, sends and retries requests."""

from __future__ import annotations
