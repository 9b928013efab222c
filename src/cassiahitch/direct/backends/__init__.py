"""Connections to backend servers and the HTTP exchanges on them."""

from __future__ import annotations
