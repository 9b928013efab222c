"""Usual timeouts of the callers of each route, by which repeated requests are recognised."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

#: Number of the latest requests of a route whose timeouts are kept.
TIMEOUTS_PER_ROUTE = 40
#: Quantile of the timeouts that stands for a first request. Repeated requests have less time left,
#: so the quantile is high; a few callers may have much longer timeouts than others, so it is not 1.
USUAL_QUANTILE = 0.9


@dataclass(slots=True)
class CallerTimeouts:
    """Keeps the timeouts of the latest requests of each route, in seconds."""

    routes: dict[str, deque[float]] = field(default_factory=dict)

    def record(self, route: str, caller_timeout_s: float) -> None:
        """Record the timeout of a caller.

        :param route: name of the route.
        :param caller_timeout_s: timeout of the caller, in seconds.
        """
        self.routes.setdefault(route, deque(maxlen=TIMEOUTS_PER_ROUTE)).append(caller_timeout_s)

    def usual_timeout_s(self, route: str) -> float:
        """Return the usual timeout of the first request of a caller.

        :param route: name of the route.
        :return: seconds, 0 before the first request of the route.
        """
        latest = sorted(self.routes.get(route, ()))
        return latest[int(USUAL_QUANTILE * (len(latest) - 1))] if latest else 0


__all__ = ('CallerTimeouts',)
