"""Weight distribution and request routing for model-drafted text under bursts."""

from __future__ import annotations
