"""Membership of entries: discovery, gossip, and sharing of the store's tables."""

from __future__ import annotations
