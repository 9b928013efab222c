"""Admission: fair queues, organisation limits and retry budgets."""

from __future__ import annotations
