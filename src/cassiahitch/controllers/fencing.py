"""Fencing at the agent: orders of former lease holders are refused."""

from __future__ import annotations

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError


class FencingGuard:
    """Accepts an order only if no higher fencing number was seen for its lease."""

    def __init__(self, incarnation: int) -> None:
        """Create a guard that has seen no fencing number.

        :param incarnation: incarnation of this process; orders carry that of their addressee.
        """
        self.incarnation = incarnation
        self.highest: dict[str, int] = {}

    def record(self, lease: str, fencing_number: int) -> None:
        """Record a number that others have seen, so that a restarted process refuses lower ones.

        :param lease: name of the lease.
        :param fencing_number: the fencing number.
        """
        self.highest[lease] = max(fencing_number, self.highest.get(lease, 0))

    def check(self, lease: str, incarnation: int, fencing_number: int) -> None:
        """Check an order and record its fencing number.

        :param lease: name of the lease of the controller that sent it.
        :param incarnation: the incarnation that the order is addressed to.
        :param fencing_number: the fencing number of the order.
        :raises CassiahitchError: with ``wrong_incarnation`` or ``fencing_number_old``.
        """
        if incarnation != self.incarnation:
            raise CassiahitchError(
                Code.wrong_incarnation, 'the order is addressed to another incarnation'
            )
        highest = self.highest.get(lease, 0)
        if fencing_number < max(1, highest):
            detail = f'{lease}: fencing number {fencing_number} refused, {highest} was seen'
            raise CassiahitchError(Code.fencing_number_old, detail)
        self.highest[lease] = fencing_number


__all__ = ('FencingGuard',)
