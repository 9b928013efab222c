"""Connections of callers, their requests and the responses that they get."""

from __future__ import annotations
