"""Requests sent to backend servers directly, without an agent on their way."""

from __future__ import annotations
