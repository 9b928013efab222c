"""Calls of an agent that its engine executes late, whether or not the agent still waits."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from types import MappingProxyType
from urllib.parse import urlsplit

from cassiahitch.platform import names
from cassiahitch.soak.events import AgentCall

#: Share of the calls that are executed late.
LATE_SHARES = MappingProxyType({AgentCall.order: 0.5, AgentCall.upload: 0.05})
#: Shortest and longest delay of such a call, in seconds.
MIN_DELAY_S = 0.6
MAX_DELAY_S = 1.6


@dataclass(frozen=True, slots=True)
class LateCalls:
    """Draws which calls are executed late."""

    rng: random.Random

    def delay_s(self, call: AgentCall) -> float:
        """Draw the delay of the next call.

        :param call: kind of the call.
        :return: seconds, 0 if the call is executed at once.
        """
        if self.rng.random() >= LATE_SHARES[call]:
            return 0
        return self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)

    async def wait(self, call: AgentCall) -> None:
        """Wait for the delay of the next call.

        :param call: kind of the call.
        """
        await asyncio.sleep(self.delay_s(call))


def classify_call(method: str, target: str) -> AgentCall | None:
    """Return the kind of a call.

    :param method: request method.
    :param target: path and query.
    :return: the kind, None for calls that change nothing.
    """
    path = urlsplit(target).path
    if path.startswith(names.STORE_CHUNK_PATH):
        return AgentCall.upload
    if path == names.ORDER_PATH and method == 'POST':
        return AgentCall.order
    return None


__all__ = (
    'LateCalls',
    'classify_call',
)
