"""Adapter to the users' platform: its headers, calls, tables and fields, and no decisions."""

from __future__ import annotations
