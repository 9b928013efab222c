"""The agent's side of fencing: orders of former lease holders are refused."""

from __future__ import annotations

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError


class FencingGuard:
    """Accepts orders whose fencing number is the highest seen for their lease."""

    def __init__(self, incarnation: int) -> None:
        """Create a guard that has seen no number.

        :param incarnation: incarnation of this process; orders name the one they mean.
        """
        self.incarnation = incarnation
        self.highest: dict[str, int] = {}

    def record(self, lease: str, fencing_number: int) -> None:
        """Note a number that was heard elsewhere, so that a fresh process refuses lower ones.

        :param lease: name of the lease.
        :param fencing_number: its number.
        """
        self.highest[lease] = max(fencing_number, self.highest.get(lease, 0))

    def check(self, lease: str, incarnation: int, fencing_number: int) -> None:
        """Accept an order or refuse it.

        :param lease: name of the lease of the controller that gave it.
        :param incarnation: the incarnation that the order is for.
        :param fencing_number: the number that it carries.
        :raises CassiahitchError: with ``wrong_incarnation`` or ``fencing_number_old``.
        """
        if incarnation != self.incarnation:
            raise CassiahitchError(Code.wrong_incarnation, 'the order is for another incarnation')
        highest = self.highest.get(lease, 0)
        if fencing_number < max(1, highest):
            detail = f'{lease}: number {fencing_number}, but {highest} was seen'
            raise CassiahitchError(Code.fencing_number_old, detail)
        self.highest[lease] = fencing_number


__all__ = ('FencingGuard',)
