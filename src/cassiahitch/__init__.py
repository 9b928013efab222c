"""Distribution of model weights and request routing for text generation under load bursts."""

from __future__ import annotations
