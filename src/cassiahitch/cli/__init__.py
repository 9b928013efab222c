"""Command line of all roles and of the operators."""

from __future__ import annotations
