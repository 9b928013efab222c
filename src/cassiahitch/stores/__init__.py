"""Clients of the table service, the object store, the weight origin and the host list."""

from __future__ import annotations
