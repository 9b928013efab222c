"""The agent process, which runs requests and loads weights on one backend server host."""

from __future__ import annotations
