"""Connections and messages between the processes of the system."""

from __future__ import annotations
