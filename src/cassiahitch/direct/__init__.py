"""Entries that send requests directly to backend servers, without an agent in between."""

from __future__ import annotations
