"""Clients of the table service, object store, weight origin and host list."""

from __future__ import annotations
