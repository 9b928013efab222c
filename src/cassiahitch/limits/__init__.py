"""Admission control: fair queues, concurrency and organisation limits, retry budgets."""

from __future__ import annotations
