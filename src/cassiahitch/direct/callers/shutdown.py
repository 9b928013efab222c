"""What a process that was told to stop still takes, and when it ends."""

from __future__ import annotations

from dataclasses import dataclass

#: Part of the grace period after the signal in which every request is taken. What lasts longer than
#: the process then came so early that it had most of the grace period.
ACCEPT_ALL_FRACTION = 1 / 3
#: Seconds before the end of the grace period at which connections are closed, and the largest part
#: of it that they may be.
END_MARGIN_S = 0.7
END_MARGIN_FRACTION = 1 / 8
#: Seconds between the last answer that is due and the closing of connections.
RESPONSE_MARGIN_S = 0.2
#: Seconds before the closing of connections at which requests without an answer get a last one.
LAST_RESPONSE_S = 0.1


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The grace period of one process; all times are seconds of one clock.

    ``address_hold_s`` is how long callers may hold the address after the signal.
    """

    signalled_at: float
    grace_s: float
    address_hold_s: float

    @property
    def close_at(self) -> float:
        """When connections are closed, whatever runs."""
        margin_s = min(END_MARGIN_S, self.grace_s * END_MARGIN_FRACTION)
        return self.signalled_at + self.grace_s - margin_s

    @property
    def last_response_at(self) -> float:
        """When requests whose answer has not begun are told that there is none."""
        return self.close_at - min(LAST_RESPONSE_S, self.grace_s * END_MARGIN_FRACTION)

    @property
    def accept_until(self) -> float:
        """Until when new connections are accepted though nothing runs any more."""
        return min(self.signalled_at + self.address_hold_s, self.last_response_at)

    def accepts(self, read_at: float, deadline: float) -> bool:
        """Decide whether a request is taken; what is not taken is refused at once.

        :param read_at: when it was read as a whole.
        :param deadline: when its caller has its answer, or is told that there is none.
        :return: whether it ends before the process, or came early enough.
        """
        if read_at <= self.signalled_at + self.grace_s * ACCEPT_ALL_FRACTION:
            return True
        return deadline + RESPONSE_MARGIN_S <= self.close_at


__all__ = ('ShutdownSchedule',)
