"""How long callers of a route wait at first, by which those that come back are told apart."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

#: Requests of a route whose patience is kept.
TIMEOUTS_PER_ROUTE = 40
#: Part of them that waits no longer than a usual caller that asks for the first time. Callers that
#: come back have less time left, and a few may have much more than others.
USUAL_QUANTILE = 0.9


@dataclass(slots=True)
class CallerTimeouts:
    """Keeps the time that the latest callers of each route would wait, in seconds."""

    routes: dict[str, deque[float]] = field(default_factory=dict)

    def record(self, route: str, caller_timeout_s: float) -> None:
        """Keep the patience of a caller.

        :param route: name of the route.
        :param caller_timeout_s: seconds.
        """
        self.routes.setdefault(route, deque(maxlen=TIMEOUTS_PER_ROUTE)).append(caller_timeout_s)

    def usual_timeout_s(self, route: str) -> float:
        """Return how long a usual caller waits that asks for the first time.

        :param route: name of the route.
        :return: seconds, 0 if nothing is known.
        """
        latest = sorted(self.routes.get(route, ()))
        return latest[int(USUAL_QUANTILE * (len(latest) - 1))] if latest else 0


__all__ = ('CallerTimeouts',)
