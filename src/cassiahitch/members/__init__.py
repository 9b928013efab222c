"""Membership: which processes are alive, suspect, dead or leaving."""

from __future__ import annotations
