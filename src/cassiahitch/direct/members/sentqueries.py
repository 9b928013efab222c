"""When the queries of an entry to others were sent, so that ages in their replies can be dated.

Load pattern: a reply may be under way for long, or wait unread while its receiver is busy or
suspended. What it says was so at the earliest when its query was sent.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.util.endpoints import Endpoint
    from cassiahitch.wire.datagrammessages import MemberNews

#: Seconds after which a reply to a query is not expected any more.
QUERY_EXPIRY_S = 2.0


@dataclass(slots=True)
class SentQueries:
    """Times of the queries in seconds of the boot clock, by their address and number, oldest first.

    A repeated query keeps its first time.
    """

    times: dict[tuple[str, int], float] = field(default_factory=dict)

    def record(self, message: MemberNews, address: str, now: float) -> None:
        """Record that a message is sent, if it requests a reply, and forget expired queries.

        :param message: the message.
        :param address: address of its receiver.
        :param now: current time in seconds of the boot clock.
        """
        if not message.asks:
            return
        self.times.setdefault((address, message.number), now)
        for query, sent_at in tuple(self.times.items()):
            if now - sent_at <= QUERY_EXPIRY_S:
                return
            self.times.pop(query)

    def sent_at(self, message: MemberNews, sender: Endpoint) -> float | None:
        """Return when the query was sent that a message replies to.

        :param message: the received message.
        :param sender: endpoint of its sender.
        :return: seconds of the boot clock, None if it is not the first reply to a recent query.
        """
        if message.asks:
            return None
        return self.times.pop((sender.address, message.number), None)


__all__ = (
    'QUERY_EXPIRY_S',
    'SentQueries',
)
