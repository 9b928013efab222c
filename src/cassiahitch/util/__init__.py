"""Small helpers for addresses, sockets, files and YAML."""

from __future__ import annotations
