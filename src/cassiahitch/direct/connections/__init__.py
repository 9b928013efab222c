"""Limits on what a process holds for the connections to its HTTP ports."""

from __future__ import annotations
