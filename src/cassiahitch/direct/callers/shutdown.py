"""Schedule of a shutdown: which requests are still accepted, and when connections are closed."""

from __future__ import annotations

from dataclasses import dataclass

#: Fraction of the grace period, after the signal, in which every request is accepted. If the end
#: of the process cuts one off, that request has had most of the grace period to complete.
ACCEPT_ALL_FRACTION = 1 / 3
#: Time from the closing of connections to the end of the grace period, in seconds, and the
#: largest fraction of the grace period that it may take.
END_MARGIN_S = 0.7
END_MARGIN_FRACTION = 1 / 8
#: Least time from the deadline of an accepted request to the closing of connections, in seconds.
RESPONSE_MARGIN_S = 0.2
#: Time from the last error responses to the closing of connections, in seconds.
LAST_RESPONSE_S = 0.1


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The grace period of one process; all times are seconds of the same clock.

    ``address_hold_s`` is how long callers may use the address after the signal.
    """

    signalled_at: float
    grace_s: float
    address_hold_s: float

    @property
    def close_at(self) -> float:
        """When all connections are closed, even if requests are running."""
        margin_s = min(END_MARGIN_S, self.grace_s * END_MARGIN_FRACTION)
        return self.signalled_at + self.grace_s - margin_s

    @property
    def last_response_at(self) -> float:
        """When requests whose response has not started get an error response."""
        return self.close_at - min(LAST_RESPONSE_S, self.grace_s * END_MARGIN_FRACTION)

    @property
    def accept_until(self) -> float:
        """Until when new connections are accepted, even if no request is running."""
        return min(self.signalled_at + self.address_hold_s, self.last_response_at)

    def accepts(self, read_at: float, deadline: float) -> bool:
        """Return whether to accept a request; others are refused at once.

        :param read_at: when it was read completely.
        :param deadline: deadline of the request, by which its caller has a response.
        :return: whether it ends before the connections close, or was read early enough.
        """
        if read_at <= self.signalled_at + self.grace_s * ACCEPT_ALL_FRACTION:
            return True
        return deadline + RESPONSE_MARGIN_S <= self.close_at


__all__ = ('ShutdownSchedule',)
