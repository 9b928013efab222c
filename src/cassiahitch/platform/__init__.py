"""Adapter to the users' platform: its headers, API calls, tables and fields; decides nothing."""

from __future__ import annotations
