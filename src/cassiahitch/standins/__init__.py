"""Small stand-ins of the systems around, for the embedded default and the tests."""

from __future__ import annotations
