"""Distribution of model weights to hosts: manifests, plans, trees, fetching and loading."""

from __future__ import annotations
